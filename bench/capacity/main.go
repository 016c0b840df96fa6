// Command capacity measures what a node costs at several fleet sizes, with
// real node processes on this machine, and extrapolates each figure to the size
// that the design page names. It is not shipped.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

// version is set at build time.
var version = "development"

// Exit statuses.
const (
	exitNotRun   = 1
	exitBadInput = 2
)

const (
	// maxNodes bounds the processes of a run.
	maxNodes = 200
	// designSize is the fleet of section 1.4 of the design page.
	designSize = 600
	// totalTimeout ends a run that hangs.
	totalTimeout = 4 * time.Minute
)

// options are the arguments of a run.
type options struct {
	bin    string
	out    string
	sizes  []int
	settle time.Duration
	window time.Duration
	calls  int
	// platform measures nodes on the users' platform.
	platform bool
}

func init() {
	// Children die with the thread that started them (see newChild), so all of
	// them are started from the main thread, which lives to the end.
	runtime.LockOSThread()
}

func main() {
	o := options{bin: "build", out: "bench/results/capacity.csv", settle: 10 * time.Second, window: 15 * time.Second, calls: 200}
	sizes := "10,40,100,200"
	parser := flaggy.NewParser("capacity")
	parser.Description = "measures the cost of a node against the size of the fleet"
	parser.Version = version
	parser.ShowCompletion = false
	parser.String(&o.bin, "b", "bin", "directory of the programs")
	parser.String(&o.out, "o", "out", "result file (CSV)")
	parser.String(&sizes, "s", "sizes", "rising fleet sizes, at most 200, separated by commas")
	parser.Duration(&o.settle, "", "settle", "time from the full fleet to the start of a window")
	parser.Duration(&o.window, "w", "window", "time over which a size is measured")
	parser.Int(&o.calls, "", "calls", "non-idempotent calls that measure the bytes of a call")
	parser.Bool(&o.platform, "p", "platform", "measure the control of nodes on the users' platform, without calls")
	err := parser.ParseArgs(os.Args[1:])
	if err == nil {
		o.sizes, err = parseSizes(sizes)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(exitBadInput)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(exitNotRun)
	}
}

// parseSizes reads rising fleet sizes.
func parseSizes(text string) ([]int, error) {
	var sizes []int
	last := 1
	for _, word := range strings.Split(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(word))
		if err != nil || n <= last || n > maxNodes {
			return nil, errors.Errorf("size %q: expected rising numbers from 2 to %d", word, maxNodes)
		}
		sizes = append(sizes, n)
		last = n
	}
	return sizes, nil
}

func run(o options) error {
	dir, err := os.MkdirTemp("", "mangostand-capacity-")
	if err != nil {
		return errors.Trace(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	started := time.Now()
	fmt.Println(machineState())
	table := &results{}
	failure := measureAll(ctx, o, dir, table)
	if failure != nil {
		fmt.Println("settings and logs:", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	// The sizes that were measured before a failure are kept.
	if err := os.MkdirAll(filepath.Dir(o.out), 0o755); err != nil {
		return errors.Trace(err)
	}
	if err := table.write(o.out); err != nil {
		return errors.Trace(err)
	}
	table.print(os.Stdout)
	fmt.Println(machineState())
	fmt.Printf("run time %.0f s, results in %s\n", time.Since(started).Seconds(), o.out)
	return errors.Trace(failure)
}

func measureAll(ctx context.Context, o options, dir string, table *results) error {
	if o.platform {
		return measurePlatform(ctx, o, dir, table)
	}
	measureBoard(table)
	measureKeyRecords(table)
	return measureFleet(ctx, o, dir, table)
}

// measureFleet grows one fleet through the sizes and measures each.
func measureFleet(ctx context.Context, o options, dir string, table *results) error {
	f, err := newFleet(ctx, o, dir)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.stop()
	for _, size := range o.sizes {
		if err := f.grow(ctx, size); err != nil {
			return errors.Annotatef(err, "fleet of %d", size)
		}
		if err := pause(ctx, o.settle); err != nil {
			return errors.Trace(err)
		}
		if err := f.measure(ctx, o.window, table); err != nil {
			return errors.Annotatef(err, "fleet of %d", size)
		}
		fmt.Printf("measured %d nodes\n", size)
	}
	return errors.Trace(f.measureCalls(ctx, o.calls, table))
}

// pause waits unless ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-time.After(d):
		return nil
	}
}

// machineState says how busy the machine is.
func machineState() string {
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "load average not known"
	}
	return fmt.Sprintf("%s: %d cores, load average %s", time.Now().UTC().Format(time.DateTime), runtime.NumCPU(), strings.TrimSpace(string(load)))
}
