// Command soak runs nodes as separate processes, injects faults from outside
// them and checks the promises to callers and backend servers meanwhile:
//
//   - a booking runs once at most, and never after a caller was told that it did
//     not run;
//   - an answer is that of its request and whole;
//   - a backend server gets nothing 2 s after its drain was acknowledged;
//   - once all faults are over, the site serves again.
//
// A seed decides the faults and their times. The command ends only processes
// that it started.
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

// keptSeeds have failed once. They run first, each with the cause.
var keptSeeds = []struct {
	seed  uint64
	cause string
}{
	{231, "all processes of the machine stood still together, for 3.5 s at the longest, at a load of 38 on 6 cores"},
}

func main() {
	options := soakOptions{binary: "build/mangostandd", nodes: 6, faultTime: 8 * time.Second}
	first, seeds, kept := uint64(1), 3, true
	flaggy.SetName("soak")
	flaggy.SetDescription("inject faults into a site of node processes and check its promises")
	flaggy.DefaultParser.ShowCompletion = false
	flaggy.String(&options.binary, "b", "binary", "path of mangostandd")
	flaggy.Int(&options.nodes, "n", "nodes", "number of nodes, 2 to 200")
	flaggy.UInt64(&first, "f", "first", "first seed")
	flaggy.Int(&seeds, "s", "seeds", "number of seeds")
	flaggy.Duration(&options.faultTime, "t", "fault-time", "time in which faults begin")
	flaggy.Bool(&kept, "k", "kept", "run the kept seeds, too")
	flaggy.Parse()
	if options.nodes < 2 || options.nodes > 200 {
		fmt.Fprintln(os.Stderr, "--nodes: expected 2 to 200")
		os.Exit(2)
	}
	var list []uint64
	if kept {
		for _, k := range keptSeeds {
			list = append(list, k.seed)
		}
	}
	for i := range seeds {
		list = append(list, first+uint64(i))
	}
	os.Exit(runSeeds(options, list))
}

func runSeeds(options soakOptions, seeds []uint64) int {
	binary, err := filepath.Abs(options.binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	options.binary = binary
	failed := 0
	for _, seed := range seeds {
		started := time.Now()
		summary, err := runSeed(context.Background(), options, seed)
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

// soakOptions describe a run.
type soakOptions struct {
	binary    string
	nodes     int
	faultTime time.Duration
}

// promises collects broken promises.
type promises struct{ broken []string }

func (p *promises) add(format string, args ...any) {
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
}

func (p *promises) err(dir string) error {
	if len(p.broken) == 0 {
		return nil
	}
	return errors.Errorf("%s (%d broken, logs in %s)", p.broken[0], len(p.broken), dir)
}
