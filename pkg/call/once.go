package call

import (
	"context"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// serveOnce carries a call that must run at most once: it tries another
// instance only after proof that the last attempt did not run.
func (e *Entry) serveOnce(ctx context.Context, req *Request, route *dynconf.Route, record *board.RequestRecord) *Result {
	var tried []board.InstanceID
	result := NotRun(board.ReasonNoServer)
	for number := 1; number <= maxAttempts && ctx.Err() == nil; number++ {
		cell := e.pick(req.Service, tried)
		if cell == nil {
			break
		}
		record.Advance(board.RequestRouted)
		attempt := &Attempt{Request: req, Route: route, Number: number, Executor: cell.Member}
		result = e.send(ctx, attempt, cell, record)
		if result.Outcome != board.OutcomeNotRun {
			break
		}
		tried = append(tried, cell.Member.Instance)
	}
	return result
}
