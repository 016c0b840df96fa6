package mesh

import (
	"context"
	"net/http"

	"mangostand.example/mangostand/pkg/board"
)

// hedgedCall is a call that was offered to more than one executor at once.
// The first success cancels the others.
type hedgedCall struct {
	forwarder *forwarder
	ctx       context.Context
	results   chan offerResult
	cancels   map[*board.MeshEndpoint]context.CancelFunc
	// pending counts the offers without a result.
	pending int
}

// addOffer offers the call to one more executor.
func (h *hedgedCall) addOffer(endpoint *board.MeshEndpoint) {
	ctx, cancel := context.WithCancel(h.ctx)
	h.cancels[endpoint] = cancel
	h.pending++
	h.forwarder.offer(ctx, endpoint, 0, func() {}, h.results)
}

// awaitSuccess returns the first success, or the last result if there is no
// success. A server error that arrives last is returned with its body.
func (h *hedgedCall) awaitSuccess() (*Result, *board.MeshEndpoint) {
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

// recordFailure records a result that is not a success. An offer that the
// executor refused used no attempt, so another executor gets one in its
// place.
func (h *hedgedCall) recordFailure(offered offerResult) {
	f := h.forwarder
	if offered.result.Outcome == Answered {
		// The server error is returned unless another attempt succeeds.
		offered.result.Body = onClose(offered.result.Body, h.cancels[offered.endpoint])
		f.lastFailure.closeBody()
		f.lastFailure = offered.result
	} else {
		h.cancels[offered.endpoint]()
	}
	f.excluded = append(f.excluded, offered.endpoint.Record.Instance)
	if offered.result.Outcome == Unknown {
		f.lastUnknown = offered.result
	}
	if offered.result.Outcome != NotSent || h.pending == 0 || f.offers >= maxOffers || h.ctx.Err() != nil {
		return
	}
	if endpoint, _ := f.pickEndpoint(); endpoint != nil && h.cancels[endpoint] == nil {
		h.addOffer(endpoint)
	}
}

// cancelOthers cancels the offers other than the winner's and closes the
// bodies of results that still arrive.
func (h *hedgedCall) cancelOthers(winner *board.MeshEndpoint) {
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
