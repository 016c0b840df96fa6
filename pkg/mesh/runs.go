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

// runs follows the calls on the own backend server: each load report advances
// them, and the sender of one that is about to miss its objective is told once.
type runs struct {
	mu     sync.Mutex
	active map[*run]struct{}

	// pace is replaced as a whole with each call that ends.
	pace atomic.Pointer[concurrency.State]

	floor estimate.MinFilter
}

// limit returns the number of calls that may run at once.
func (s *runs) limit(slots int, common board.Contention, now time.Time) int {
	var state concurrency.State
	if pace := s.pace.Load(); pace != nil {
		state = *pace
	}
	return state.Limit(slots, common, now)
}

// sample takes a call that was answered and returns the state if it has brought
// a verdict, else nil.
func (s *runs) sample(sample concurrency.Sample, now time.Time) *concurrency.State {
	for {
		old := s.pace.Load()
		var state concurrency.State
		if old != nil {
			state = *old
		}
		state = concurrency.Next(state, sample, now)
		if !s.pace.CompareAndSwap(old, &state) {
			continue
		}
		if state.Decided(now) && (old == nil || !old.Decided(now)) {
			return &state
		}
		return nil
	}
}

type run struct {
	state     hedge.Execution
	objective time.Time
	slowdown  float64
	// most is the greatest slowdown so far.
	most float64
	at   time.Time
	slow func()
	told bool

	// telling orders the word to the sender before the answer.
	telling sync.Mutex
	ended   bool
}

// tell tells the sender unless the call has ended.
func (r *run) tell() {
	r.telling.Lock()
	defer r.telling.Unlock()
	if !r.ended {
		r.slow()
	}
}

func (r *run) advance(slowdown float64, now time.Time) {
	r.state = r.state.Advance(now.Sub(r.at), (r.slowdown+slowdown)/2)
	r.slowdown, r.at = slowdown, now
	r.most = max(r.most, slowdown)
}

// begin adds a call that starts at a slowdown.
func (s *runs) begin(job queueing.Job, slowdown float64, now time.Time, slow func()) *run {
	r := &run{state: hedge.Execution{NominalTime: job.NominalTime}, objective: job.Objective, slowdown: slowdown, most: slowdown, at: now, slow: slow}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		s.active = map[*run]struct{}{}
	}
	s.active[r] = struct{}{}
	return r
}

// end removes a call and returns how long it would have taken at usual speed.
func (s *runs) end(r *run, now time.Time) time.Duration {
	r.telling.Lock()
	r.ended = true
	r.telling.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, r)
	r.advance(r.slowdown, now)
	return r.state.Progress
}

// pulse advances all calls to a load report and returns the floor, of which no
// more than most is assumed at first.
func (s *runs) pulse(slowdown, most float64, now time.Time) float64 {
	var late []*run
	s.mu.Lock()
	s.floor = s.floor.Add(slowdown, now)
	speed := estimate.Speed{Slowdown: slowdown, MinSlowdown: s.floor.Value(most, now)}
	for r := range s.active {
		r.advance(slowdown, now)
		if !r.told && hedge.ShouldHedge(r.state, speed, r.objective.Sub(now)) {
			r.told = true
			late = append(late, r)
		}
	}
	s.mu.Unlock()
	for _, r := range late {
		r.tell()
	}
	return speed.MinSlowdown
}
