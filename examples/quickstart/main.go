// Command quickstart runs a site in small on this machine: the stand-ins and
// nodes as separate processes, recorded calls, two faults and a repeated
// booking. It ends with a table and exits 0 only if every check passed. It is
// not shipped.
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

// version is set at build time.
var version = "development"

// Exit statuses.
const (
	exitCheckFailed = 1
	exitBadInput    = 2
	exitNotRun      = 3
)

// totalTimeout ends a run that hangs.
const totalTimeout = 90 * time.Second

// options are the arguments of a run.
type options struct {
	site     string
	bin      string
	examples string
	keep     bool
	// hold starts the site and leaves it running until an interrupt.
	hold bool
}

func init() {
	// Children die with the thread that started them (see newChild), so all of
	// them are started from the main thread, which lives to the end.
	runtime.LockOSThread()
}

func main() {
	o := options{site: "thies", bin: "build", examples: "examples"}
	parser := flaggy.NewParser("quickstart")
	parser.Description = "runs a site in small on this machine and checks it"
	parser.Version = version
	parser.ShowCompletion = false
	parser.String(&o.site, "s", "site", "site to run: thies or great-lakes")
	parser.String(&o.bin, "b", "bin", "directory of the programs")
	parser.String(&o.examples, "e", "examples", "directory of the examples")
	parser.Bool(&o.keep, "k", "keep", "keep settings and logs after a run that passed")
	parser.Bool(&o.hold, "", "hold", "start the site and leave it running until an interrupt")
	if err := parser.ParseArgs(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(exitBadInput)
	}
	os.Exit(run(o))
}

func run(o options) int {
	site := siteByName(o.site)
	if site == nil {
		fmt.Fprintf(os.Stderr, "quickstart: site %q: expected thies or great-lakes\n", o.site)
		return exitBadInput
	}
	recorded, err := readInput(filepath.Join(o.examples, site.Name, "requests.tsv"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		return exitBadInput
	}
	dir, err := os.MkdirTemp("", "mangostand-quickstart-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if !o.hold {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, totalTimeout)
		defer cancel()
	}
	passed, err := runSite(ctx, site, recorded, o, dir)
	if passed && !o.keep {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("settings and logs:", dir)
	}
	switch {
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(os.Stderr, "quickstart: interrupted")
		return exitNotRun
	case err != nil:
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		return exitNotRun
	case !passed:
		return exitCheckFailed
	}
	return 0
}

// runSite starts the fleet, runs the phases and reports. All children have
// ended when it returns.
func runSite(ctx context.Context, site *Site, recorded []Recorded, o options, dir string) (bool, error) {
	started := time.Now()
	fleet, err := newFleet(site, o, dir)
	if err != nil {
		return false, errors.Trace(err)
	}
	defer fleet.stop()
	if err := fleet.start(ctx); err != nil {
		return false, errors.Trace(err)
	}
	fmt.Printf("%s: %d nodes and backend servers ready after %.1f s\n", site.Title, len(fleet.hosts), time.Since(started).Seconds())
	if o.hold {
		holdSite(ctx, fleet)
		return true, nil
	}
	results, err := runPhases(ctx, fleet, recorded)
	if err != nil {
		return false, errors.Trace(err)
	}
	passed, err := report(ctx, fleet, results)
	fmt.Printf("run time %.1f s\n", time.Since(started).Seconds())
	return passed, errors.Trace(err)
}

// holdSite shows the addresses of a running site and waits for an interrupt.
func holdSite(ctx context.Context, f *fleet) {
	w := newTable("instance\tfailure domain\tcallers\toperators\tbackend server")
	for _, h := range f.hosts {
		_, _ = fmt.Fprintf(w, "%s\t%s\thttp://%s\thttp://%s\thttp://%s\n", h.name, h.domain, h.callers, h.operators, h.server)
	}
	endTable(w)
	fmt.Printf("store http://%s, execution log http://%s, relay http://%s\n", f.store, f.executionLog, f.relay)
	fmt.Printf("settings and logs in %s; interrupt to stop\n", f.dir)
	<-ctx.Done()
}
