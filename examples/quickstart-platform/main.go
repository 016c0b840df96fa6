// Command quickstart-platform runs a small site with the platform's manners on
// this machine: a store, backend servers and a node process beside each. It
// sends reads and bookings, changes the configuration, drains a backend server,
// restarts a node, and checks what callers and backend servers saw.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/standin/meshsite"
	"mangostand.example/mangostand/platform/standin"
)

const (
	startLimit = 30 * time.Second
	phaseTime  = 3 * time.Second
	// callSpacing is the time between two calls of a caller.
	callSpacing = 10 * time.Millisecond
	callersPer  = 2
	// bookEvery makes each third call a booking.
	bookEvery    = 3
	callerWait   = 2 * time.Second
	routeTimeout = 1500 * time.Millisecond
	drainLimit   = 2 * time.Second
	stopLimit    = 8 * time.Second
	// leastServed is the share of calls that a calm site has to serve.
	leastServed = 0.95
)

func main() {
	binary, nodes := "build/mangostandd", 5
	flaggy.SetName("quickstart-platform")
	flaggy.SetDescription("run a small site with the platform's manners on this machine")
	flaggy.DefaultParser.ShowCompletion = false
	flaggy.String(&binary, "b", "binary", "path of mangostandd")
	flaggy.Int(&nodes, "n", "nodes", "number of nodes, 2 to 50")
	flaggy.Parse()
	if nodes < 2 || nodes > 50 {
		fmt.Fprintln(os.Stderr, "--nodes: expected 2 to 50")
		os.Exit(2)
	}
	if err := run(binary, nodes); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart-platform:", err)
		os.Exit(1)
	}
}

func run(binary string, nodes int) error {
	dir, err := os.MkdirTemp("", "quickstart-platform")
	if err != nil {
		return errors.Trace(err)
	}
	absolute, err := filepath.Abs(binary)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	site, err := meshsite.Start(ctx, meshsite.Options{
		Binary: absolute, Dir: dir, Nodes: nodes, Service: "desk", Slots: 8, ServiceTime: 20 * time.Millisecond, RouteTimeout: routeTimeout,
	})
	if err != nil {
		return errors.Annotatef(err, "starting the site, see the logs in %s", dir)
	}
	defer site.Stop()
	fmt.Printf("%d nodes are ready, logs in %s\n", nodes, dir)
	load := startLoad(site)
	err = phases(site, load)
	load.end()
	if err != nil {
		return errors.Trace(err)
	}
	return load.check(site.ExecutionLog)
}

// phases makes the changes one after the other while the load goes on.
func phases(site *meshsite.Site, l *load) error {
	time.Sleep(phaseTime)
	l.report("calm")
	if err := site.PublishConfig(routeTimeout / 2); err != nil {
		return errors.Trace(err)
	}
	time.Sleep(phaseTime)
	l.report("another configuration")
	if err := drain(site.Nodes[0]); err != nil {
		return err
	}
	time.Sleep(phaseTime)
	l.report("a backend server drained")
	last := site.Nodes[len(site.Nodes)-1]
	last.Signal(syscall.SIGTERM)
	if !last.WaitForExit(stopLimit) {
		return errors.Errorf("%s did not stop", last.Name)
	}
	if err := last.StartProcess(); err != nil {
		return errors.Trace(err)
	}
	time.Sleep(phaseTime)
	l.report("a node restarted")
	return nil
}

// drain announces that a backend server leaves and checks that it gets nothing
// any more.
func drain(n *meshsite.Node) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	if !n.BackendServer.Drain(ctx) {
		return errors.Errorf("the drain of %s was not acknowledged", n.BackendServer.ID)
	}
	acknowledged := time.Now()
	time.Sleep(drainLimit + phaseTime)
	if last := time.Unix(0, n.BackendServer.LastExecutionUnixNano.Load()); last.After(acknowledged.Add(drainLimit)) {
		return errors.Errorf("%s got a call %s after its drain was acknowledged", n.BackendServer.ID, last.Sub(acknowledged))
	}
	return nil
}

// load is the running callers and what they saw.
type load struct {
	cancel  context.CancelFunc
	callers sync.WaitGroup

	mu      sync.Mutex
	results []standin.Result
	from    int
}

func startLoad(site *meshsite.Site) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for i, n := range site.Nodes {
		for j := range callersPer {
			l.callers.Go(func() {
				standin.NewCaller(n.CallerAddr).SendLoop(ctx, fmt.Sprintf("%d-%d", i, j), bookEvery, callSpacing, callerWait, l.add)
			})
		}
	}
	return l
}

func (l *load) add(result standin.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}

func (l *load) end() {
	l.cancel()
	l.callers.Wait()
}

// report prints what callers saw since the last report.
func (l *load) report(phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[standin.Outcome]int{}
	for _, r := range l.results[l.from:] {
		counts[r.Outcome]++
	}
	fmt.Printf("%-26s served %5d, not run %4d, open %4d\n", phase, counts[standin.Served], counts[standin.NotExecuted], counts[standin.Unknown])
	l.from = len(l.results)
}

// check compares what callers were told with what backend servers ran.
func (l *load) check(log *standin.ExecutionLog) error {
	served := 0
	for _, r := range l.results {
		if r.Outcome == standin.Served {
			served++
		}
		if fault := standin.FindViolation(r, log); fault != "" {
			return errors.New(fault)
		}
	}
	if wrong := log.InvalidRequests(); len(wrong) > 0 {
		return errors.Errorf("misdirected: %s", wrong[0])
	}
	if share := float64(served) / float64(len(l.results)); share < leastServed {
		return errors.Errorf("%.3f of %d calls were served, expected %.2f", share, len(l.results), leastServed)
	}
	fmt.Printf("%d calls, %d served, each booking ran once at most, each answer was that of its request\n", len(l.results), served)
	return nil
}
