// Command soak runs nodes as separate processes, injects faults from outside the
// processes and checks the guarantees to callers and backend servers:
//
//   - a booking is executed at most once, and never if its caller was told that it
//     was not executed;
//   - a response is complete and belongs to its request;
//   - a backend server receives no calls from 2 s after its drain was acknowledged, also
//     after all processes were killed and a heartbeat of before arrived late;
//   - once all faults are over, the site serves calls again;
//   - a failure domain that is evacuated then gets no calls from 5 s after its key was
//     written, and the other domains serve its callers.
//
// A seed determines the faults and their times. The command terminates only
// processes that it started.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

// regressionSeeds are seeds that failed once, with the cause. They run first.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{231, "all processes of the machine stalled together, for up to 3.5 s, at a load average of 38 on 6 cores"},
}

func main() {
	opts := options{binary: "build/mangostandd", nodes: 6, injectionTime: 8 * time.Second}
	firstSeed, seedCount, runRegressions := uint64(1), 3, true
	flaggy.SetName("soak")
	flaggy.SetDescription("inject faults into a site of node processes and check its promises")
	flaggy.DefaultParser.ShowCompletion = false
	flaggy.String(&opts.binary, "b", "binary", "path of mangostandd")
	flaggy.Int(&opts.nodes, "n", "nodes", "number of nodes, 2 to 200")
	flaggy.UInt64(&firstSeed, "f", "first", "first seed")
	flaggy.Int(&seedCount, "s", "seeds", "number of seeds")
	flaggy.Duration(&opts.injectionTime, "t", "fault-time", "time in which faults begin")
	flaggy.Bool(&runRegressions, "k", "kept", "run the kept seeds, too")
	flaggy.Parse()
	if opts.nodes < 2 || opts.nodes > 200 {
		fmt.Fprintln(os.Stderr, "--nodes: expected 2 to 200")
		os.Exit(2)
	}
	var seeds []uint64
	if runRegressions {
		for _, regression := range regressionSeeds {
			seeds = append(seeds, regression.seed)
		}
	}
	for i := range seedCount {
		seeds = append(seeds, firstSeed+uint64(i))
	}
	os.Exit(runSeeds(opts, seeds))
}

func runSeeds(opts options, seeds []uint64) int {
	binary, err := filepath.Abs(opts.binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	opts.binary = binary
	failed := 0
	for _, seed := range seeds {
		started := time.Now()
		summary, err := runSeed(context.Background(), opts, seed)
		verdict := "ok"
		if err != nil {
			failed++
			verdict = "FAILED: " + err.Error()
		}
		fmt.Printf("seed %d: %s; %s; %s\n", seed, verdict, summary, time.Since(started).Round(time.Second))
	}
	fmt.Printf("%d passed, %d failed\n", len(seeds)-failed, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// options are the command-line options of all runs.
type options struct {
	binary string
	nodes  int
	// injectionTime is the time during which faults are started.
	injectionTime time.Duration
}

// violations collects descriptions of violated guarantees.
type violations struct{ messages []string }

func (v *violations) add(format string, args ...any) {
	v.messages = append(v.messages, fmt.Sprintf(format, args...))
}

// err returns an error with the first violation and the directory of the logs, or
// nil if there is none.
func (v *violations) err(dir string) error {
	if len(v.messages) == 0 {
		return nil
	}
	return errors.Errorf("%s (%d violations, logs in %s)", v.messages[0], len(v.messages), dir)
}
