package quota

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// recoverySeeds is the number of seeds of each recovery play.
const recoverySeeds = uint64(24)

// recoveryPlay is a failure that customers at 0.625 of their quotas must hardly notice.
type recoveryPlay struct {
	name  string
	fault func(f *testFleet)
	// checks bound the part of the requests below quota that is refused within a time
	// after the fault.
	checks []refusalCheck
}

type refusalCheck struct {
	from, to time.Duration
	most     float64
}

// restartTime is the time for which the nodes of a play are down, and restartSpread the
// time within which they start.
const (
	restartTime   = time.Second
	restartSpread = 300 * time.Millisecond
	recoveryEnd   = 15 * time.Second
)

var recoveryPlays = []recoveryPlay{
	{"all nodes restart", func(f *testFleet) {
		for i := range f.nodes {
			f.stopNode(i)
			f.after(restartTime+time.Duration(f.random.Int64N(int64(restartSpread))), func() { f.startNode(i) })
		}
	}, []refusalCheck{{restartTime + restartSpread + 700*time.Millisecond, recoveryEnd, 0.03}, {restartTime + restartSpread + 700*time.Millisecond, restartTime + restartSpread + 2700*time.Millisecond, 0.03}}},
	{"the machine of a lender is lost", func(f *testFleet) {
		lost := map[int]bool{f.lenderOf(1): true}
		f.cut = func(from, to int) bool { return lost[from] != lost[to] }
		f.stopNode(f.lenderOf(1))
		f.noticeLinks()
	}, nil},
	{"a third of the nodes is replaced", func(f *testFleet) {
		f.replaceNodes(f.random.Perm(len(f.nodes))[:len(f.nodes)*3/10])
	}, []refusalCheck{{2 * time.Second, recoveryEnd, 0.03}, {2 * time.Second, 4 * time.Second, 0.03}}},
	{"20 nodes leave", func(f *testFleet) {
		for step, i := range f.random.Perm(len(f.nodes))[:20] {
			f.after(time.Duration(step)*400*time.Millisecond, func() { f.leaveNode(i) })
		}
	}, []refusalCheck{{0, recoveryEnd, 0.01}}},
}

// playRecovery plays a failure and checks the bound, and the refusals below quota if no
// customer is hot.
func playRecovery(t *testing.T, p recoveryPlay, seed uint64, hot bool) []float64 {
	quotas := zipfQuotas(float64(seed % 2))
	f := newTestFleet(t, seed, 74, 4, quotas)
	f.runUntil(f.now + 10*time.Second)
	end := f.now + 8*time.Second + recoveryEnd
	hotCustomers := map[string]bool{"customer-0": hot, "customer-9": hot, "customer-78": hot}
	for i := range len(quotas) {
		name := fmt.Sprintf("customer-%d", i)
		rate := 0.625 * quotas[name].Rate
		if hotCustomers[name] {
			rate *= 8.4
		}
		f.demand(name, rate, f.unevenWeights(), end)
	}
	f.runUntil(f.now + 8*time.Second)
	at := f.now
	p.fault(f)
	f.runUntil(end)
	var parts []float64
	for _, check := range p.checks {
		requests, refused := 0, 0
		for name, c := range f.customers {
			if hotCustomers[name] {
				continue
			}
			r := countBetween(c.refused, at+check.from, at+check.to)
			refused += r
			requests += r + countBetween(c.admitted, at+check.from, at+check.to)
		}
		parts = append(parts, float64(refused)/float64(requests))
	}
	worst, worstName := 0.0, ""
	for name, c := range f.customers {
		if most := float64(mostInWindow(c.admitted, 0)) / bound(c.quota); most > worst {
			worst, worstName = most, name
		}
	}
	t.Logf("refused below quota %.4f, most in a window %.3f of the bound (%s)", parts, worst, worstName)
	require.LessOrEqual(t, worst, 1.0, worstName)
	return parts
}

// Guards against customers below their quota that are refused after a failure of many
// nodes, because no lender has parts, accounts begin empty, or parts of nodes that are
// gone lie idle.
func TestCustomersBelowTheirQuotaAreServedAfterFailures(t *testing.T) {
	for _, p := range recoveryPlays {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s, seed %d", p.name, seed), func(t *testing.T) {
				t.Parallel()
				for i, part := range playRecovery(t, p, seed, false) {
					require.LessOrEqual(t, part, p.checks[i].most, "check %d", i)
				}
			})
		}
	}
}

// Guards against customers with 8.4 times their usual load that exceed the bound when a
// new lender takes the requests of earlier ones for fewer than they were.
func TestBoundHoldsWhileManyNodesFail(t *testing.T) {
	for seed := range recoverySeeds {
		p := recoveryPlays[seed%uint64(len(recoveryPlays))]
		t.Run(fmt.Sprintf("%s, seed %d", p.name, seed), func(t *testing.T) {
			t.Parallel()
			playRecovery(t, p, seed/uint64(len(recoveryPlays)), true)
		})
	}
}

const (
	// learnTime is the time within which nodes learn of a new or leaving node, dropTime
	// the time after which they have dropped a lost one.
	learnTime = time.Second
	dropTime  = 3 * time.Second
	// drainTime is the time from the announcement of a graceful stop to its end.
	drainTime = 1500 * time.Millisecond
)

