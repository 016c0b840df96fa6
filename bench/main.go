// Command bench compares the selection policies on simulated sites of production
// size. All nodes run in this process on loopback addresses. Backend servers are
// small HTTP servers with a limited number of slots and a service time that
// changes every 5 to 50 ms.
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
	quick                                       bool
	sites, scenarios, policies                  string
	repeats                                     int
	measuredDuration                            time.Duration
	seed                                        uint64
	outDir, label, extraConfigFile, extraConfig string
	profileFile                                 string
}{
	sites: "thies,great-lakes", scenarios: "all", policies: strings.Join(policyOrder, ","),
	repeats: 5, measuredDuration: 5 * time.Second, seed: 1, outDir: "bench/results", label: "trial under load",
}

func main() {
	parseOptions()
	if options.profileFile != "" {
		stop, err := startProfile(options.profileFile)
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

func parseOptions() {
	flaggy.SetName("bench")
	flaggy.SetDescription("compares selection policies under swinging load")
	flaggy.Bool(&options.quick, "q", "quick", "one shape, four scenarios, three policies, two repeats (about 2 minutes)")
	flaggy.String(&options.sites, "", "shapes", "sites, comma separated: thies, great-lakes")
	flaggy.String(&options.scenarios, "", "scenarios", "scenarios, comma separated, or all; added measures the added latency")
	flaggy.String(&options.policies, "", "policies", "policies, comma separated; +hedge enables hedged calls")
	flaggy.Int(&options.repeats, "", "repeats", "runs of each policy per scenario")
	flaggy.Duration(&options.measuredDuration, "", "counted", "counted part of each run, after 1s of warm-up")
	flaggy.UInt64(&options.seed, "", "seed", "seed of schedules and swings")
	flaggy.String(&options.outDir, "", "out", "directory of the results")
	flaggy.String(&options.label, "", "label", "label in tables and plots")
	flaggy.String(&options.extraConfigFile, "", "config", "file with further sections of the configuration")
	flaggy.String(&options.profileFile, "", "profile", "file for a CPU profile")
	flaggy.Parse()
	if options.quick {
		options.sites, options.scenarios = "thies", "swings-75,fails-fast,overload,capacity,added"
		options.policies = "random,twochoices,hotcold"
		options.repeats, options.measuredDuration = 2, 2*time.Second
	}
}

func run(ctx context.Context) error {
	if options.extraConfigFile != "" {
		data, err := os.ReadFile(options.extraConfigFile)
		if err != nil {
			return errors.Trace(err)
		}
		options.extraConfig = string(data)
	}
	report := &report{}
	for i := range sites {
		if !isSelected(options.sites, sites[i].name) {
			continue
		}
		for repeat := range options.repeats {
			if err := runRepeat(ctx, &sites[i], repeat, report); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return errors.Trace(report.write(options.outDir))
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

// isSelected reports whether a comma-separated list contains name. The list "all"
// contains every name.
func isSelected(list, name string) bool {
	return list == "all" || slices.Contains(strings.Split(list, ","), name)
}

// repeatSeedStep is the difference between the seeds of two consecutive repeats.
// Within a repeat, the indexes of scenarios and instances are added to the seed.
const repeatSeedStep = 1000

// runRepeat runs each selected scenario once with each policy. The order of the
// policies is shuffled for each scenario so that drift in the performance of the
// machine does not favour one of them. All policies of a scenario get the same
// schedule of calls.
func runRepeat(ctx context.Context, site *siteConfig, repeat int, report *report) error {
	seed := options.seed + uint64(repeat)*repeatSeedStep
	rng := rand.New(rand.NewPCG(seed, 3))
	var f *fleet
	defer func() {
		if f != nil {
			f.stop()
		}
	}()
	for i := range scenarios {
		scenario := &scenarios[i]
		if !isSelected(options.scenarios, scenario.name) {
			continue
		}
		policies := strings.Split(options.policies, ",")
		rng.Shuffle(len(policies), func(a, b int) { policies[a], policies[b] = policies[b], policies[a] })
		for _, policy := range policies {
			var err error
			if f == nil {
				if f, err = startFleet(site, seed); err != nil {
					return errors.Trace(err)
				}
			}
			r, err := measureScenario(ctx, f, scenario, policy, seed+uint64(i), options.measuredDuration)
			if err != nil {
				return errors.Trace(err)
			}
			r.repeat = repeat
			report.addRun(r)
			if scenario.discardFleet {
				f.stop()
				f = nil
			}
		}
	}
	if !isSelected(options.scenarios, "added") {
		return nil
	}
	return errors.Trace(runAddedLatency(ctx, site, &f, seed, repeat, report))
}

func runAddedLatency(ctx context.Context, site *siteConfig, f **fleet, seed uint64, repeat int, report *report) error {
	if *f == nil {
		started, err := startFleet(site, seed)
		if err != nil {
			return errors.Trace(err)
		}
		*f = started
	}
	result, err := measureAddedLatency(ctx, *f, seed)
	if err != nil {
		return errors.Trace(err)
	}
	result.repeat = repeat
	report.addedLatencies = append(report.addedLatencies, result)
	fmt.Printf("%s added p99: direct %v, mesh %v\n", result.site, result.directP99, result.meshP99)
	return nil
}
