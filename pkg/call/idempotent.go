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
	// triedInstances lists the instances of earlier attempts.
	triedInstances []board.InstanceID
	// mayHaveRun is the first attempt that may have run without an answer.
	mayHaveRun *Result
}

// serveIdempotent carries a call that may run more than once: it tries another
// instance after an attempt that did not run or failed.
func (e *Entry) serveIdempotent(ctx context.Context, req *Request, route *dynconf.Route, record *board.RequestRecord) *Result {
	c := &idempotentCall{entry: e, req: req, route: route, record: record}
	result := NotRunResult(board.ReasonNoServer)
	lost := 0
	for number := 1; number <= maxAttempts && ctx.Err() == nil; number++ {
		endpoint := e.pickEndpoint(req.Service, c.triedInstances)
		if endpoint == nil || (number > 1 && !e.chargeRetry(req, true, result)) {
			break
		}
		closeBody(result.Body)
		record.Advance(board.RequestRouted)
		result = c.attemptWithHedge(ctx, endpoint, number)
		if result.Outcome == board.OutcomeSucceeded {
			break
		}
		if lost += lostConnectionCount(result); lost >= maxLostConnections {
			break
		}
		c.noteMayHaveRun(result)
	}
	return c.finalResult(result)
}

// noteMayHaveRun remembers an attempt that may have run.
func (c *idempotentCall) noteMayHaveRun(result *Result) {
	if c.mayHaveRun == nil && (result.Outcome == board.OutcomeUnknown || result.Outcome == board.OutcomeFailed) {
		c.mayHaveRun = result
	}
}

// finalResult keeps a call whose earlier attempt may have run from being
// reported as not run.
func (c *idempotentCall) finalResult(result *Result) *Result {
	if result.Outcome != board.OutcomeNotRun || c.mayHaveRun == nil {
		return result
	}
	reason := c.mayHaveRun.Reason
	if reason == "" {
		reason = board.ReasonResponseCut
	}
	unknown := UnknownResult(reason)
	unknown.Instance, unknown.Attempts = c.mayHaveRun.Instance, result.Attempts
	return unknown
}

// attemptWithHedge sends the call to the instance of a cell. When no answer comes for a
// while, it sends the call to a second instance as well and takes the answer
// that comes first.
func (c *idempotentCall) attemptWithHedge(ctx context.Context, endpoint *board.Cell, number int) *Result {
	c.record.Advance(board.RequestSent)
	c.triedInstances = append(c.triedInstances, endpoint.Member.Instance)
	firstCtx, cancelFirst := context.WithCancel(ctx)
	hedge := c.newHedgedAttempt(ctx, cancelFirst, number+1)
	timer := time.AfterFunc(c.hedgeDelay(), hedge.send)
	first := c.entry.sendAttempt(firstCtx, c.newAttempt(endpoint, number), endpoint)
	first.Body = cancelOnClose(first.Body, cancelFirst)
	if timer.Stop() {
		hedge.cancel()
		return first
	}
	return c.pickResult(first, hedge)
}

func (c *idempotentCall) newAttempt(endpoint *board.Cell, number int) *Attempt {
	return &Attempt{Request: c.req, Route: c.route, Idempotent: true, Number: number, Executor: endpoint.Member}
}

// hedgeDelay returns the wait before the second attempt: the high latency of
// the service when hedges are enabled. Otherwise half of the time that is
// left, so that an executor that has stopped answering does not use up the
// whole deadline.
func (c *idempotentCall) hedgeDelay() time.Duration {
	remaining := time.Until(c.req.Deadline)
	if c.entry.Board.Config.Load().Retries.Hedge {
		if retryBudget := c.entry.Board.Budgets.Load().ByService[c.req.Service]; retryBudget != nil {
			if delay, ok := budget.HedgeDelay(retryBudget.HighLatency(), remaining); ok {
				return delay
			}
		}
	}
	return remaining / 2
}

// hedgedAttempt is a second attempt beside a running one.
type hedgedAttempt struct {
	call   *idempotentCall
	ctx    context.Context
	cancel context.CancelFunc
	// cancelFirst ends the first attempt when the hedge has an answer.
	cancelFirst context.CancelFunc
	exclude     []board.InstanceID
	number      int
	// result receives the outcome, or nil when no hedge was sent.
	result chan *Result
	// winnerChosen is set by the first attempt that succeeds. Only that attempt may
	// cancel the other one, so that no answer is cut while it is passed on.
	winnerChosen atomic.Bool
}

func (c *idempotentCall) newHedgedAttempt(ctx context.Context, cancelFirst context.CancelFunc, number int) *hedgedAttempt {
	h := &hedgedAttempt{
		call: c, cancelFirst: cancelFirst, exclude: slices.Clone(c.triedInstances), number: number,
		result: make(chan *Result, 1),
	}
	h.ctx, h.cancel = context.WithCancel(ctx)
	return h
}

// send sends the second attempt when another instance and the budgets allow it.
func (h *hedgedAttempt) send() {
	entry, req := h.call.entry, h.call.req
	endpoint := entry.pickEndpoint(req.Service, h.exclude)
	if h.ctx.Err() != nil || endpoint == nil || !entry.chargeHedge(req) {
		h.result <- nil
		return
	}
	result := entry.sendAttempt(h.ctx, h.call.newAttempt(endpoint, h.number), endpoint)
	if result.Outcome == board.OutcomeSucceeded && h.winnerChosen.CompareAndSwap(false, true) {
		h.cancelFirst()
	}
	h.result <- result
}

// pickResult returns the better result of two attempts and ends the other one.
func (c *idempotentCall) pickResult(first *Result, h *hedgedAttempt) *Result {
	if first.Outcome == board.OutcomeSucceeded && h.winnerChosen.CompareAndSwap(false, true) {
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
	c.triedInstances = append(c.triedInstances, second.Instance)
	if second.Outcome != board.OutcomeSucceeded {
		c.noteMayHaveRun(second)
		closeBody(second.Body)
		h.cancel()
		return first
	}
	closeBody(first.Body)
	second.Body = cancelOnClose(second.Body, h.cancel)
	c.entry.metricsOrDiscard().HedgeWins.Inc(1)
	return second
}
