package board

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// RequestState is a step of a call at its entry or its executor.
type RequestState uint32

// States of a request record. The entry uses received, routed, claimed, sent
// and responding; the executor uses received, queued, running and responding.
const (
	RequestReceived RequestState = iota
	RequestRouted
	RequestClaimed
	RequestQueued
	RequestSent
	RequestRunning
	RequestResponding
	RequestDone
)

var requestStateNames = [...]string{
	"received", "routed", "claimed", "queued", "sent", "running", "responding", "done",
}

// String returns the name used in logs and status output.
func (s RequestState) String() string {
	if int(s) < len(requestStateNames) {
		return requestStateNames[s]
	}
	return "invalid"
}

// allowedTransitions lists the states that may follow each state. A retry
// takes a request from sent back to routed.
var allowedTransitions = [...]uint32{
	RequestReceived:   bits(RequestRouted, RequestQueued, RequestRunning, RequestDone),
	RequestRouted:     bits(RequestClaimed, RequestSent, RequestDone),
	RequestClaimed:    bits(RequestSent, RequestRouted, RequestDone),
	RequestQueued:     bits(RequestRunning, RequestDone),
	RequestSent:       bits(RequestRouted, RequestResponding, RequestDone),
	RequestRunning:    bits(RequestResponding, RequestDone),
	RequestResponding: bits(RequestDone),
	RequestDone:       0,
}

// bits returns the set of states as a bit mask.
func bits[S ~uint8 | ~uint32](states ...S) uint32 {
	var b uint32
	for _, s := range states {
		b |= 1 << s
	}
	return b
}

// RequestRecord is the board record of one call in flight on this node.
type RequestRecord struct {
	ID      string
	Service string
	// Digest binds a non-idempotent call to its grant, see section 6 of the
	// design page.
	Digest  string
	Caller  string
	Started time.Time
	// ExecutionResult describes the call for the quarantine, see section 7 of the
	// design page. It is nil at the entry. It is computed on demand, because
	// hashing each body would cost about 1 ms per MB.
	ExecutionResult func() ExecutionResult

	state   atomic.Uint32
	outcome atomic.Uint32
}

// State returns the current state.
func (r *RequestRecord) State() RequestState { return RequestState(r.state.Load()) }

// Outcome returns the outcome of a request that is done.
func (r *RequestRecord) Outcome() Outcome { return Outcome(r.outcome.Load()) }

// Advance moves the record to a following state. A transition that is not
// allowed is a broken invariant and panics.
func (r *RequestRecord) Advance(next RequestState) {
	old := r.state.Load()
	if allowedTransitions[old]&(1<<next) == 0 || !r.state.CompareAndSwap(old, uint32(next)) {
		panic(fmt.Sprintf("board: request %s cannot move from %s to %s", r.ID, RequestState(old), next))
	}
}

// Finish moves the record to done with an outcome. Only the first call counts.
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

// Add registers a record until Remove is called.
func (q *Requests) Add(r *RequestRecord) {
	q.records.Store(r, struct{}{})
	q.count.Add(1)
}

// Remove drops a record.
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