// changeFleet changes the fleet as a node sees it.
func (f *testFleet) changeFleet(n *testNode, change func(members map[board.InstanceID]*board.MeshEndpoint)) {
	if n.down {
		return
	}
	view := &board.Fleet{ByInstance: maps.Clone(n.board.Fleet.Load().ByInstance)}
	change(view.ByInstance)
	view.Size = len(view.ByInstance)
	n.fleet.Publish(view)
	n.controller.fleetChanged(f.now)
	f.step(n)
}

// changeFleets changes the fleet as all other nodes see it, within a time.
func (f *testFleet) changeFleets(except int, within time.Duration, change func(members map[board.InstanceID]*board.MeshEndpoint)) {
	for i, n := range f.nodes {
		if i != except {
			f.after(time.Duration(f.random.Int64N(int64(within))), func() { f.changeFleet(n, change) })
		}
	}
}

// replaceNodes loses the machines of nodes and starts others that get their callers.
func (f *testFleet) replaceNodes(replaced []int) {
	f.cut = func(from, to int) bool { return f.gone[from] || f.gone[to] }
	for _, i := range replaced {
		f.stopNode(i)
		f.gone[i] = true
	}
	f.noticeLinks()
	for _, i := range replaced {
		f.after(dropTime-learnTime, func() {
			f.changeFleets(i, learnTime, func(members map[board.InstanceID]*board.MeshEndpoint) { delete(members, f.ids[i]) })
		})
		f.after(time.Duration(f.random.Int64N(int64(restartSpread))), func() { f.addNode(i) })
	}
}

// addNode starts a new node that gets the callers of another one.
func (f *testFleet) addNode(replaced int) {
	i := len(f.nodes)
	id := board.InstanceID(fmt.Sprintf("node-%d", i))
	f.ids = append(f.ids, id)
	f.nodes = append(f.nodes, &testNode{index: i, down: true})
	f.successors[replaced] = i
	f.startNode(i)
	f.changeFleets(i, learnTime, func(members map[board.InstanceID]*board.MeshEndpoint) {
		members[id] = &board.MeshEndpoint{Record: board.NodeRecord{Instance: id, PeerAddr: string(id)}, Reachability: &board.Reachability{}}
	})
}

// leaveNode stops a node gracefully, whose callers move to the next one.
func (f *testFleet) leaveNode(i int) {
	n, id := f.nodes[i], f.ids[i]
	n.board.Shutdown.Claim("test").Publish(&board.ShutdownState{Requested: true})
	f.changeFleets(i, learnTime, func(members map[board.InstanceID]*board.MeshEndpoint) {
		if members[id] != nil {
			leaving := *members[id]
			leaving.Record.Leaving = true
			members[id] = &leaving
		}
	})
	f.after(drainTime, func() {
		f.stopNode(i)
		f.gone[i] = true
		f.successors[i] = (i + 1) % len(f.nodes)
		f.changeFleets(i, learnTime, func(members map[board.InstanceID]*board.MeshEndpoint) { delete(members, id) })
	})
}

// Guards against the parts of nodes that are gone, which no lender lends for a minute:
// those of nodes that left, and of lost ones whose requests with keys are refused.
func TestPartsOfNodesThatAreGoneAreLent(t *testing.T) {
	part := func(f *testFleet) float64 {
		lender := f.nodes[f.lenderOf(0)].controller
		status, _ := lender.lenderStatus(0, f.now)
		return status.Part
	}
	f := newTestFleet(t, 1, 74, 4, map[string]dynconf.RequestQuota{"c": {Rate: 100}})
	f.runUntil(f.now + 10*time.Second)
	for i := range 20 {
		f.leaveNode(i)
	}
	f.runUntil(f.now + drainTime + 2*learnTime)
	require.Equal(t, 1.0, part(f), "20 of 74 nodes left")
	for _, revocationTime := range []time.Duration{0, 5 * time.Second} {
		f := newTestFleet(t, 1, 74, 4, map[string]dynconf.RequestQuota{"c": {Rate: 100}})
		f.limits.RevocationTime = revocationTime
		f.runUntil(f.now + 10*time.Second)
		f.cut = func(from, to int) bool { return f.gone[from] || f.gone[to] }
		for i := range 20 {
			f.stopNode(i)
			f.gone[i] = true
			f.changeFleets(i, learnTime, func(members map[board.InstanceID]*board.MeshEndpoint) { delete(members, f.ids[i]) })
		}
		f.runUntil(f.now + 5*time.Second)
		require.Less(t, part(f), 1.0, "lost nodes may still serve requests")
		f.runUntil(f.now + 5*time.Second)
		require.Equal(t, revocationTime > 0, part(f) == 1, "revocation time %s", revocationTime)
	}
}

// Guards against customers below their quota that are refused while the parts of the
// nodes are still with a lender whose machine is lost.
func TestLossOfALendersMachineIsHardlyNoticed(t *testing.T) {
	const noticed = 800 * time.Millisecond // reports without a reply until a node gives its lender up
	p := recoveryPlays[1]
	p.checks = []refusalCheck{{0, noticed, 0.1}, {noticed, noticed + 2*time.Second, 0.03}}
	for seed := range uint64(2) {
		for i, part := range playRecovery(t, p, seed, false) {
			require.LessOrEqual(t, part, p.checks[i].most, "check %d", i)
		}
	}
}
