// Command capacity measures the resources that a node uses at several fleet
// sizes, with real node processes on this machine, and extrapolates each figure
// to the fleet size of the design page. It is not part of a release.
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
	exitFailure = 1
	exitUsage   = 2
)

const (
	// maxNodes limits the node processes of a run.
	maxNodes = 200
	// designSize is the number of nodes in section 1.4 of the design page.
	designSize = 600
	// runTimeout aborts a run that hangs.
	runTimeout = 4 * time.Minute
)

// options are the command-line options.
type options struct {
	binDir         string
	outFile        string
	sizes          []int
	settleDuration time.Duration
	windowDuration time.Duration
	callCount      int
	// platform measures the control traffic of nodes on the deployment
	// platform.
	platform bool
}

func init() {
	// Pdeathsig kills a child when the thread that started it ends (see
	// startProcess), so all children are started from the main thread.
	runtime.LockOSThread()
}

func main() {
	o := options{binDir: "build", outFile: "bench/results/capacity.csv", settleDuration: 10 * time.Second, windowDuration: 15 * time.Second, callCount: 200}
	sizes := "10,40,100,200"
	parser := flaggy.NewParser("capacity")
	parser.Description = "measures the cost of a node against the size of the fleet"
	parser.Version = version
	parser.ShowCompletion = false
	parser.String(&o.binDir, "b", "bin", "directory of the programs")
	parser.String(&o.outFile, "o", "out", "result file (CSV)")
	parser.String(&sizes, "s", "sizes", "rising fleet sizes, at most 200, separated by commas")
	parser.Duration(&o.settleDuration, "", "settle", "time from the full fleet to the start of a window")
	parser.Duration(&o.windowDuration, "w", "window", "time over which a size is measured")
	parser.Int(&o.callCount, "", "calls", "non-idempotent calls that measure the bytes of a call")
	parser.Bool(&o.platform, "p", "platform", "measure the control of nodes on the users' platform, without calls")
	err := parser.ParseArgs(os.Args[1:])
	if err == nil {
		o.sizes, err = parseSizes(sizes)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(exitUsage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(exitFailure)
	}
}

// parseSizes parses a comma-separated list of ascending fleet sizes.
func parseSizes(text string) ([]int, error) {
	var sizes []int
	previous := 1
	for _, field := range strings.Split(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n <= previous || n > maxNodes {
			return nil, errors.Errorf("size %q: expected rising numbers from 2 to %d", field, maxNodes)
		}
		sizes = append(sizes, n)
		previous = n
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
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	started := time.Now()
	fmt.Println(machineState())
	table := &results{}
	measureErr := measureAll(ctx, o, dir, table)
	if measureErr != nil {
		fmt.Println("settings and logs:", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	// Results of the sizes measured before a failure are written, too.
	if err := os.MkdirAll(filepath.Dir(o.outFile), 0o755); err != nil {
		return errors.Trace(err)
	}
	if err := table.write(o.outFile); err != nil {
		return errors.Trace(err)
	}
	table.printTables(os.Stdout)
	fmt.Println(machineState())
	fmt.Printf("run time %.0f s, results in %s\n", time.Since(started).Seconds(), o.outFile)
	return errors.Trace(measureErr)
}

func measureAll(ctx context.Context, o options, dir string, table *results) error {
	if o.platform {
		return measurePlatform(ctx, o, dir, table)
	}
	measureBoard(table)
	measureKeyRecords(table)
	return measureFleet(ctx, o, dir, table)
}

// measureFleet grows one fleet to each size in turn and measures it.
func measureFleet(ctx context.Context, o options, dir string, table *results) error {
	f, err := newFleet(ctx, o, dir)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.stop()
	for _, size := range o.sizes {
		if err := f.growTo(ctx, size); err != nil {
			return errors.Annotatef(err, "fleet of %d", size)
		}
		if err := sleep(ctx, o.settleDuration); err != nil {
			return errors.Trace(err)
		}
		if err := f.measureWindow(ctx, o.windowDuration, table); err != nil {
			return errors.Annotatef(err, "fleet of %d", size)
		}
		fmt.Printf("measured %d nodes\n", size)
	}
	return errors.Trace(f.measureCalls(ctx, o.callCount, table))
}

// sleep sleeps for d and returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-time.After(d):
		return nil
	}
}

// machineState returns the time, the number of cores and the load average.
func machineState() string {
	loadAverage, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "load average not known"
	}
	return fmt.Sprintf("%s: %d cores, load average %s", time.Now().UTC().Format(time.DateTime), runtime.NumCPU(), strings.TrimSpace(string(loadAverage)))
}
