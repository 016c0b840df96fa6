package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/quota"
	"mangostand.example/mangostand/pkg/dynconf"
)

var testLimits = quota.Limits{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// testFleet plays the controllers of a fleet in virtual time. Messages are encoded,
// and may be delayed or lost.
type testFleet struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Duration
	events  eventHeap
	nodes   []*testNode
	ids     []board.InstanceID
	table   *dynconf.RouteTable
	domains int
	// latency is the time of a message one way. cut reports whether a link is down.
	latency func() time.Duration
	cut     func(from, to int) bool
	loss    float64
	// storeAway is set while nodes that start get no listing of the store.
	storeAway bool
	// gone holds the nodes that do not come back, and successors the nodes to which their
	// callers have moved.
	gone       map[int]bool
	limits     quota.Limits
	successors map[int]int
	// messages and bytes count what was sent, with header bytes for each pair.
	messages, bytes int
	customers       map[string]*testCustomer
	waited          int
}

type testNode struct {
	index      int
	controller *Controller
	board      *board.MeshBoard
	routes     *board.Writer[*dynconf.RouteTable]
	fleet      *board.Writer[*board.Fleet]
	down       bool
	// pausedUntil is when a paused process goes on.
	pausedUntil time.Duration
	wakeAt      time.Duration
	waiters     []*waiter
}

type waiter struct {
	customer string
	since    time.Duration
}

// testCustomer records what happened to the requests of a customer.
type testCustomer struct {
	quota             dynconf.RequestQuota
	admitted, refused []time.Duration
	refusedAt         []int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (f *testFleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, event{f.now + d, f.messages + len(f.events), run})
}

func (f *testFleet) runUntil(end time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func newTestFleet(t *testing.T, seed uint64, size, domains int, quotas map[string]dynconf.RequestQuota) *testFleet {
	f := &testFleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, domains: domains, customers: map[string]*testCustomer{}, limits: testLimits, gone: map[int]bool{}, successors: map[int]int{}}
	f.latency = func() time.Duration { return 500 * time.Microsecond }
	f.cut = func(int, int) bool { return false }
	f.setQuotas(1, quotas)
	for i := range size {
		f.ids = append(f.ids, board.InstanceID(fmt.Sprintf("node-%d", i)))
		f.nodes = append(f.nodes, &testNode{index: i, down: true})
	}
	for i := range size {
		f.after(time.Duration(f.random.Int64N(int64(300*time.Millisecond))), func() { f.startNode(i) })
	}
	return f
}

func (f *testFleet) setQuotas(version uint64, quotas map[string]dynconf.RequestQuota) {
	f.table = dynconf.EmptyRouteTable()
	f.table.Version = version
	for name, q := range quotas {
		f.table.Customers.AddCustomer(&dynconf.Customer{Name: name, Quota: q})
		if f.customers[name] == nil {
			f.customers[name] = &testCustomer{quota: q}
		}
	}
	for _, n := range f.nodes {
		if !n.down {
			process := n.controller
			f.after(time.Duration(f.random.Int64N(int64(400*time.Millisecond))), func() {
				if n.controller == process {
					n.routes.Publish(f.table)
					f.step(n)
				}
			})
		}
	}
}

// maxListingTime is the longest time until a node that starts has a listing.
const maxListingTime = 300 * time.Millisecond

// startNode starts a new process of a node.
func (f *testFleet) startNode(i int) {
	b := board.NewMeshBoard(board.NodeIdentity{Instance: f.ids[i]})
	n := f.nodes[i]
	*n = testNode{index: i, board: b, routes: b.Routes.Claim("test"), fleet: b.Fleet.Claim("test")}
	view := &board.Fleet{Size: len(f.ids) - len(f.gone), ByInstance: map[board.InstanceID]*board.MeshEndpoint{}}
	for other, id := range f.ids {
		if f.gone[other] {
			continue
		}
		view.ByInstance[id] = &board.MeshEndpoint{Record: board.NodeRecord{Instance: id, PeerAddr: string(id)}, Reachability: &board.Reachability{}}
	}
	n.fleet.Publish(view)
	n.controller = New(b, f.limits, f.random.Uint32()|1, nil, nil, zerolog.Nop())
	n.controller.now = func() time.Duration { return f.now }
	n.controller.random = f.random.Float64
	n.controller.start(f.now)
	process := n.controller
	if !f.storeAway {
		store := b.Store.Claim("test")
		f.after(time.Duration(f.random.Int64N(int64(maxListingTime))), func() {
			listed := map[board.InstanceID]board.NodeRecord{}
			for id, endpoint := range view.ByInstance {
				listed[id] = endpoint.Record
			}
			store.Publish(&board.StoreStatus{ListingRequestedAt: time.Now(), ListedRecords: listed})
			if n.controller == process && !n.down {
				process.fleetChanged(f.now)
				f.step(n)
			}
		})
	}
	f.after(time.Duration(f.random.Int64N(int64(600*time.Millisecond))), func() {
		if n.controller == process {
			n.routes.Publish(f.table)
			f.step(n)
		}
	})
	for from, other := range f.nodes {
		if !other.down && from != i {
			f.after(time.Duration(f.random.Int64N(int64(500*time.Millisecond))), func() { f.suspect(from, i, f.cut(from, i)) })
		}
	}
}

