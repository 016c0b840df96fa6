package mesh

import (
	"sync"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/concurrency"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/hedge"
	"mangostand.example/mangostand/pkg/decide/queueing"
)

// callTracker follows the calls on the own backend server: each load report advances
// them, and the sender of one that is about to miss its objective is told once.
type callTracker struct {
	mu     sync.Mutex
	active map[*trackedCall]struct{}

	// limitState is replaced as a whole with each call that ends.
	limitState atomic.Pointer[concurrency.State]

	minSlowdown estimate.MinFilter
}

// limit returns the number of calls that may run at once.
func (s *callTracker) limit(slots int, common board.Contention, now time.Time) int {
	var state concurrency.State
	if pace := s.limitState.Load(); pace != nil {
		state = *pace
	}
	return state.Limit(slots, common, now)
}

// addSample takes a call that was answered and returns the state if it has brought
// a verdict, else nil.
func (s *callTracker) addSample(sample concurrency.Sample, now time.Time) *concurrency.State {
	for {
		old := s.limitState.Load()
		var state concurrency.State
		if old != nil {
			state = *old
		}
		state = concurrency.Next(state, sample, now)
		if !s.limitState.CompareAndSwap(old, &state) {
			continue
		}
		if state.Decided(now) && (old == nil || !old.Decided(now)) {
			return &state
		}
		return nil
	}
}

type trackedCall struct {
	progress  hedge.Execution
	objective time.Time
	slowdown  float64
	// maxSlowdown is the greatest slowdown so far.
	maxSlowdown float64
	updatedAt   time.Time
	notifySlow  func()
	notified    bool

	// notifyMu orders the word to the sender before the answer.
	notifyMu sync.Mutex
	finished bool
}

// notifySender tells the sender unless the call has ended.
func (r *trackedCall) notifySender() {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	if !r.finished {
		r.notifySlow()
	}
}

func (r *trackedCall) advance(slowdown float64, now time.Time) {
	r.progress = r.progress.Advance(now.Sub(r.updatedAt), (r.slowdown+slowdown)/2)
	r.slowdown, r.updatedAt = slowdown, now
	r.maxSlowdown = max(r.maxSlowdown, slowdown)
}

// start adds a call that starts at a slowdown.
func (s *callTracker) start(job queueing.Job, slowdown float64, now time.Time, slow func()) *trackedCall {
	r := &trackedCall{progress: hedge.Execution{NominalTime: job.NominalTime}, objective: job.Objective, slowdown: slowdown, maxSlowdown: slowdown, updatedAt: now, notifySlow: slow}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		s.active = map[*trackedCall]struct{}{}
	}
	s.active[r] = struct{}{}
	return r
}

// finish removes a call and returns how long it would have taken at usual speed.
func (s *callTracker) finish(r *trackedCall, now time.Time) time.Duration {
	r.notifyMu.Lock()
	r.finished = true
	r.notifyMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, r)
	r.advance(r.slowdown, now)
	return r.progress.Progress
}

// applyLoadReport advances all calls to a load report and returns the floor, of which no
// more than most is assumed at first.
func (s *callTracker) applyLoadReport(slowdown, most float64, now time.Time) float64 {
	var late []*trackedCall
	s.mu.Lock()
	s.minSlowdown = s.minSlowdown.Add(slowdown, now)
	speed := estimate.Speed{Slowdown: slowdown, MinSlowdown: s.minSlowdown.Value(most, now)}
	for r := range s.active {
		r.advance(slowdown, now)
		if !r.notified && hedge.ShouldHedge(r.progress, speed, r.objective.Sub(now)) {
			r.notified = true
			late = append(late, r)
		}
	}
	s.mu.Unlock()
	for _, r := range late {
		r.notifySender()
	}
	return speed.MinSlowdown
}
