package call

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/budget"
	"mangostand.example/mangostand/pkg/dynconf"
)

// idempotentCall is a call that may run more than once.
type idempotentCall struct {
	entry  *Entry
	req    *Request
	route  *dynconf.Route
	record *board.RequestRecord
	// tried lists the instances of earlier attempts.
	tried []board.InstanceID
	// ambiguous is the first attempt that may have run without an answer.
	ambiguous *Result
}

// serveIdempotent carries a call that may run more than once: it tries another
// instance after an attempt that did not run or failed.
func (e *Entry) serveIdempotent(ctx context.Context, req *Request, route *dynconf.Route, record *board.RequestRecord) *Result {
	c := &idempotentCall{entry: e, req: req, route: route, record: record}
	result := NotRunResult(board.ReasonNoServer)
	lost := 0
	for number := 1; number <= maxAttempts && ctx.Err() == nil; number++ {
		cell := e.pick(req.Service, c.tried)
		if cell == nil || (number > 1 && !e.takeAttempt(req, true, result)) {
			break
		}
		closeBody(result.Body)
		record.Advance(board.RequestRouted)
		result = c.attempt(ctx, cell, number)
		if result.Outcome == board.OutcomeSucceeded {
			break
		}
		if lost += lostConnections(result); lost >= maxLostConnections {
			break
		}
		c.note(result)
	}
	return c.withAmbiguity(result)
}

// note remembers an attempt that may have run.
func (c *idempotentCall) note(result *Result) {
	if c.ambiguous == nil && (result.Outcome == board.OutcomeUnknown || result.Outcome == board.OutcomeFailed) {
		c.ambiguous = result
	}
}

// withAmbiguity keeps a call whose earlier attempt may have run from being
// reported as not run.
func (c *idempotentCall) withAmbiguity(result *Result) *Result {
	if result.Outcome != board.OutcomeNotRun || c.ambiguous == nil {
		return result
	}
	reason := c.ambiguous.Reason
	if reason == "" {
		reason = board.ReasonResponseIncomplete
	}
	unknown := Unknown(reason)
	unknown.Instance, unknown.Attempts = c.ambiguous.Instance, result.Attempts
	return unknown
}

// attempt sends the call to the instance of a cell. When no answer comes for a
// while, it sends the call to a second instance as well and takes the answer
// that comes first.
func (c *idempotentCall) attempt(ctx context.Context, cell *board.Endpoint, number int) *Result {
	c.record.Advance(board.RequestSent)
	c.tried = append(c.tried, cell.Member.Instance)
	firstCtx, cancelFirst := context.WithCancel(ctx)
	hedge := c.newHedge(ctx, cancelFirst, number+1)
	timer := time.AfterFunc(c.hedgeDelay(), hedge.run)
	first := c.entry.attempt(firstCtx, c.newAttempt(cell, number), cell)
	first.Body = cancelOnClose(first.Body, cancelFirst)
	if timer.Stop() {
		hedge.cancel()
		return first
	}
	return c.choose(first, hedge)
}

func (c *idempotentCall) newAttempt(cell *board.Endpoint, number int) *Attempt {
	return &Attempt{Request: c.req, Route: c.route, Idempotent: true, Number: number, Executor: cell.Member}
}

// hedgeDelay returns the wait before the second attempt: the high latency of
// the service when hedges are enabled. Otherwise half of the time that is
// left, so that an executor that has stopped answering does not use up the
// whole deadline.
func (c *idempotentCall) hedgeDelay() time.Duration {
	remaining := time.Until(c.req.Deadline)
	if c.entry.Board.Config.Load().Retries.HedgingEnabled {
		if b := c.entry.Board.Budgets.Load().RetryByService[c.req.Service]; b != nil {
			if delay, ok := budget.HedgeDelay(b.LatencyP95(), remaining); ok {
				return delay
			}
		}
	}
	return remaining / 2
}

// hedge is a second attempt beside a running one.
type hedge struct {
	call   *idempotentCall
	ctx    context.Context
	cancel context.CancelFunc
	// cancelFirst ends the first attempt when the hedge has an answer.
	cancelFirst context.CancelFunc
	exclude     []board.InstanceID
	number      int
	// result receives the outcome, or nil when no hedge was sent.
	result chan *Result
	// decided is set by the first attempt that succeeds. Only that attempt may
	// cancel the other one, so that no answer is cut while it is passed on.
	decided atomic.Bool
}

func (c *idempotentCall) newHedge(ctx context.Context, cancelFirst context.CancelFunc, number int) *hedge {
	h := &hedge{
		call: c, cancelFirst: cancelFirst, exclude: slices.Clone(c.tried), number: number,
		result: make(chan *Result, 1),
	}
	h.ctx, h.cancel = context.WithCancel(ctx)
	return h
}

// run sends the second attempt when another instance and the budgets allow it.
func (h *hedge) run() {
	entry, req := h.call.entry, h.call.req
	cell := entry.pick(req.Service, h.exclude)
	if h.ctx.Err() != nil || cell == nil || !entry.takeHedge(req) {
		h.result <- nil
		return
	}
	result := entry.attempt(h.ctx, h.call.newAttempt(cell, h.number), cell)
	if result.Outcome == board.OutcomeSucceeded && h.decided.CompareAndSwap(false, true) {
		h.cancelFirst()
	}
	h.result <- result
}

// choose returns the better result of two attempts and ends the other one.
func (c *idempotentCall) choose(first *Result, h *hedge) *Result {
	if first.Outcome == board.OutcomeSucceeded && h.decided.CompareAndSwap(false, true) {
		h.cancel()
		go func() {
			if second := <-h.result; second != nil {
				closeBody(second.Body)
			}
		}()
		return first
	}
	second := <-h.result
	if second == nil {
		h.cancel()
		return first
	}
	c.tried = append(c.tried, second.Instance)
	if second.Outcome != board.OutcomeSucceeded {
		c.note(second)
		closeBody(second.Body)
		h.cancel()
		return first
	}
	closeBody(first.Body)
	second.Body = cancelOnClose(second.Body, h.cancel)
	c.entry.traffic().HedgeWins.Inc(1)
	return second
}
