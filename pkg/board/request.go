package board

import (
	"sync"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/guard"
)

// RequestState is the state of a call at its entry or its executor.
type RequestState uint32

// Request states. The entry uses received, routed, claimed, sent and done; the
// executor uses received, queued, running and done.
const (
	RequestReceived RequestState = iota
	RequestRouted
	RequestClaimed
	RequestQueued
	RequestSent
	RequestRunning
	RequestDone
)

var requestStateNames = [...]string{
	"received", "routed", "claimed", "queued", "sent", "running", "done",
}

// String returns the name used in logs and status output.
func (s RequestState) String() string {
	if int(s) < len(requestStateNames) {
		return requestStateNames[s]
	}
	return "invalid"
}

// allowedRequestTransitions holds, for each state, the set of states that may
// follow. A retry moves a request from sent back to routed.
var allowedRequestTransitions = [...]uint32{
	RequestReceived: stateSet(RequestRouted, RequestQueued, RequestRunning, RequestDone),
	RequestRouted:   stateSet(RequestClaimed, RequestSent, RequestDone),
	RequestClaimed:  stateSet(RequestSent, RequestRouted, RequestDone),
	RequestQueued:   stateSet(RequestRunning, RequestDone),
	RequestSent:     stateSet(RequestRouted, RequestDone),
	RequestRunning:  stateSet(RequestDone),
	RequestDone:     0,
}

// stateSet returns a bit mask of states.
func stateSet[S ~uint8 | ~uint32](states ...S) uint32 {
	var set uint32
	for _, s := range states {
		set |= 1 << s
	}
	return set
}

// RequestRecord is the record of one call in flight on this node.
type RequestRecord struct {
	ID      string
	Service string
	// Digest binds a non-idempotent call to its grant, see section 6 of the
	// design document.
	Digest  string
	Caller  string
	Started time.Time
	// ExecutionResult describes the call for the quarantine, see section 7 of the
	// design document. It is nil at the entry. It is a function because hashing
	// the body of every call would cost about 1 ms per MB.
	ExecutionResult func() ExecutionResult

	state   atomic.Uint32
	outcome atomic.Uint32
}

// State returns the current state.
func (r *RequestRecord) State() RequestState { return RequestState(r.state.Load()) }

// Outcome returns the outcome, OutcomeNone while the request is not done.
func (r *RequestRecord) Outcome() Outcome { return Outcome(r.outcome.Load()) }

// Advance moves the record to the next state. It panics when the transition is
// not allowed.
func (r *RequestRecord) Advance(next RequestState) {
	old := r.state.Load()
	if allowedRequestTransitions[old]&(1<<next) == 0 || !r.state.CompareAndSwap(old, uint32(next)) {
		guard.Invariantf("board: request %s cannot move from %s to %s", r.ID, RequestState(old), next)
	}
}

// Finish moves the record to RequestDone with an outcome. Only the first call has
// an effect.
func (r *RequestRecord) Finish(o Outcome) {
	if r.outcome.CompareAndSwap(uint32(OutcomeNone), uint32(o)) {
		r.state.Store(uint32(RequestDone))
	}
}

// Requests holds the records of the calls in flight on this node.
type Requests struct {
	records sync.Map // of *RequestRecord to struct{}
	count   atomic.Int64
}

// Add registers a record.
func (q *Requests) Add(r *RequestRecord) {
	q.records.Store(r, struct{}{})
	q.count.Add(1)
}

// Remove unregisters a record.
func (q *Requests) Remove(r *RequestRecord) {
	if _, found := q.records.LoadAndDelete(r); found {
		q.count.Add(-1)
	}
}

// Len returns the number of registered records.
func (q *Requests) Len() int { return int(q.count.Load()) }

// Each calls f for each registered record until f returns false.
func (q *Requests) Each(f func(*RequestRecord) bool) {
	q.records.Range(func(k, _ any) bool { return f(k.(*RequestRecord)) })
}
