package mesh

import (
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/hang"
)

const (
	// hangMemory is how long a backend server that hung is treated as one that may hang
	// again.
	hangMemory = 10 * time.Minute
	// healthSlotWait is how long a slot is kept free for a health check that found none.
	// The next one is sent within that time.
	healthSlotWait = 100 * time.Millisecond
	// maxInheritedTime bounds the time for which calls of an earlier process count.
	maxInheritedTime = 30 * time.Second
	// maxAbandonedCalls bounds the abandoned calls that are remembered.
	maxAbandonedCalls = 256
)

// slotAccount counts the calls at the backend server that this node does not wait for.
// Each value is replaced as a whole.
type slotAccount struct {
	abandoned atomic.Pointer[[]hang.Abandoned]
	// inherited holds the calls of an earlier process, nil if not known.
	inherited atomic.Pointer[inheritedCalls]
	// hungAt is when a call to the backend server was last seen to hang, peersHang is
	// set while another node of the service has seen that.
	hungAt    atomic.Pointer[time.Time]
	peersHang atomic.Bool
	// healthSlotUntil is the time until which a slot is kept free for a health check.
	healthSlotUntil atomic.Pointer[time.Time]
}

// inheritedCalls are the calls of an earlier process of the node.
type inheritedCalls struct {
	count int
	// until is when all of them have ended.
	until time.Time
}

// hung reports whether the local backend server was seen to hang recently.
func (a *slotAccount) hung(now time.Time) bool {
	at := a.hungAt.Load()
	return at != nil && now.Sub(*at) < hangMemory
}

// strict reports whether nothing may be sent that the backend server may be unable to
// queue. Backend servers that never hung get calls as their slots allow.
func (a *slotAccount) strict(now time.Time) bool { return a.peersHang.Load() || a.hung(now) }

// availableSlots returns how many calls may run at once: the concurrency limit less the
// slots that other calls may take.
func (x *Executor) availableSlots(server *board.BackendServer) int {
	now, limit := time.Now(), x.concurrencyLimit(server)
	return max(0, limit-x.occupiedSlots(now)-x.healthSlot(now, limit))
}

// occupiedSlots returns the number of slots that calls take for which this node does
// not wait.
func (x *Executor) occupiedSlots(now time.Time) int {
	occupied := 0
	if inherited := x.slots.inherited.Load(); inherited != nil && now.Before(inherited.until) {
		occupied = inherited.count
	}
	if !x.slots.strict(now) {
		return occupied
	}
	var abandoned []hang.Abandoned
	if calls := x.slots.abandoned.Load(); calls != nil {
		abandoned = *calls
	}
	var report hang.Report
	if latest := x.tracker.healthReport.Load(); latest != nil {
		report = *latest
	}
	return max(occupied, hang.Occupied(abandoned, report, now))
}

// healthSlot returns 1 while a slot is kept free for a health check.
func (x *Executor) healthSlot(now time.Time, limit int) int {
	if until := x.slots.healthSlotUntil.Load(); until != nil && now.Before(*until) && limit > 1 {
		return 1
	}
	return 0
}

// inheritedUntil returns the time at which the calls of an earlier process have ended:
// no call outlasts the timeout of its rule.
func (x *Executor) inheritedUntil() time.Time {
	longest := time.Duration(0)
	for _, rules := range x.Board.Routes.Load().Hosts {
		for _, rule := range rules {
			longest = max(longest, rule.Timeout)
		}
	}
	return x.StartedAt.Add(min(longest, maxInheritedTime))
}

// abandon records a call whose connection was closed while the backend server may have
// worked on it.
func (x *Executor) abandon(call *trackedCall, now time.Time) {
	record := hang.Abandon(call.progress.NominalTime, call.progress.Progress, call.slowdown, now)
	x.Metrics.IncrementCounter("calls_abandoned", nil)
	for {
		old := x.slots.abandoned.Load()
		var next []hang.Abandoned
		if old != nil {
			next = hang.Unfinished(*old, now)
		}
		next = append(next, record)
		next = next[max(0, len(next)-maxAbandonedCalls):]
		if x.slots.abandoned.CompareAndSwap(old, &next) {
			break
		}
	}
	if x.slots.strict(now) {
		time.AfterFunc(record.EndsBy.Sub(now)+time.Millisecond, x.wakeQueue)
	}
}

