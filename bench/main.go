// Command bench measures the selection policies on sites of today's size. All
// nodes run in this process on loopback addresses; backend servers are small
// HTTP servers with slots and a service time that swings every 5 to 50 ms.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/pprof"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

var options = struct {
	quick                        bool
	shapes, scenarios, policies  string
	repeats                      int
	counted                      time.Duration
	seed                         uint64
	out, label, extraFile, extra string
	profile                      string
}{
	shapes: "thies,great-lakes", scenarios: "all", policies: strings.Join(policyOrder, ","),
	repeats: 5, counted: 5 * time.Second, seed: 1, out: "bench/results", label: "trial under load",
}

func main() {
	parse()
	if options.profile != "" {
		stop, err := startProfile(options.profile)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		defer stop()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func parse() {
	flaggy.SetName("bench")
	flaggy.SetDescription("compares selection policies under swinging load")
	flaggy.Bool(&options.quick, "q", "quick", "one shape, four scenarios, three policies, two repeats (about 2 minutes)")
	flaggy.String(&options.shapes, "", "shapes", "sites, comma separated: thies, great-lakes")
	flaggy.String(&options.scenarios, "", "scenarios", "scenarios, comma separated, or all; added measures the added latency")
	flaggy.String(&options.policies, "", "policies", "policies, comma separated; +hedge enables hedged calls")
	flaggy.Int(&options.repeats, "", "repeats", "runs of each policy per scenario")
	flaggy.Duration(&options.counted, "", "counted", "counted part of each run, after 1s of warm-up")
	flaggy.UInt64(&options.seed, "", "seed", "seed of schedules and swings")
	flaggy.String(&options.out, "", "out", "directory of the results")
	flaggy.String(&options.label, "", "label", "label in tables and plots")
	flaggy.String(&options.extraFile, "", "config", "file with further sections of the configuration")
	flaggy.String(&options.profile, "", "profile", "file for a CPU profile")
	flaggy.Parse()
	if options.quick {
		options.shapes, options.scenarios = "thies", "swings-75,fails-fast,overload,capacity,added"
		options.policies = "random,twochoices,hotcold"
		options.repeats, options.counted = 2, 2*time.Second
	}
}

func run(ctx context.Context) error {
	if options.extraFile != "" {
		data, err := os.ReadFile(options.extraFile)
		if err != nil {
			return errors.Trace(err)
		}
		options.extra = string(data)
	}
	report := &report{}
	for i := range shapes {
		if !chosen(options.shapes, shapes[i].name) {
			continue
		}
		for repeat := range options.repeats {
			if err := runRepeat(ctx, &shapes[i], repeat, report); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return errors.Trace(report.write(options.out))
}

// startProfile writes a CPU profile until the returned function is called.
func startProfile(path string) (func(), error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Trace(err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

// chosen reports whether a comma-separated list names a word.
func chosen(list, word string) bool {
	return list == "all" || slices.Contains(strings.Split(list, ","), word)
}

// seedStep separates the seeds of repeats.
const seedStep = 1000

// runRepeat runs all scenarios once with each policy. The order of the
// policies changes from scenario to scenario, so that a drift of the machine
// does not favour one of them; within a scenario all see the same schedule.
func runRepeat(ctx context.Context, s *shape, repeat int, report *report) error {
	seed := options.seed + uint64(repeat)*seedStep
	random := rand.New(rand.NewPCG(seed, 3))
	var f *fleet
	defer func() {
		if f != nil {
			f.stop()
		}
	}()
	for i := range scenarios {
		sc := &scenarios[i]
		if !chosen(options.scenarios, sc.name) {
			continue
		}
		policies := strings.Split(options.policies, ",")
		random.Shuffle(len(policies), func(a, b int) { policies[a], policies[b] = policies[b], policies[a] })
		for _, policy := range policies {
			var err error
			if f == nil {
				if f, err = startFleet(s, seed); err != nil {
					return errors.Trace(err)
				}
			}
			r, err := measure(ctx, f, sc, policy, seed+uint64(i), options.counted)
			if err != nil {
				return errors.Trace(err)
			}
			r.repeat = repeat
			report.add(r)
			if sc.spoils {
				f.stop()
				f = nil
			}
		}
	}
	if !chosen(options.scenarios, "added") {
		return nil
	}
	return errors.Trace(runAdded(ctx, s, &f, seed, repeat, report))
}

func runAdded(ctx context.Context, s *shape, f **fleet, seed uint64, repeat int, report *report) error {
	if *f == nil {
		fresh, err := startFleet(s, seed)
		if err != nil {
			return errors.Trace(err)
		}
		*f = fresh
	}
	a, err := measureAdded(ctx, *f, seed)
	if err != nil {
		return errors.Trace(err)
	}
	a.repeat = repeat
	report.added = append(report.added, a)
	fmt.Printf("%s added p99: direct %v, mesh %v\n", a.shape, a.direct, a.mesh)
	return nil
}
