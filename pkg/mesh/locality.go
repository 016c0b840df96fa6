package mesh

import (
	"net/http"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/locality"
	"mangostand.example/mangostand/pkg/dynconf"
)

// isNested reports whether a call is known to be made by the backend server beside the
// entry while it runs another call. Where callers have API keys, nested calls carry
// none and use public rules. Without customers, nested calls are not recognised.
func isNested(table *dynconf.RouteTable, rule *dynconf.RouteRule, c *Call) bool {
	return table.RequiresKeys && rule.Public && c.Customer == ""
}

// usedSlotShare returns the share of the slots of the local backend server that are in use.
func (x *Executor) usedSlotShare() float64 {
	return float64(x.queue.Running()) / float64(max(1, x.Board.LocalServer.Load().Slots))
}

// repeatCause returns why a call is offered again after the result.
func repeatCause(result *Result) locality.Cause {
	if result.Outcome == NotSent || result.Outcome == Rejected {
		return locality.Refused
	}
	return locality.Lost
}

// recordCrossDomainOffer counts an offer to an executor in another failure domain.
// Bodies count; the body of a request is sent only if the executor took the call.
func (f *forwarder) recordCrossDomainOffer(endpoint *board.MeshEndpoint, cause locality.Cause, result *Result) {
	if endpoint.Record.FailureDomain == f.entry.Board.Self.FailureDomain {
		return
	}
	bytes := int64(0)
	if result.Outcome != NotSent {
		bytes = int64(len(f.call.Body))
	}
	if result.Outcome == Answered && result.Length > 0 && f.call.Method != http.MethodHead {
		bytes += result.Length
	}
	f.entry.Metrics.RecordCrossDomain(cause.String(), bytes)
}
