package mesh

import (
	"context"
	"net/http"

	"mangostand.example/mangostand/pkg/board"
)

// hedgedCall is a call that was sent to more than one executor. The first good answer
// wins and cancels the others.
type hedgedCall struct {
	forwarder *forwarder
	ctx       context.Context
	results   chan offerResult
	cancels   map[*board.MeshEndpoint]context.CancelFunc
	// pending counts the sends without an outcome.
	pending int
}

// addOffer sends the call to one more executor.
func (r *hedgedCall) addOffer(cell *board.MeshEndpoint) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancels[cell] = cancel
	r.pending++
	r.forwarder.offer(ctx, cell, 0, func() {}, r.results)
}

// awaitSuccess returns the first good answer, or the last one when none is good. A
// failure that a backend server answered last is passed on whole.
func (r *hedgedCall) awaitSuccess() (*Result, *board.MeshEndpoint) {
	var last offerResult
	for r.pending > 0 {
		o := <-r.results
		r.pending--
		if isSuccess(o.result) || (r.pending == 0 && o.result.Outcome == Answered) {
			r.cancelOthers(o.endpoint)
			return cancelOnClose(o, r.cancels[o.endpoint])
		}
		r.recordFailure(o)
		last = o
	}
	return last.result, last.endpoint
}

func isSuccess(a *Result) bool {
	return a.Outcome == Answered && a.Status < http.StatusInternalServerError
}

// recordFailure notes a send without a good answer. One that an executor refused has
// taken no attempt, so that another executor is asked in its place.
func (r *hedgedCall) recordFailure(o offerResult) {
	p := r.forwarder
	r.cancels[o.endpoint]()
	p.excluded = append(p.excluded, o.endpoint.Record.Instance)
	if o.result.Outcome == Unknown {
		p.lastUnknown = o.result
	}
	if r.pending > 0 {
		o.result.closeBody()
	}
	if o.result.Outcome != NotSent || r.pending == 0 || p.offers >= maxOffers || r.ctx.Err() != nil {
		return
	}
	if cell, _ := p.pickEndpoint(); cell != nil && r.cancels[cell] == nil {
		r.addOffer(cell)
	}
}

// cancelOthers cancels the other sends and closes what they still answer.
func (r *hedgedCall) cancelOthers(winner *board.MeshEndpoint) {
	for cell, cancel := range r.cancels {
		if cell != winner {
			cancel()
		}
	}
	pending, out := r.pending, r.results
	go func() {
		for range pending {
			late := <-out
			late.result.closeBody()
		}
	}()
}
