package mesh

import (
	"sync"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/concurrency"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/hang"
	"mangostand.example/mangostand/pkg/decide/hedge"
	"mangostand.example/mangostand/pkg/decide/queueing"
)

// callTracker follows the progress of the calls on the backend server of
// this node. Each load report advances them, and the sender of a call that
// is about to miss its objective is notified once.
type callTracker struct {
	mu     sync.Mutex
	active map[*trackedCall]struct{}
	// healthReport is the newest load report of a health response.
	// Its writers hold mu.
	healthReport atomic.Pointer[hang.Report]

	// limitState is the immutable state of the concurrency limit. Each sample of
	// a completed call replaces it by a new one.
	limitState atomic.Pointer[concurrency.State]

	minSlowdown estimate.MinFilter
}

// limit returns how many calls may run at once. majority is the contention that
// most nodes of the service have observed, sampler says whether this server samples low
// load on purpose.
func (t *callTracker) limit(slots int, majority board.Contention, sampler bool, now time.Time) int {
	var state concurrency.State
	if current := t.limitState.Load(); current != nil {
		state = *current
	}
	return state.Limit(slots, majority, sampler, now)
}

// addSample adds a completed call and returns the new state if the call led
// to a decision on the limit, else nil.
func (t *callTracker) addSample(sample concurrency.Sample, now time.Time) *concurrency.State {
	for {
		old := t.limitState.Load()
		var state concurrency.State
		if old != nil {
			state = *old
		}
		state = concurrency.Next(state, sample, now)
		if !t.limitState.CompareAndSwap(old, &state) {
			continue
		}
		if state.Decided(now) && (old == nil || !old.Decided(now)) {
			return &state
		}
		return nil
	}
}

// trackedCall is one call that runs on the backend server.
type trackedCall struct {
	progress  hedge.Execution
	objective time.Time
	slowdown  float64
	// maxSlowdown is the greatest slowdown since the start of the call.
	maxSlowdown float64
	updatedAt   time.Time
	startedAt   time.Time
	// missing is the result of hang.Missing for the latest health report.
	missing    int
	notifySlow func()
	notified   bool

	// notifyMu prevents a notification after the final response.
	notifyMu sync.Mutex
	finished bool
}

// notifySender notifies the sender unless the call has finished.
func (c *trackedCall) notifySender() {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	if !c.finished {
		c.notifySlow()
	}
}

// advance adds the work done since the last update, at the mean of the
// slowdowns at both times.
func (c *trackedCall) advance(slowdown float64, now time.Time) {
	c.progress = c.progress.Advance(now.Sub(c.updatedAt), (c.slowdown+slowdown)/2)
	c.slowdown, c.updatedAt = slowdown, now
	c.maxSlowdown = max(c.maxSlowdown, slowdown)
}

// start adds a call that starts at a slowdown.
func (t *callTracker) start(job queueing.Job, slowdown float64, now time.Time, notifySlow func()) *trackedCall {
	c := &trackedCall{progress: hedge.Execution{NominalTime: job.NominalTime}, objective: job.Objective, slowdown: slowdown, maxSlowdown: slowdown, updatedAt: now, startedAt: now, notifySlow: notifySlow}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active == nil {
		t.active = map[*trackedCall]struct{}{}
	}
	t.active[c] = struct{}{}
	return c
}

// finish removes a call and returns its service time without the slowdown of
// the host.
func (t *callTracker) finish(c *trackedCall, now time.Time) time.Duration {
	c.notifyMu.Lock()
	c.finished = true
	c.notifyMu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.active, c)
	if report := t.healthReport.Load(); report != nil {
		if next := report.WithoutEnded(c.startedAt, now); next != *report {
			t.healthReport.Store(&next)
		}
	}
	c.advance(c.slowdown, now)
	return c.progress.Progress
}

// hung reports whether the call showed that the backend server hangs. It is valid after
// the call has finished.
func (c *trackedCall) hung() bool {
	return hang.Hangs(hang.Overdue(c.progress.NominalTime, c.progress.Progress), c.missing)
}

// hungCall describes a call that showed that the backend server hangs.
type hungCall struct{ nominalTime, elapsed time.Duration }

// applyHealthReport stores a health report and checks the previous one. The second result
// is a call that shows that the backend server hangs, or nil.
func (t *callTracker) applyHealthReport(report hang.Report) (hang.Report, *hungCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var previous hang.Report
	if p := t.healthReport.Load(); p != nil {
		previous = *p
	}
	report.Active = len(t.active)
	var found *hungCall
	for c := range t.active {
		c.advance(c.slowdown, report.ReceivedAt)
		if previous.Covers(c.startedAt) && previous.Settled(report.ReceivedAt) {
			c.missing = hang.Missing(c.missing, previous)
		}
		if !report.Covers(c.startedAt) {
			continue
		}
		report.Sent++
		if c.hung() {
			report.Hung++
			found = &hungCall{nominalTime: c.progress.NominalTime, elapsed: report.ReceivedAt.Sub(c.startedAt)}
		}
	}
	t.healthReport.Store(&report)
	return report, found
}

// anyOverdue reports whether a call has taken far longer than usual.
func (t *callTracker) anyOverdue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.active {
		if hang.Overdue(c.progress.NominalTime, c.progress.Advance(now.Sub(c.updatedAt), c.slowdown).Progress) {
			return true
		}
	}
	return false
}

// applyLoadReport advances all calls to the time of a load report and
// returns the minimum slowdown. Until enough reports have arrived, the
// minimum is at most assumedMin.
func (t *callTracker) applyLoadReport(slowdown, assumedMin float64, now time.Time) float64 {
	var slow []*trackedCall
	t.mu.Lock()
	t.minSlowdown = t.minSlowdown.Add(slowdown, now)
	speed := estimate.Speed{Slowdown: slowdown, MinSlowdown: t.minSlowdown.Value(assumedMin, now)}
	for c := range t.active {
		c.advance(slowdown, now)
		if !c.notified && hedge.ShouldHedge(c.progress, speed, c.objective.Sub(now)) {
			c.notified = true
			slow = append(slow, c)
		}
	}
	t.mu.Unlock()
	for _, c := range slow {
		c.notifySender()
	}
	return speed.MinSlowdown
}
