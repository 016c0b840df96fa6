// Command quickstart-platform runs a small site on this machine that follows the
// protocols of the deployment platform: a store, backend servers and a node
// process for each of them. It sends reads and bookings, publishes a
// configuration, drains a backend server, restarts a node, and compares the
// responses to the callers with the executions by the backend servers.
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
	startTimeout  = 30 * time.Second
	phaseDuration = 3 * time.Second
	// callInterval is the pause of a caller between two calls.
	callInterval   = 10 * time.Millisecond
	callersPerNode = 2
	// requestsPerBooking makes every third request a booking.
	requestsPerBooking = 3
	callerTimeout      = 2 * time.Second
	routeTimeout       = 1500 * time.Millisecond
	// drainTimeLimit is the time from the acknowledgement of a drain after which
	// the backend server must not receive calls.
	drainTimeLimit = 2 * time.Second
	stopTimeout    = 8 * time.Second
	// minServedRatio is the share of all calls of the run that must be served.
	minServedRatio = 0.95
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
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	site, err := meshsite.Start(ctx, meshsite.Options{
		Binary: absolute, Dir: dir, Nodes: nodes, Service: "desk", Slots: 8, ServiceTime: 20 * time.Millisecond, RouteTimeout: routeTimeout,
	})
	if err != nil {
		return errors.Annotatef(err, "starting the site, see the logs in %s", dir)
	}
	defer site.Stop()
	fmt.Printf("%d nodes are ready, logs in %s\n", nodes, dir)
	generator := startLoadGenerator(site)
	err = runPhases(site, generator)
	generator.stop()
	if err != nil {
		return errors.Trace(err)
	}
	return generator.verify(site.ExecutionLog)
}

// runPhases changes the configuration, drains a backend server and restarts a
// node, one after the other, while the callers send calls.
func runPhases(site *meshsite.Site, l *loadGenerator) error {
	time.Sleep(phaseDuration)
	l.printPhase("calm")
	if err := site.PublishConfig(routeTimeout / 2); err != nil {
		return errors.Trace(err)
	}
	time.Sleep(phaseDuration)
	l.printPhase("another configuration")
	if err := drainBackendServer(site.Nodes[0]); err != nil {
		return err
	}
	time.Sleep(phaseDuration)
	l.printPhase("a backend server drained")
	restarted := site.Nodes[len(site.Nodes)-1]
	restarted.Signal(syscall.SIGTERM)
	if !restarted.WaitForExit(stopTimeout) {
		return errors.Errorf("%s did not stop", restarted.Name)
	}
	if err := restarted.StartProcess(); err != nil {
		return errors.Trace(err)
	}
	time.Sleep(phaseDuration)
	l.printPhase("a node restarted")
	return nil
}

// drainBackendServer drains a backend server and checks that it receives no calls
// from drainTimeLimit after the acknowledgement.
func drainBackendServer(n *meshsite.Node) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeLimit)
	defer cancel()
	if !n.BackendServer.Drain(ctx) {
		return errors.Errorf("the drain of %s was not acknowledged", n.BackendServer.ID)
	}
	ackedAt := time.Now()
	time.Sleep(drainTimeLimit + phaseDuration)
	if lastExecution := time.Unix(0, n.BackendServer.LastExecutionUnixNano.Load()); lastExecution.After(ackedAt.Add(drainTimeLimit)) {
		return errors.Errorf("%s got a call %s after its drain was acknowledged", n.BackendServer.ID, lastExecution.Sub(ackedAt))
	}
	return nil
}

// loadGenerator runs the callers and collects the results of their requests.
type loadGenerator struct {
	cancel  context.CancelFunc
	callers sync.WaitGroup

	mu      sync.Mutex
	results []standin.Result
	// reported is the number of results that printPhase has printed.
	reported int
}

func startLoadGenerator(site *meshsite.Site) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{cancel: cancel}
	for i, n := range site.Nodes {
		for j := range callersPerNode {
			l.callers.Go(func() {
				standin.NewCaller(n.CallerAddr).SendLoop(ctx, fmt.Sprintf("%d-%d", i, j), requestsPerBooking, callInterval, callerTimeout, l.record)
			})
		}
	}
	return l
}

func (l *loadGenerator) record(result standin.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}

func (l *loadGenerator) stop() {
	l.cancel()
	l.callers.Wait()
}

// printPhase prints the outcomes of the results since its last call.
func (l *loadGenerator) printPhase(phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[standin.Outcome]int{}
	for _, r := range l.results[l.reported:] {
		counts[r.Outcome]++
	}
	fmt.Printf("%-26s served %5d, not run %4d, open %4d\n", phase, counts[standin.Served], counts[standin.NotExecuted], counts[standin.Unknown])
	l.reported = len(l.results)
}

// verify compares the results with the executions by the backend servers.
func (l *loadGenerator) verify(log *standin.ExecutionLog) error {
	served := 0
	for _, r := range l.results {
		if r.Outcome == standin.Served {
			served++
		}
		if violation := standin.FindViolation(r, log); violation != "" {
			return errors.New(violation)
		}
	}
	if invalid := log.InvalidRequests(); len(invalid) > 0 {
		return errors.Errorf("invalid request to a backend server: %s", invalid[0])
	}
	if ratio := float64(served) / float64(len(l.results)); ratio < minServedRatio {
		return errors.Errorf("%.3f of %d calls were served, expected %.2f", ratio, len(l.results), minServedRatio)
	}
	fmt.Printf("%d calls, %d served, each booking ran once at most, each answer was that of its request\n", len(l.results), served)
	return nil
}
