package distribution

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/fleet"
)

// model plays how one version spreads, with the decisions of this package and of
// fleet.PushTargets, on links and processors of the sizes of the users' machines.
type model struct {
	random   *rand.Rand
	now      time.Time
	events   eventQueue
	nodes    []*modelNode
	bytes    int
	size     int
	ended    int
	rejected int
	failed   int
}

type modelNode struct {
	addr, domain string
	linkRate     float64
	down, has    bool
	gotAt        time.Time
	serving      int
	holders      []int
	sources      map[string]Source
	// receiving holds the sources that send to this node.
	receiving  map[string]bool
	crossDelay time.Duration
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	messageDelay = 8 * ms
	decodeTime   = 100 * ms
	// modelVersion is the version that spreads.
	modelVersion = 2
	slowRate     = 18e6 / 8
	fastRate     = 200e6 / 8
)

func newModel(seed uint64, size, domains, bytes int, downShare float64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 0)), now: now, size: bytes}
	for i := range size {
		n := &modelNode{
			addr: fmt.Sprint(i), domain: fmt.Sprint(i % domains), linkRate: slowRate, sources: map[string]Source{}, receiving: map[string]bool{},
			crossDelay: time.Duration(m.random.Int64N(int64(CrossDomainDelay))), down: i > 0 && m.random.Float64() < downShare,
		}
		if m.random.Float64() < 0.12 {
			n.linkRate = fastRate
		}
		m.nodes = append(m.nodes, n)
	}
	return m
}

func (m *model) after(d time.Duration, run func()) { heap.Push(&m.events, event{m.now.Add(d), run}) }

// run starts the version at the first node and plays for a time.
func (m *model) run(limit time.Duration) {
	m.receive(0, true)
	for i := range m.nodes {
		m.after(time.Duration(m.random.Int64N(int64(250*ms))), func() { m.exchange(i) })
	}
	for len(m.events) > 0 && m.events[0].at.Before(now.Add(limit)) {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
}

// receive publishes the version at a node, which pushes it to others.
func (m *model) receive(i int, origin bool) {
	n := m.nodes[i]
	if n.has {
		return
	}
	n.has, n.gotAt = true, m.now
	candidates := map[string][]board.InstanceID{}
	for _, j := range m.random.Perm(len(m.nodes)) {
		if j != i {
			candidates[m.nodes[j].domain] = append(candidates[m.nodes[j].domain], board.InstanceID(m.nodes[j].addr))
		}
	}
	for _, id := range fleet.PushTargets(candidates, n.domain, origin) {
		var j int
		_, _ = fmt.Sscan(string(id), &j)
		m.after(messageDelay, func() { m.hint(j, i) })
	}
}

// exchange is the periodic exchange of a node with a random other one.
func (m *model) exchange(i int) {
	j := m.random.IntN(len(m.nodes))
	m.hint(i, j)
	m.hint(j, i)
	m.after(250*ms, func() { m.exchange(i) })
}

// hint tells a node what another one has.
func (m *model) hint(to, from int) {
	n := m.nodes[to]
	if n.down || n.has || !m.nodes[from].has || to == from {
		return
	}
	addr := m.nodes[from].addr
	if _, known := n.sources[addr]; !known {
		n.sources[addr] = Source{Addr: addr, Version: modelVersion, SameDomain: n.domain == m.nodes[from].domain, AnnouncedAt: m.now}
	}
	m.decide(to)
}

// decide starts the pulls of a node that are due.
func (m *model) decide(i int) {
	n := m.nodes[i]
	if n.has {
		return
	}
	var sources []Source
	for _, s := range n.sources {
		if n.receiving[s.Addr] {
			s.ProgressAt = m.now
		}
		sources = append(sources, s)
	}
	m.random.Shuffle(len(sources), func(a, b int) { sources[a], sources[b] = sources[b], sources[a] })
	addr, again := Next(sources, modelVersion-1, n.crossDelay, m.now)
	if addr == "" {
		if !again.IsZero() {
			m.after(again.Sub(m.now), func() { m.decide(i) })
		}
		return
	}
	source := n.sources[addr]
	source.PullingSince = m.now
	n.sources[addr] = source
	var j int
	_, _ = fmt.Sscan(addr, &j)
	m.after(messageDelay, func() { m.serve(i, j) })
	m.after(secondPullDelay, func() { m.decide(i) })
}

// serve plays the response of a source to a pull. Half of a link is in use by calls.
func (m *model) serve(to, from int) {
	n, source := m.nodes[to], m.nodes[from]
	if source.down {
		m.after(PullTimeout(m.size), func() {
			m.failed++
			n.sources[source.addr] = n.sources[source.addr].AfterFailure(m.now)
			m.decide(to)
		})
		return
	}
	if source.serving >= MaxServed(source.linkRate, m.size) {
		m.rejected++
		holders := append([]int{}, source.holders[max(0, len(source.holders)-3):]...)
		m.after(messageDelay, func() {
			n.sources[source.addr] = n.sources[source.addr].AfterBusy(m.now)
			for _, holder := range holders {
				m.hint(to, holder)
			}
			m.decide(to)
		})
		return
	}
	source.serving++
	n.receiving[source.addr] = true
	rate := min(source.linkRate/float64(source.serving), n.linkRate) / 2
	m.after(time.Duration(float64(m.size)/rate*float64(time.Second)), func() {
		source.serving--
		delete(n.receiving, source.addr)
		finished := n.sources[source.addr]
		finished.ProgressAt = m.now
		n.sources[source.addr] = finished
		source.holders = append(source.holders, to)
		m.bytes += m.size
		m.ended++
		m.after(messageDelay+decodeTime, func() { m.receive(to, false) })
	})
}

// Guards against a version that reaches the last nodes of a fleet too late, because
// all nodes pull it from the few that have it (CONFIG on lsba-mesh-grown), and against
// pulls that fail or bytes that are sent twice.
func TestVersionReachesTheFleet(t *testing.T) {
	const document = 250_000
	for _, c := range []struct {
		nodes, domains, bytes int
		limit                 time.Duration
	}{
		{70, 4, 20_000, 1200 * ms},
		{200, 5, 20_000, 1500 * ms},
		{600, 5, 20_000, 11 * time.Second},
		{70, 4, document, 11 * time.Second},
		{600, 5, document, 11 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d nodes, %d bytes", c.nodes, c.bytes), func(t *testing.T) {
			for seed := range uint64(5) {
				m := newModel(seed, c.nodes, c.domains, c.bytes, 0)
				m.run(c.limit)
				for _, n := range m.nodes {
					require.True(t, n.has, "seed %d: node %s has no version after %s", seed, n.addr, c.limit)
				}
				require.LessOrEqual(t, m.bytes, c.nodes*document*13/10)
				require.LessOrEqual(t, 100*m.failed, 2*m.ended)
				require.LessOrEqual(t, 10*m.ended, 13*c.nodes, "seed %d: %d pulls", seed, m.ended)
			}
		})
	}
}

// Guards against sources that are down and delay the spreading: a tenth of the nodes
// has died and is still listed.
func TestVersionSpreadsAroundDeadNodes(t *testing.T) {
	for seed := range uint64(5) {
		m := newModel(seed, 200, 5, 20_000, 0.1)
		m.run(1500 * ms)
		for _, n := range m.nodes {
			require.True(t, n.down || n.has, "seed %d: node %s has no version", seed, n.addr)
		}
	}
}
