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

// idempotentCall is the state of an idempotent call at its entry. Such a call
// may run more than once.
type idempotentCall struct {
	entry  *Entry
	req    *Request
	route  *dynconf.Route
	record *board.RequestRecord
	// triedInstances lists the instances of earlier attempts.
	triedInstances []board.InstanceID
	// firstMayHaveRun is the result of the first attempt whose outcome is failed
	// or unknown, nil if there is none.
	firstMayHaveRun *Result
}

// serveIdempotent forwards an idempotent call. It retries on another instance
// after an attempt that did not run, failed or has an unknown outcome.
func (e *Entry) serveIdempotent(ctx context.Context, req *Request, route *dynconf.Route, record *board.RequestRecord) *Result {
	c := &idempotentCall{entry: e, req: req, route: route, record: record}
	result := NotRunResult(board.ReasonNoServer)
	lostConnections := 0
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
		if lostConnections += lostConnectionCount(result); lostConnections >= maxLostConnections {
			break
		}
		c.noteMayHaveRun(result)
	}
	return c.finalResult(result)
}

// noteMayHaveRun keeps the result of the first attempt that may have run.
func (c *idempotentCall) noteMayHaveRun(result *Result) {
	if c.firstMayHaveRun == nil && (result.Outcome == board.OutcomeUnknown || result.Outcome == board.OutcomeFailed) {
		c.firstMayHaveRun = result
	}
}

// finalResult returns the result of the call, given that of its last attempt. A
// call is not reported as not-run if one of its earlier attempts may have run.
func (c *idempotentCall) finalResult(result *Result) *Result {
	if result.Outcome != board.OutcomeNotRun || c.firstMayHaveRun == nil {
		return result
	}
	reason := c.firstMayHaveRun.Reason
	if reason == "" {
		reason = board.ReasonResponseIncomplete
	}
	unknown := UnknownResult(reason)
	unknown.Instance, unknown.Attempts = c.firstMayHaveRun.Instance, result.Attempts
	return unknown
}

// attemptWithHedge sends the call to an endpoint. If there is no response after
// the hedge delay, it sends the call to a second endpoint as well and uses the
// first successful response.
func (c *idempotentCall) attemptWithHedge(ctx context.Context, endpoint *board.Endpoint, number int) *Result {
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

func (c *idempotentCall) newAttempt(endpoint *board.Endpoint, number int) *Attempt {
	return &Attempt{Request: c.req, Route: c.route, Idempotent: true, Number: number, Executor: endpoint.Member}
}

// hedgeDelay returns the delay before the hedged attempt: the 95th percentile
// of the latency of the service if hedging is enabled and the percentile is
// usable. Otherwise it is half of the time to the deadline, so that an
// unresponsive executor does not use up all of it.
func (c *idempotentCall) hedgeDelay() time.Duration {
	remaining := time.Until(c.req.Deadline)
	if c.entry.Board.Config.Load().Retries.HedgingEnabled {
		if retryBudget := c.entry.Board.Budgets.Load().RetryByService[c.req.Service]; retryBudget != nil {
			if delay, ok := budget.HedgeDelay(retryBudget.LatencyP95(), remaining); ok {
				return delay
			}
		}
	}
	return remaining / 2
}

// hedgedAttempt is a second attempt that runs concurrently with the first one.
type hedgedAttempt struct {
	call   *idempotentCall
	ctx    context.Context
	cancel context.CancelFunc
	// cancelFirst cancels the first attempt if the hedged one succeeds first.
	cancelFirst context.CancelFunc
	exclude     []board.InstanceID
	number      int
	// result receives the result, or nil if no hedged attempt was sent.
	result chan *Result
	// winnerChosen is set by the first attempt that succeeds. Only that attempt
	// may cancel the other one, so that no response is canceled while it is
	// forwarded.
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

// send sends the hedged attempt if another endpoint is available and the
// budgets allow it.
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

// pickResult returns the result of the attempt that succeeded first, or that of
// the first attempt if neither did, and cancels the other attempt.
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
	c.entry.metricsOrDiscard().HedgesWon.Inc(1)
	return second
}