func (f *testFleet) stopNode(i int) {
	f.nodes[i].waiters, f.nodes[i].controller = nil, nil
	f.nodes[i].down = true
}

// suspect sets what the exchanges between nodes say of a link.
func (f *testFleet) suspect(from, to int, suspected bool) {
	if f.nodes[from].down {
		return
	}
	endpoint := f.nodes[from].board.Fleet.Load().ByInstance[f.ids[to]]
	if endpoint == nil {
		return
	}
	r := endpoint.Reachability
	if suspected {
		r.RecordFailure()
	} else {
		r.RecordResponse(time.Now())
	}
}

// noticeLinks lets the exchanges between nodes notice a change of the links.
func (f *testFleet) noticeLinks() {
	for from := range f.nodes {
		f.after(time.Duration(f.random.Int64N(int64(2*time.Second))), func() {
			for to := range f.nodes {
				f.suspect(from, to, f.cut(from, to))
			}
		})
	}
}

// lenderOf returns the node to which most nodes report a group.
func (f *testFleet) lenderOf(group int) int {
	reports := make([]int, len(f.nodes))
	for _, n := range f.nodes {
		if !n.down {
			if i := slices.Index(f.ids, n.controller.groups[group].target); i >= 0 {
				reports[i]++
			}
		}
	}
	return slices.Index(reports, slices.Max(reports))
}

// step does what Controller.Run does after an event.
func (f *testFleet) step(n *testNode) {
	if n.down || !n.controller.configure(f.now) {
		return
	}
	for len(n.board.QuotaReports.Events()) > 0 {
		n.controller.groups[<-n.board.QuotaReports.Events()].dueAt = 0
	}
	reports, next := n.controller.collectDue(f.now)
	for _, report := range reports {
		f.send(n, report)
	}
	if len(reports) == 0 || n.wakeAt <= f.now {
		n.wakeAt = f.now + max(next, time.Millisecond)
		process := n.controller
		f.after(max(next, time.Millisecond), func() {
			if n.controller == process && n.wakeAt <= f.now {
				f.whenRunning(n, func() { f.step(n) })
			}
		})
	}
}

// headerBytes is the size of the HTTP headers of a request and its response.
const headerBytes = 250

func (f *testFleet) send(n *testNode, report *outgoing) {
	process, ended := n.controller, false
	finish := func(reply *Response, err error) {
		if ended || n.controller != process {
			return
		}
		ended = true
		f.whenRunning(n, func() {
			process.finish(result{report: report, reply: reply, err: err}, f.now)
			f.retryWaiters(n)
			f.step(n)
		})
	}
	if report.target == f.ids[n.index] {
		reply, err := process.Respond(report.message)
		f.after(0, func() { finish(reply, err) })
		return
	}
	data, err := cbor.Marshal(report.message)
	require.NoError(f.t, err)
	f.messages++
	f.bytes += len(data) + headerBytes
	target := f.nodes[slices.Index(f.ids, report.target)]
	f.after(report.timeout, func() { finish(nil, errLost) })
	if f.cut(n.index, target.index) || f.random.Float64() < f.loss {
		return
	}
	f.after(f.latency(), func() {
		if target.down {
			finish(nil, ErrEnded)
			return
		}
		f.whenRunning(target, func() {
			var m Message
			require.NoError(f.t, cbor.Unmarshal(data, &m))
			reply, err := target.controller.Respond(&m)
			require.NoError(f.t, err)
			data, err := cbor.Marshal(reply)
			require.NoError(f.t, err)
			f.bytes += len(data)
			if f.cut(target.index, n.index) || f.random.Float64() < f.loss {
				return
			}
			f.after(f.latency(), func() { finish(reply, nil) })
		})
	})
}

