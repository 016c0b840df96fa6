package call

import (
	"context"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// maxAttempts bounds the attempts of one call, the first included.
const maxAttempts = 3

// serveIdempotent carries a call that may run more than once: it tries another
// instance after an attempt that did not run or failed in transport.
func (e *Entry) serveIdempotent(ctx context.Context, req *Request, route *dynconf.Route, record *board.RequestRecord) *Result {
	var tried []board.InstanceID
	result := NotRun(board.ReasonNoServer)
	lost := 0
	for number := 1; number <= maxAttempts && ctx.Err() == nil; number++ {
		cell := e.pick(req.Service, tried)
		if cell == nil {
			break
		}
		record.Advance(board.RequestRouted)
		attempt := &Attempt{Request: req, Route: route, Idempotent: true, Number: number, Executor: cell.Member}
		result = e.send(ctx, attempt, cell, record)
		if result.Outcome == board.OutcomeSucceeded || result.Outcome == board.OutcomeFailed {
			break
		}
		if lost += lostConnections(result); lost >= maxLostConnections {
			break
		}
		tried = append(tried, cell.Member.Instance)
	}
	return result
}
