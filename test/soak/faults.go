package main

import (
	"context"
	"sync"
	"syscall"
	"time"

	"mangostand.example/mangostand/pkg/standin/meshsite"
	"mangostand.example/mangostand/pkg/standin/store"
	"mangostand.example/mangostand/pkg/standin/tcprelay"
)

const (
	// faultGap is the mean time between the begins of two faults, so that some
	// overlap; longestFault bounds how long one lasts.
	faultGap     = 700 * time.Millisecond
	longestFault = 3 * time.Second
	// storeDelay is the answer time of a slow store in milliseconds.
	storeDelay = 300
	linkDelay  = 40 * time.Millisecond
	// endLimit bounds the wait for a process that was told to stop: the grace
	// time of the platform and a margin.
	endLimit = 7 * time.Second
)

// fault is one kind of trouble. It lasts until its function returns.
type fault struct {
	name string
	run  func(s *soak, n *meshsite.Node, lasts time.Duration)
}

var faults = []fault{
	{"kill", func(_ *soak, n *meshsite.Node, lasts time.Duration) {
		n.Signal(syscall.SIGKILL)
		n.WaitForExit(endLimit)
		time.Sleep(lasts / 4)
		restart(n)
	}},
	{"term", func(s *soak, n *meshsite.Node, _ time.Duration) {
		n.Signal(syscall.SIGTERM)
		if !n.WaitForExit(endLimit) {
			s.mu.Lock()
			s.promises.add("%s still runs %s after SIGTERM", n.Name, endLimit)
			s.mu.Unlock()
			n.Signal(syscall.SIGKILL)
			n.WaitForExit(endLimit)
		}
		restart(n)
	}},
	{"pause", func(_ *soak, n *meshsite.Node, lasts time.Duration) {
		n.Signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		n.Signal(syscall.SIGCONT)
	}},
	{"hup", func(_ *soak, n *meshsite.Node, _ time.Duration) { n.Signal(syscall.SIGHUP) }},
	{"peer silent", onPeer(tcprelay.Faults{BlackholeToServer: true, BlackholeToClient: true})},
	{"peer answers lost", onPeer(tcprelay.Faults{BlackholeToClient: true})},
	{"peer refused", onPeer(tcprelay.Faults{RefuseConnections: true})},
	{"peer slow", onPeer(tcprelay.Faults{Delay: linkDelay})},
	{"peer reset", func(_ *soak, n *meshsite.Node, _ time.Duration) { n.PeerRelay.ResetConnections() }},
	{"server answers lost", func(_ *soak, n *meshsite.Node, lasts time.Duration) {
		n.ServerRelay.SetFaults(tcprelay.Faults{BlackholeToClient: true})
		time.Sleep(lasts / 2)
		n.ServerRelay.SetFaults(tcprelay.Faults{})
		n.ServerRelay.ResetConnections()
	}},
	{"server reset", func(_ *soak, n *meshsite.Node, _ time.Duration) { n.ServerRelay.ResetConnections() }},
	{"store cut", func(_ *soak, n *meshsite.Node, lasts time.Duration) {
		n.StoreRelay.SetFaults(tcprelay.Faults{BlackholeToServer: true})
		time.Sleep(lasts)
		n.StoreRelay.SetFaults(tcprelay.Faults{})
		n.StoreRelay.ResetConnections()
	}},
	{"store down", onStore(store.Faults{Outage: true})},
	{"store slow", onStore(store.Faults{DelayMillis: storeDelay})},
	{"store loses answers", onStore(store.Faults{LoseResponses: 20, LoseRequests: 20})},
	{"store compacted", func(s *soak, _ *meshsite.Node, _ time.Duration) { s.site.Store.Compact() }},
	{"configuration", func(s *soak, _ *meshsite.Node, _ time.Duration) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if err := s.site.PublishConfig(routeTimeout); err != nil {
			s.promises.add("configuration: %v", err)
		}
	}},
	{"drain", drain},
}

func restart(n *meshsite.Node) {
	if err := n.StartProcess(); err != nil {
		panic(err)
	}
}

// onPeer harms the way of other nodes to a node.
func onPeer(h tcprelay.Faults) func(*soak, *meshsite.Node, time.Duration) {
	return func(_ *soak, n *meshsite.Node, lasts time.Duration) {
		n.PeerRelay.SetFaults(h)
		time.Sleep(lasts)
		n.PeerRelay.SetFaults(tcprelay.Faults{})
		n.PeerRelay.ResetConnections()
	}
}

// onStore makes the store misbehave towards all nodes.
func onStore(f store.Faults) func(*soak, *meshsite.Node, time.Duration) {
	return func(s *soak, _ *meshsite.Node, lasts time.Duration) {
		s.site.Store.SetFaults(f)
		time.Sleep(lasts)
		s.site.Store.SetFaults(store.Faults{})
	}
}

// drain takes the backend server of a node away, at most of a third of them.
func drain(s *soak, n *meshsite.Node, _ time.Duration) {
	s.mu.Lock()
	_, done := s.drained[n]
	enough := 3*(len(s.drained)+1) > len(s.site.Nodes)
	s.mu.Unlock()
	if done || enough {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), longestFault)
	defer cancel()
	if n.BackendServer.Drain(ctx) {
		s.mu.Lock()
		s.drained[n] = time.Now()
		s.mu.Unlock()
	}
}

// inject begins faults for a time and waits until all are over. Faults of one
// kind on one node do not overlap with themselves; others do.
func (s *soak) inject(ctx context.Context, faultTime time.Duration) []string {
	var names []string
	var running sync.WaitGroup
	locks := map[*meshsite.Node]*sync.Mutex{}
	for _, n := range s.site.Nodes {
		locks[n] = &sync.Mutex{}
	}
	for end := time.Now().Add(faultTime); time.Now().Before(end) && ctx.Err() == nil; {
		f := faults[s.random.IntN(len(faults))]
		n := s.site.Nodes[s.random.IntN(len(s.site.Nodes))]
		lasts := time.Duration(s.random.Int64N(int64(longestFault)))
		gap := time.Duration(s.random.Int64N(int64(2 * faultGap)))
		names = append(names, f.name)
		running.Go(func() {
			if isProcessFault(f.name) {
				locks[n].Lock()
				defer locks[n].Unlock()
			}
			f.run(s, n, lasts)
		})
		time.Sleep(gap)
	}
	running.Wait()
	return names
}

// isProcessFault reports whether a fault acts on the process of a node, of
// which one is acted on at a time.
func isProcessFault(name string) bool {
	return name == "kill" || name == "term" || name == "pause"
}
