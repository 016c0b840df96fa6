package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"mangostand.example/mangostand/pkg/loadgen"
)

// maxConnectionsPerNode limits the connections of the load generator to each node.
const maxConnectionsPerNode = 64

// loadOptions holds the flags of "load".
type loadOptions struct {
	targets  []string
	service  string
	method   string
	path     string
	caller   string
	rate     float64
	duration time.Duration
	warmup   time.Duration
	deadline time.Duration
	seed     int
}

// loadCommands adds the command "load".
func loadCommands(parser *flaggy.Parser, stdout, stderr io.Writer) []*command {
	load := addSubcommand(&parser.Subcommand, "load", "send calls at a fixed rate and report outcomes and latency")
	o := &loadOptions{
		method: "GET", path: "/", caller: "mangostand-load", rate: 50, duration: 10 * time.Second,
		warmup: time.Second, deadline: 2 * time.Second, seed: 1,
	}
	load.StringSlice(&o.targets, "t", "target", "URL of a node's listener for callers; may be repeated")
	load.String(&o.service, "s", "service", "service to call")
	load.String(&o.method, "m", "method", "method of the calls")
	load.String(&o.path, "p", "path", "path below the service")
	load.String(&o.caller, "c", "caller", "name of the caller")
	load.Float64(&o.rate, "r", "rate", "calls per second over all targets")
	load.Duration(&o.duration, "d", "duration", "time over which calls are started")
	load.Duration(&o.warmup, "w", "warmup", "first part of the duration, not counted")
	load.Duration(&o.deadline, "", "deadline", "deadline of each call")
	load.Int(&o.seed, "", "seed", "seed of the schedule")
	return []*command{{load, func() int {
		if problem := o.validate(); problem != "" {
			return reportBadInput(stderr, "%s", problem)
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		sender := loadgen.NewHTTPSender(o.caller, maxConnectionsPerNode, nil)
		defer sender.Close()
		result, err := loadgen.Run(ctx, o.plan(), sender)
		if err != nil {
			return reportError(stderr, err)
		}
		printLoadResult(stdout, result)
		return ExitOK
	}}}
}

// validate returns a description of the first invalid flag, or "".
func (o *loadOptions) validate() string {
	switch {
	case len(o.targets) == 0:
		return "--target is required"
	case o.service == "":
		return "--service is required"
	case !strings.HasPrefix(o.path, "/"):
		return "--path must start with /"
	case o.rate <= 0:
		return "--rate must be above 0"
	case o.warmup < 0 || o.duration <= o.warmup:
		return "--duration must be longer than --warmup"
	case o.seed < 0:
		return "--seed must not be negative"
	}
	return ""
}

func (o *loadOptions) plan() loadgen.Plan {
	plan := loadgen.Plan{
		Rate: o.rate, Duration: o.duration, Warmup: o.warmup, Seed: uint64(o.seed),
		Mix: []loadgen.CallSpec{{Service: o.service, Method: o.method, Path: o.path, Weight: 1, Deadline: o.deadline}},
	}
	for _, url := range o.targets {
		plan.Targets = append(plan.Targets, loadgen.Target{Name: url, URL: strings.TrimSuffix(url, "/")})
	}
	return plan
}

func printLoadResult(w io.Writer, r *loadgen.Result) {
	fmt.Fprintf(w, "calls       %d sent, %d not started, %.1f useful answers/s\n", r.Sent, r.Dropped, r.Goodput())
	fmt.Fprintf(w, "latency ms  p50 %.2f, p99 %.2f, p99.9 %.2f\n", toMillis(r.P50()), toMillis(r.P99()), toMillis(r.P999()))
	fmt.Fprintf(w, "attempts    %.3f per call\n", r.AttemptsPerCall())
	fmt.Fprintf(w, "deadlines   %d missed; the generator lagged by at most %.1f ms\n", r.MissedDeadline, toMillis(r.MaxStartDelay))
	for _, outcome := range slices.Sorted(maps.Keys(r.CallsByOutcome)) {
		fmt.Fprintf(w, "outcome     %-10s %d\n", outcome, r.CallsByOutcome[outcome])
	}
	for _, instance := range slices.Sorted(maps.Keys(r.ResponsesByInstance)) {
		fmt.Fprintf(w, "answered    %-16s %d\n", instance, r.ResponsesByInstance[instance])
	}
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
