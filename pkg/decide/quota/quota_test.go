package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

var limits = Limits{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// lenderOfTwo returns a lender with the parts of two nodes, whose account of a customer
// with 10 requests per second is full.
func lenderOfTwo(t *testing.T) (*Lender, time.Duration) {
	t.Helper()
	l := NewLender(7, limits, 0)
	l.Configure(map[string]dynconf.RequestQuota{"c": {Rate: 10}}, 0)
	now := time.Duration(0)
	for sequence := uint64(1); sequence <= 10; sequence++ {
		now = time.Duration(sequence) * time.Second
		for _, id := range []board.InstanceID{"n", "m"} {
			l.Answer(report(id, sequence, now), now, 0)
		}
	}
	require.Equal(t, 1.0, l.Status(now).Part)
	return l, now
}

func report(id board.InstanceID, sequence uint64, stamp time.Duration, usage ...Usage) *Report {
	return &Report{
		From: id, Incarnation: 1, Sequence: sequence, LenderIncarnation: 7, Stamp: stamp, Validity: Validity(2), FleetSize: 2, Usage: usage,
	}
}

func available(l *Lender) float64 {
	l.fill(l.accounts["c"])
	return l.accounts["c"].available
}

// Guards against grants that are lost, or lent twice, when a reply does not arrive.
func TestLenderTakesBackGrantsOfLostReplies(t *testing.T) {
	l, now := lenderOfTwo(t)
	full := available(l)
	require.InDelta(t, limits.Capacity(dynconf.RequestQuota{Rate: 10}), full, 1e-9)
	usage := Usage{Customer: "c", Waiting: 3}
	require.Equal(t, int64(3), l.Answer(report("n", 11, now, usage), now, 0).Grants[0].Requests)
	require.Equal(t, full-3, available(l))
	require.True(t, l.Answer(report("n", 11, now, usage), now, 0).Stale, "a delayed copy of a report")
	require.Equal(t, int64(3), l.Answer(report("n", 12, now, usage), now, 0).Grants[0].Requests)
	require.Equal(t, full-3, available(l), "the reply was lost and the node reports no grants")
	l.Answer(report("n", 13, now, Usage{Customer: "c", Granted: 3, Used: 3}), now, 0)
	require.Equal(t, full-3, available(l))
	require.Empty(t, l.Answer(report("n", 14, now, Usage{Customer: "c", Granted: 1, Used: 1}), now, 0).Grants)
	require.Equal(t, full-1, available(l), "two requests did not run and were given back")
}

// Guards against a lender that lends the part of a node that has left it: after a
// release, when its stamps are old, or when they are those of an earlier process.
func TestLenderLendsOnlyPartsThatItHas(t *testing.T) {
	l, now := lenderOfTwo(t)
	released := report("n", 11, now)
	released.Release = true
	require.Equal(t, 0.5, l.Answer(released, now, 0).Part)
	require.LessOrEqual(t, available(l), limits.Capacity(dynconf.RequestQuota{Rate: 10})/2)
	old := report("n", 12, now-Validity(2))
	require.Equal(t, 0.5, l.Answer(old, now, 0).Part, "a delayed report extends nothing")
	earlier := report("n", 13, now)
	earlier.LenderIncarnation = 6
	require.Equal(t, 0.5, l.Answer(earlier, now, 0).Part)
	require.Equal(t, 1.0, l.Answer(report("n", 14, now), now, 0).Part)
	require.Zero(t, l.Status(now+Validity(2)).Part)
}

// Guards against a new lender that lends what its predecessor has lent already, and a
// lower limit that is not in force at once.
func TestAccountsStartEmptyAndFollowLowerLimits(t *testing.T) {
	l := NewLender(7, limits, 0)
	l.Configure(map[string]dynconf.RequestQuota{"c": {Rate: 10, Burst: 100}}, 0)
	grant := l.Answer(report("n", 1, 0, Usage{Customer: "c", Waiting: 1}), 0, 0).Grants[0]
	require.Zero(t, grant.Requests)
	require.True(t, grant.Limited)
	require.Positive(t, grant.Backoff)

	l = NewLender(7, limits, 0)
	l.Answer(report("n", 1, 0), 0, 0)
	l.Configure(map[string]dynconf.RequestQuota{"c": {Rate: 10}}, 0)
	require.Zero(t, available(l), "the parts arrive before the first configuration")

	l, now := lenderOfTwo(t)
	l.Configure(map[string]dynconf.RequestQuota{"c": {Rate: 1}}, now)
	require.LessOrEqual(t, available(l), limits.Capacity(dynconf.RequestQuota{Rate: 1}))
}

// Guards against a new customer that is refused, and against one that gets a full
// account by being removed and added again.
func TestAccountsOfNewCustomersAreFull(t *testing.T) {
	l, now := lenderOfTwo(t)
	q := dynconf.RequestQuota{Rate: 5}
	both := map[string]dynconf.RequestQuota{"c": {Rate: 10}, "new": q}
	l.Configure(both, now)
	require.Equal(t, limits.Capacity(q), l.accounts["new"].available)
	l.Configure(map[string]dynconf.RequestQuota{"new": q}, now)
	l.Configure(both, now+time.Second)
	require.Zero(t, available(l))
}

// Guards against two lenders that have the part of a node at the same time, which lend
// more than the quota together.
func TestPartOfANodeIsWithOneLender(t *testing.T) {
	const validity = 2 * time.Second
	d := NewDelegation(0)
	require.Equal(t, d, d.Replied("a", 1, 0, validity, time.Second), "the earlier process may have given it away")
	require.Equal(t, d, d.Started(0, 1, false, time.Second), "the fleet is not known")
	require.Equal(t, Validity(74), d.Started(0, 74, false, time.Second).Until, "without a listing")
	require.Equal(t, board.InstanceID("a"), d.Started(0, 74, true, time.Second).Replied("a", 1, 0, validity, time.Second).Lender)
	d = d.Replied("a", 1, 100, validity, 5*time.Second)
	require.Equal(t, board.InstanceID("a"), d.Lender)
	require.Equal(t, d, d.Replied("b", 2, 200, validity, 6*time.Second))
	require.Equal(t, board.InstanceID("b"), d.Replied("b", 2, 200, validity, 7*time.Second).Lender, "not heard from")
	require.Equal(t, d, d.Released("b", 6*time.Second))
	require.Equal(t, board.InstanceID("b"), d.Released("a", 6*time.Second).Replied("b", 2, 200, validity, 6*time.Second).Lender)
}

// Guards against nodes without lenders that exceed the bound together, at full demand
// and when they have been idle before.
func TestFallbacksOfAllNodesStayWithinTheBound(t *testing.T) {
	for _, size := range []int{3, 74, 300} {
		for _, q := range []dynconf.RequestQuota{{Rate: 5}, {Rate: 5, Burst: 10}, {Rate: 230, Burst: 230}} {
			for _, idle := range []time.Duration{0, 7 * time.Second, time.Hour} {
				f := NewFallback(q.Rate, limits.Capacity(q), size)
				since := time.Hour
				admitted := 0
				for node := range size {
					next := f.Phase(node, size, "c")
					for now := since + idle; now < since+idle+limits.Window; now += 10 * time.Millisecond {
						for ok := true; ok; {
							if next, ok = f.Next(next, since, now); ok {
								admitted++
							}
						}
					}
				}
				allowed := (q.Rate*limits.Window.Seconds()+q.Burst)*(1+limits.Overshoot) + limits.Slack
				require.LessOrEqual(t, float64(admitted), allowed, "%d nodes, %+v, idle for %s", size, q, idle)
				require.Positive(t, admitted)
			}
		}
	}
}

// Guards against a lender that few nodes choose, and against nodes that change their
// lender when another node leaves.
func TestChooseLender(t *testing.T) {
	var ids []board.InstanceID
	for i := range 300 {
		ids = append(ids, board.InstanceID(fmt.Sprintf("node-%d", i)))
	}
	for group := range Groups {
		lender := ChooseLender(group, ids)
		for i, id := range ids {
			without := append(append([]board.InstanceID(nil), ids[i+1:]...), ids[:i]...)
			require.Equal(t, id == lender, ChooseLender(group, without) != lender)
		}
	}
	require.NotEqual(t, ChooseLender(0, ids), ChooseLender(1, ids))
}

// Guards against a part of the quota that grows as soon as nodes are out of sight.
func TestFleetSizesAreRemembered(t *testing.T) {
	s := NewFleetSizes(FleetSizeMemory)
	require.Equal(t, 5, s.Observe(5, 0))
	require.Equal(t, 5, s.Observe(2, time.Second))
	require.Equal(t, 5, s.Observe(3, FleetSizeMemory))
	require.Equal(t, 3, s.Observe(1, FleetSizeMemory+time.Second))
	require.Equal(t, 1, s.Observe(1, 3*FleetSizeMemory))
}

// Guards against a new lender that lends more or less than a token bucket with the
// requests of the nodes would, and against nodes without a history that bring a level.
func TestNewLenderLearnsTheLevelFromTheNodes(t *testing.T) {
	q := dynconf.RequestQuota{Rate: 10, Burst: 20}
	capacity, now := limits.Capacity(q), time.Hour
	play := func(change func(r *Report)) float64 {
		l := NewLender(7, limits, now)
		l.Configure(map[string]dynconf.RequestQuota{"c": q}, now)
		for _, id := range []board.InstanceID{"n", "m"} {
			r := report(id, 1, now)
			r.WithHistory, r.Age = true, time.Hour
			change(r)
			l.Answer(r, now, 0)
		}
		return available(l)
	}
	require.InDelta(t, capacity, play(func(*Report) {}), 1e-9, "idle for a window")
	require.Zero(t, play(func(r *Report) { r.WithHistory = false }), "a node of an earlier release")
	require.InDelta(t, limits.StartCredit(q), play(func(r *Report) { r.Age = 0 }), 1e-9, "all nodes have just started")
	history := NewHistory(limits.Window)
	history.Add(10, now-time.Second, now-time.Second)
	level := play(func(r *Report) { r.History = []PastUsage{{"c", history.Counts(now)}} })
	require.InDelta(t, capacity-20+limits.SustainedRate(q), level, 1.5, "20 requests one second ago")
	history = NewHistory(limits.Window)
	history.Add(25, now-limits.Window, now)
	require.InDelta(t, capacity, play(func(r *Report) { r.History = []PastUsage{{"c", history.Counts(now)}} }), 0.5, "the rate is used, spread evenly")
}

// Guards against requests that a history loses or keeps for longer than the window.
func TestHistoryKeepsTheLastWindow(t *testing.T) {
	h := NewHistory(limits.Window)
	h.Add(8, time.Second, 3*time.Second)
	sum := func(now time.Duration) float64 {
		total := 0.0
		for _, n := range h.Counts(now) {
			total += n
		}
		return total
	}
	require.InDelta(t, 8, sum(3*time.Second), 1e-9)
	require.InDelta(t, 4, sum(7*time.Second), 0.6)
	require.Zero(t, sum(9*time.Second))
}

// Guards against parts of nodes that have left or been lost, which lie idle for a minute,
// and against a node out of sight that counts as one that left.
func TestNodesThatLeftDoNotCount(t *testing.T) {
	s := NewFleetSizes(Limits{RevocationTime: 5 * time.Second}.FleetSizeMemory())
	view := func(ids, leaving []board.InstanceID) *board.Fleet {
		fleet := &board.Fleet{Size: len(ids) + len(leaving), ByInstance: map[board.InstanceID]*board.MeshEndpoint{}}
		for _, id := range ids {
			fleet.ByInstance[id] = &board.MeshEndpoint{}
		}
		for _, id := range leaving {
			fleet.ByInstance[id] = &board.MeshEndpoint{Record: board.NodeRecord{Leaving: true}}
		}
		return fleet
	}
	observe := func(fleet *board.Fleet, now time.Duration) int { return s.Observe(s.ObserveMembers(fleet, now), now) }
	all := []board.InstanceID{"a", "b", "c", "d", "e"}
	require.Equal(t, 5, observe(view(all, nil), 0))
	require.Equal(t, 4, observe(view(all[:4], all[4:]), time.Second))
	require.Equal(t, 4, observe(view(all[:4], nil), 2*time.Second))
	require.Equal(t, 4, observe(view(all[:3], nil), 3*time.Second), "out of sight")
	require.Equal(t, 4, observe(view(all[:3], []board.InstanceID{"x"}), 3*time.Second), "never seen before")
	require.Equal(t, 3, observe(view(all[:3], nil), 9*time.Second), "past the revocation time")
	require.Equal(t, 4, observe(view(all[:4], nil), 10*time.Second), "back again")
	require.Equal(t, FleetSizeMemory, limits.FleetSizeMemory())
}

// Plays a customer that sends four times its quota through one lender. It must get what
// each window allows, the rate times the window and the burst, and no more than the
// bound: a refusal below that is a loss for its callers.
func TestWindowIsUsedInTheLongRun(t *testing.T) {
	q := dynconf.RequestQuota{Rate: 100, Burst: 100}
	l := NewLender(1, limits, 0)
	l.SetFleetSize(1)
	l.Configure(map[string]dynconf.RequestQuota{"c": q}, 0)
	report := func(sequence uint64, waiting int64, used int64, now time.Duration) int64 {
		reply := l.Answer(&Report{
			From: "n", Incarnation: 1, Sequence: sequence, LenderIncarnation: 1, Stamp: now, Validity: time.Second, FleetSize: 1, Age: time.Minute, WithHistory: true,
			Usage: []Usage{{Customer: "c", Granted: used, Used: used, Waiting: waiting, Demand: 400}},
		}, now, 0.5)
		for _, g := range reply.Grants {
			return g.Requests
		}
		return 0
	}
	var admitted []time.Duration
	used, sequence := int64(0), uint64(0)
	for now := time.Second; now < 61*time.Second; now += 25 * time.Millisecond {
		sequence++
		granted := report(sequence, 10, used, now)
		used += granted
		for range granted {
			admitted = append(admitted, now)
		}
	}
	bound := (1+limits.Overshoot)*(q.Rate*limits.Window.Seconds()+q.Burst) + limits.Slack
	for i := range admitted {
		if j := i + int(bound); j < len(admitted) {
			require.Greater(t, admitted[j]-admitted[i], limits.Window, "window from %s on", admitted[i])
		}
	}
	require.Greater(t, float64(used), 0.95*60*limits.SustainedRate(q))
}
