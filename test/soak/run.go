package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/standin/meshsite"
	"mangostand.example/mangostand/platform/standin"
)

const (
	startLimit   = 60 * time.Second
	routeTimeout = 1200 * time.Millisecond
	callerWait   = 1500 * time.Millisecond
	// recoveryTime is left to the site after the last fault; the platform asks
	// for service within 15 s.
	recoveryTime = 8 * time.Second
	// calmTime is the time after it in which the site has to serve.
	calmTime = 2 * time.Second
	// leastServed is the share of calls that it has to serve then. Backend
	// servers that drained or crashed may be missing.
	leastServed = 0.8
	callSpacing = 15 * time.Millisecond
	// bookEvery makes each second call a booking.
	bookEvery = 2
	drainTime = 2 * time.Second
)

// runSeed plays one seed and returns a summary and the first broken promise.
func runSeed(ctx context.Context, o soakOptions, seed uint64) (string, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return "", errors.Trace(err)
	}
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	site, err := meshsite.Start(starting, meshsite.Options{
		Binary: o.binary, Dir: dir, Nodes: o.nodes, Service: "desk", Slots: 6, ServiceTime: 25 * time.Millisecond, RouteTimeout: routeTimeout,
	})
	if err != nil {
		return "", errors.Annotatef(err, "starting the site, logs in %s", dir)
	}
	defer site.Stop()
	s := &soak{site: site, random: rand.New(rand.NewPCG(seed, seed)), drained: map[*meshsite.Node]time.Time{}}
	faults := s.play(ctx, o.faultTime)
	err = s.promises.err(dir)
	if err == nil {
		_ = os.RemoveAll(dir)
	}
	summary := fmt.Sprintf("%d calls, %d served, faults %v", len(s.results), s.served, faults)
	if starved := site.CheckDescriptors(); starved != nil {
		summary += ", " + starved.Error()
	}
	return summary, err
}

// soak is one run.
type soak struct {
	site     *meshsite.Site
	random   *rand.Rand
	promises promises

	mu      sync.Mutex
	results []standin.Result
	calm    []standin.Result
	isCalm  bool
	served  int
	// drained holds when the drain of a node's backend server was acknowledged.
	drained map[*meshsite.Node]time.Time
}

// play runs the callers, injects the faults, and checks the promises.
func (s *soak) play(ctx context.Context, faultTime time.Duration) []string {
	calling, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i, n := range s.site.Nodes {
		callers.Go(func() {
			standin.NewCaller(n.CallerAddr).SendLoop(calling, fmt.Sprintf("c%d", i), bookEvery, callSpacing, callerWait, s.add)
		})
	}
	faults := s.inject(ctx, faultTime)
	time.Sleep(recoveryTime)
	s.mu.Lock()
	s.isCalm = true
	s.mu.Unlock()
	time.Sleep(calmTime)
	stop()
	callers.Wait()
	s.check()
	return faults
}

func (s *soak) add(result standin.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, result)
	if s.isCalm {
		s.calm = append(s.calm, result)
	}
}

func (s *soak) check() {
	for _, r := range s.results {
		if r.Outcome == standin.Served {
			s.served++
		}
		if broken := standin.FindViolation(r, s.site.ExecutionLog); broken != "" {
			s.promises.add("%s", broken)
		}
	}
	for _, wrong := range s.site.ExecutionLog.InvalidRequests() {
		s.promises.add("misdirected: %s", wrong)
	}
	for n, at := range s.drained {
		if last := time.Unix(0, n.BackendServer.LastExecutionUnixNano.Load()); last.After(at.Add(drainTime)) {
			s.promises.add("%s got a call %s after its drain was acknowledged", n.BackendServer.ID, last.Sub(at))
		}
	}
	served := 0
	for _, r := range s.calm {
		if r.Outcome == standin.Served {
			served++
		}
	}
	if float64(served) < leastServed*float64(len(s.calm)) || served == 0 {
		s.promises.add("%d of %d calls were served after the faults", served, len(s.calm))
	}
}