// OnHealthReport stores a load report that the backend server gave in a health
// response. Unlike that of a call, it was taken when the response was sent.
func (x *Executor) OnHealthReport(load board.ServerLoadReport) {
	now := time.Now()
	report, hung := x.tracker.applyHealthReport(hang.Report{Total: load.Running + load.Waiting, RequestedAt: load.RequestedAt, ReceivedAt: now})
	x.updateInherited(report)
	if hung != nil {
		x.recordHang(*hung, report)
	}
	x.OnLoadReport(load)
	x.wakeQueue()
}

// updateInherited updates the number of calls of an earlier process.
func (x *Executor) updateInherited(report hang.Report) {
	if x.StartedAt.IsZero() || report.ReceivedAt.Sub(x.StartedAt) > maxInheritedTime {
		return
	}
	before := -1
	old := x.slots.inherited.Load()
	if old != nil {
		before = old.count
	}
	next := &inheritedCalls{count: hang.Inherited(before, report), until: x.inheritedUntil()}
	if !x.slots.inherited.CompareAndSwap(old, next) || next.count == max(0, before) {
		return
	}
	x.Log.Info().Str("event", "inherited_calls").Int("count", next.count).Int("reported", report.Total).Int("active", report.Active).
		Dur("for", next.until.Sub(report.ReceivedAt)).Send()
}

// recordHang records that the backend server hangs.
func (x *Executor) recordHang(call hungCall, report hang.Report) {
	now := report.ReceivedAt
	first := !x.slots.hung(now)
	x.slots.hungAt.Store(&now)
	x.Metrics.IncrementCounter("server_hangs", nil)
	if first {
		x.Log.Warn().Str("event", "server_hangs").Str("server", x.Board.LocalServer.Load().ID).Dur("nominal", call.nominalTime).
			Dur("elapsed", call.elapsed).Int("reported", report.Total).Int("sent", report.Sent).
			Msg("the backend server does not respond to requests that it cannot queue")
	}
}

// observePeers finds out whether another node of the service has seen its backend
// server hang.
func (x *Executor) observePeers() {
	hangs := false
	for _, endpoint := range x.Board.Fleet.Load().ByService[x.Board.Self.Service] {
		report := endpoint.LatestLoadReport()
		if report != nil && report.Hangs && time.Since(report.ReceivedAt) < hangMemory {
			hangs = true
			break
		}
	}
	x.slots.peersHang.Store(hangs)
}

// NeedsHealthReport reports whether the load has to be fetched although responses
// report it: a call is overdue, or calls count for which this node does not wait.
func (x *Executor) NeedsHealthReport() bool {
	now := time.Now()
	return x.occupiedSlots(now) > 0 || x.slots.strict(now) || x.tracker.anyOverdue(now)
}

// ReserveForHealthCheck takes a slot for a health check if the backend server may be
// unable to queue one. It returns false if none is free; the next free slot is then
// kept for a moment.
func (x *Executor) ReserveForHealthCheck() (release func(), ok bool) {
	now := time.Now()
	if !x.slots.strict(now) {
		return func() {}, true
	}
	x.slots.healthSlotUntil.Store(nil)
	server := x.Board.LocalServer.Load()
	if !x.queue.TakeSlot(x.availableSlots(server)) {
		until := now.Add(healthSlotWait)
		x.slots.healthSlotUntil.Store(&until)
		time.AfterFunc(healthSlotWait+time.Millisecond, x.wakeQueue)
		return nil, false
	}
	return func() {
		slots := x.availableSlots(server)
		x.queue.Release(slots, x.nextJob(slots))
	}, true
}
