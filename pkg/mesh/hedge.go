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
	cancels   map[*board.MeshCell]context.CancelFunc
	// pending counts the sends without an outcome.
	pending int
}

// addOffer sends the call to one more executor.
func (h *hedgedCall) addOffer(endpoint *board.MeshCell) {
	ctx, cancel := context.WithCancel(h.ctx)
	h.cancels[endpoint] = cancel
	h.pending++
	h.forwarder.offer(ctx, endpoint, 0, func() {}, h.results)
}

// awaitSuccess returns the first good answer, or the last one when none is good. A
// failure that a backend server answered last is passed on whole.
func (h *hedgedCall) awaitSuccess() (*Result, *board.MeshCell) {
	var last offerResult
	for h.pending > 0 {
		offered := <-h.results
		h.pending--
		if isSuccess(offered.result) || (h.pending == 0 && offered.result.Outcome == Answered) {
			h.cancelOthers(offered.endpoint)
			return cancelOnClose(offered, h.cancels[offered.endpoint])
		}
		h.recordFailure(offered)
		last = offered
	}
	return last.result, last.endpoint
}

func isSuccess(result *Result) bool {
	return result.Outcome == Answered && result.Status < http.StatusInternalServerError
}

// recordFailure notes a send without a good answer. One that an executor refused has
// taken no attempt, so that another executor is asked in its place.
func (h *hedgedCall) recordFailure(offered offerResult) {
	f := h.forwarder
	h.cancels[offered.endpoint]()
	f.excluded = append(f.excluded, offered.endpoint.Record.Instance)
	if offered.result.Outcome == Unknown {
		f.lastUnknown = offered.result
	}
	if h.pending > 0 {
		offered.result.closeBody()
	}
	if offered.result.Outcome != NotSent || h.pending == 0 || f.offers >= maxOffers || h.ctx.Err() != nil {
		return
	}
	if endpoint, _ := f.pickEndpoint(); endpoint != nil && h.cancels[endpoint] == nil {
		h.addOffer(endpoint)
	}
}

// cancelOthers cancels the other sends and closes what they still answer.
func (h *hedgedCall) cancelOthers(winner *board.MeshCell) {
	for endpoint, cancel := range h.cancels {
		if endpoint != winner {
			cancel()
		}
	}
	pending, results := h.pending, h.results
	go func() {
		for range pending {
			late := <-results
			late.result.closeBody()
		}
	}()
}