var errLost = errors.New("lost")

// whenRunning runs a function of the current process of a node, after its pause if it
// is paused.
func (f *testFleet) whenRunning(n *testNode, run func()) {
	if n.pausedUntil <= f.now {
		run()
		return
	}
	process := n.controller
	f.after(n.pausedUntil-f.now, func() {
		if n.controller == process && !n.down {
			f.whenRunning(n, run)
		}
	})
}

// request plays one request of a customer, as mesh.Entry does.
func (f *testFleet) request(i int, customer string) {
	for f.gone[i] {
		successor, ok := f.successors[i]
		if !ok {
			return
		}
		i = successor
	}
	n := f.nodes[i]
	if n.down || n.pausedUntil > f.now || n.board.Routes.Load().Version == 0 {
		return
	}
	w := &waiter{customer, f.now}
	if f.try(n, w) {
		return
	}
	f.waited++
	counter := n.board.Quotas.Load().ByCustomer[customer]
	counter.StartWaiting()
	n.waiters = append(n.waiters, w)
	process := n.controller
	f.after(quota.MaxWait, func() {
		if n.controller == process && !n.down {
			f.whenRunning(n, func() { f.retryWaiters(n) })
		}
	})
	counter.Group.Ask()
	f.step(n)
}

func (f *testFleet) retryWaiters(n *testNode) {
	waiters := n.waiters
	n.waiters = nil
	for _, w := range waiters {
		counter := n.board.Quotas.Load().ByCustomer[w.customer]
		if f.try(n, w) {
			counter.StopWaiting()
			continue
		}
		counter.Group.Ask()
		n.waiters = append(n.waiters, w)
	}
}

// try returns whether the request was admitted or refused.
func (f *testFleet) try(n *testNode, w *waiter) bool {
	c := f.customers[w.customer]
	counter := n.board.Quotas.Load().ByCustomer[w.customer]
	if counter.Take(f.now) {
		c.admitted = append(c.admitted, f.now)
		return true
	}
	switch quota.DecideLocally(quota.Local{
		RefuseUntil: counter.Denial().RefuseUntil, FallbackFrom: counter.Group.FallbackFrom(),
		Silent: counter.Group.Silent(), Waited: f.now - w.since,
	}, f.now) {
	case quota.Wait:
		return false
	case quota.UseFallback:
		limit := counter.Fallback.Load()
		fallback := quota.Fallback{Interval: limit.Interval, Lifetime: limit.Lifetime}
		if counter.TakeFallback(func(at time.Duration) (time.Duration, bool) {
			return fallback.Next(max(at, limit.Phase), counter.Group.FallbackFrom(), f.now)
		}) {
			c.admitted = append(c.admitted, f.now)
			return true
		}
	}
	counter.CountRefused()
	f.refuse(n, w.customer)
	return true
}

func (f *testFleet) refuse(n *testNode, customer string) {
	c := f.customers[customer]
	c.refused, c.refusedAt = append(c.refused, f.now), append(c.refusedAt, n.index)
}

// demand plays requests of a customer at a rate until a time. The weights say how often
// each node gets them.
func (f *testFleet) demand(customer string, rate float64, weights []float64, until time.Duration) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		x := f.random.Float64() * sum
		i := 0
		for ; i < len(weights)-1 && x >= weights[i]; i++ {
			x -= weights[i]
		}
		f.request(i, customer)
		f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
}

// unevenWeights spreads the callers of a customer unevenly over the nodes.
func (f *testFleet) unevenWeights() []float64 {
	weights := make([]float64, len(f.nodes))
	for i := range weights {
		e := f.random.ExpFloat64()
		weights[i] = e * e
	}
	return weights
}

// bound returns how many requests may run in a window.
func bound(q dynconf.RequestQuota) float64 {
	return (q.Rate*testLimits.Window.Seconds()+q.Burst)*(1+testLimits.Overshoot) + testLimits.Slack
}

// mostInWindow returns the largest number of requests in any window that begins at or
// after a time.
func mostInWindow(admitted []time.Duration, from time.Duration) int {
	most, first := 0, 0
	for i, at := range admitted {
		for admitted[first] <= at-testLimits.Window || admitted[first] < from {
			if first == i {
				break
			}
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func countBetween(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}
