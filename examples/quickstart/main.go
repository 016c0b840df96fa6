// Command quickstart runs a scaled-down site on this machine, with the nodes and
// the test doubles of backend servers and of the platform as separate processes.
// It replays recorded calls, injects two faults and repeats a booking, prints a
// report and exits with status 0 only if every check passed. It is not shipped.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

// version is set at build time with -ldflags.
var version = "development"

// Exit statuses.
const (
	exitCheckFailed  = 1
	exitInvalidInput = 2
	exitAborted      = 3
)

// runTimeout bounds a run, so that it cannot hang.
const runTimeout = 90 * time.Second

// options are the command-line options.
type options struct {
	siteName    string
	binDir      string
	examplesDir string
	keepFiles   bool
	// keepRunning starts the site and keeps it running until an interrupt, without
	// calls or checks.
	keepRunning bool
}

func init() {
	// The kernel kills a child when the thread that started it exits (Pdeathsig in
	// startProcess), so all children are started from the main thread, which lives
	// as long as the process.
	runtime.LockOSThread()
}

func main() {
	opts := options{siteName: "thies", binDir: "build", examplesDir: "examples"}
	parser := flaggy.NewParser("quickstart")
	parser.Description = "runs a site in small on this machine and checks it"
	parser.Version = version
	parser.ShowCompletion = false
	parser.String(&opts.siteName, "s", "site", "site to run: thies or great-lakes")
	parser.String(&opts.binDir, "b", "bin", "directory of the programs")
	parser.String(&opts.examplesDir, "e", "examples", "directory of the examples")
	parser.Bool(&opts.keepFiles, "k", "keep", "keep settings and logs after a run that passed")
	parser.Bool(&opts.keepRunning, "", "hold", "start the site and leave it running until an interrupt")
	if err := parser.ParseArgs(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(exitInvalidInput)
	}
	os.Exit(run(opts))
}

func run(opts options) int {
	site := siteByName(opts.siteName)
	if site == nil {
		fmt.Fprintf(os.Stderr, "quickstart: site %q: expected thies or great-lakes\n", opts.siteName)
		return exitInvalidInput
	}
	recorded, err := readRecording(filepath.Join(opts.examplesDir, site.Name, "requests.tsv"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		return exitInvalidInput
	}
	dir, err := os.MkdirTemp("", "mangostand-quickstart-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		return exitAborted
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if !opts.keepRunning {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, runTimeout)
		defer cancel()
	}
	passed, err := runSite(ctx, site, recorded, opts, dir)
	if passed && !opts.keepFiles {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("settings and logs:", dir)
	}
	switch {
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(os.Stderr, "quickstart: interrupted")
		return exitAborted
	case err != nil:
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		return exitAborted
	case !passed:
		return exitCheckFailed
	}
	return 0
}

// runSite starts the fleet, runs the phases and prints the report. All children
// have exited when it returns.
func runSite(ctx context.Context, site *Site, recorded []RecordedCall, opts options, dir string) (bool, error) {
	started := time.Now()
	f, err := newFleet(site, opts, dir)
	if err != nil {
		return false, errors.Trace(err)
	}
	defer f.stop()
	if err := f.start(ctx); err != nil {
		return false, errors.Trace(err)
	}
	fmt.Printf("%s: %d nodes and backend servers ready after %.1f s\n", site.DisplayName, len(f.instances), time.Since(started).Seconds())
	if opts.keepRunning {
		serveUntilInterrupt(ctx, f)
		return true, nil
	}
	r, err := runPhases(ctx, f, recorded)
	if err != nil {
		return false, errors.Trace(err)
	}
	passed, err := printReport(ctx, f, r)
	fmt.Printf("run time %.1f s\n", time.Since(started).Seconds())
	return passed, errors.Trace(err)
}

// serveUntilInterrupt prints the addresses of a running site and waits for an
// interrupt.
func serveUntilInterrupt(ctx context.Context, f *fleet) {
	w := newTable("instance\tfailure domain\tcallers\toperators\tbackend server")
	for _, inst := range f.instances {
		_, _ = fmt.Fprintf(w, "%s\t%s\thttp://%s\thttp://%s\thttp://%s\n", inst.name, inst.failureDomain, inst.callerAddr, inst.operatorAddr, inst.serverAddr)
	}
	flushTable(w)
	fmt.Printf("store http://%s, execution log http://%s, relay http://%s\n", f.storeAddr, f.executionLogAddr, f.relayAdminAddr)
	fmt.Printf("settings and logs in %s; interrupt to stop\n", f.dir)
	<-ctx.Done()
}
