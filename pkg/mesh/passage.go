package mesh

import (
	"context"
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/attempts"
	"mangostand.example/mangostand/pkg/decide/hedge"
)

// maxOffers bounds the executors that are asked for one call. An executor that
// refuses tells its load, so that the later choices are made on fresh figures.
const maxOffers = 5

// forwarder is the way of one call: the executors it was offered to and what
// came of it. It belongs to one goroutine.
type forwarder struct {
	entry *Entry
	call  *Call

	// excluded are executors that will not be asked again.
	excluded []board.InstanceID
	offers   int
	// sent counts the sends that may have reached a backend server.
	sent         int
	lastExecutor board.InstanceID
	expectedTime time.Duration
	loadAge      time.Duration
	// lastFailure is the newest answer of a backend server that lastFailure the call.
	lastFailure *Result
	// lastUnknown is the newest send whose outcome is unknown.
	lastUnknown *Result
	// triedSuspected is set after an offer to a node that was suspected already.
	triedSuspected bool
}

// forward offers the call to executors until one answers or nothing is left to
// try.
func (p *forwarder) forward(ctx context.Context) *Result {
	last := notSent(board.ReasonNoServer)
	paid := true
	cause := attempts.Lost
	for p.offers < maxOffers && ctx.Err() == nil {
		cell, patience := p.pickEndpoint()
		if cell == nil {
			break
		}
		if p.sent > 0 && !paid {
			if !p.allowRetry(cause) {
				break
			}
			paid = true
		}
		answer, cell := p.offerWithHedge(ctx, cell, patience)
		if answer.Outcome != NotSent {
			p.sent++
			paid, cause = false, retryCause(answer)
		}
		if p.recordOutcome(answer, cell) {
			p.lastFailure.closeBody()
			return answer
		}
		last = answer
	}
	return p.finalResult(ctx, last)
}

// recordOutcome notes the outcome of an offer and reports whether it is final.
func (p *forwarder) recordOutcome(a *Result, cell *board.MeshEndpoint) bool {
	if a.Reason != board.ReasonSlowerThanAlternative {
		p.excluded = append(p.excluded, cell.Record.Instance)
	}
	switch a.Outcome {
	case NotSent:
		return a.Reason == board.ReasonQuarantined && p.lastUnknown == nil
	case Answered:
		if a.Status < http.StatusInternalServerError || !p.call.Idempotent {
			return true
		}
		p.lastFailure.closeBody()
		p.lastFailure = a
	case Unknown:
		p.lastUnknown = a
		return !p.call.Idempotent
	}
	return false
}

// retryCause returns why a call would be sent again after an answer.
func retryCause(a *Result) attempts.Cause {
	switch a.Outcome {
	case Rejected:
		return attempts.Rejected
	case Answered:
		return attempts.Failed
	}
	return attempts.Lost
}

// allowRetry takes an additional attempt from the budgets of the call and of
// its service.
func (p *forwarder) allowRetry(cause attempts.Cause) bool {
	c := p.call
	if p.sent >= c.MaxAttempts || (cause == attempts.Failed && !p.isFailureOutlier()) {
		return false
	}
	if !p.entry.chargeAttempt(c.Service, cause) {
		p.entry.Log.Info().Str("event", "repeat_refused").Str("id", c.ID).Str("service", c.Service).Int("sent", p.sent).
			Uint8("cause", uint8(cause)).Send()
		return false
	}
	return true
}

// isFailureOutlier reports whether the last backend server fails more than the others
// of its service.
func (p *forwarder) isFailureOutlier() bool {
	now := time.Now()
	own, others := 0.0, []float64{}
	for _, cell := range p.entry.Board.Fleet.Load().ByService[p.call.Service] {
		if cell.Record.Instance == p.lastExecutor {
			own = cell.FailureRatio(now)
		} else {
			others = append(others, cell.FailureRatio(now))
		}
	}
	return attempts.IsOutlier(own, others)
}

// finalResult returns what the caller is told when no offer was final: a failure
// of a backend server, else that the call may have run, else the refusal.
func (p *forwarder) finalResult(ctx context.Context, last *Result) *Result {
	switch {
	case p.lastFailure != nil:
		return p.lastFailure
	case p.lastUnknown != nil:
		return p.lastUnknown
	case ctx.Err() != nil && last.Outcome == NotSent:
		return &Result{Outcome: NotSent, Reason: board.ReasonDeadlineBeforeStart, QueueWait: last.QueueWait, ServiceTime: last.ServiceTime}
	}
	return last
}

// offerResult is the outcome of one offer.
type offerResult struct {
	result   *Result
	endpoint *board.MeshEndpoint
}

// offer asks an executor to run the call. The outcome arrives on the channel;
// slow is told when the executor expects to miss the objective.
func (p *forwarder) offer(ctx context.Context, cell *board.MeshEndpoint, patience time.Duration, slow func(), out chan<- offerResult) {
	p.offers++
	p.lastExecutor = cell.Record.Instance
	cell.CallStarted()
	go func() {
		var answer *Result
		if cell.Record.Instance == p.entry.Board.Self.Instance {
			answer = p.entry.LocalExecutor.Execute(ctx, p.cloneCall(), cell.Record.ServerID, patience, localSender{slow})
		} else {
			answer = p.sendToPeer(ctx, cell, patience, slow)
		}
		answer.Body = onClose(answer.Body, cell.CallEnded)
		p.recordFeedback(cell, answer)
		out <- offerResult{answer, cell}
	}()
}

// offerWithHedge offers the call to an executor and, when the call may be repeated and
// its answer is late, to a second one as well. It returns the first answer.
func (p *forwarder) offerWithHedge(ctx context.Context, cell *board.MeshEndpoint, patience time.Duration) (*Result, *board.MeshEndpoint) {
	out := make(chan offerResult, maxOffers)
	slow := make(chan struct{}, 1)
	first, cancelFirst := context.WithCancel(ctx)
	p.offer(first, cell, patience, func() { notify(slow) }, out)
	if !p.call.Idempotent {
		o := <-out
		return cancelOnClose(o, cancelFirst)
	}
	timer := time.NewTimer(hedge.Delay(p.expectedTime, p.nominalTime(), time.Until(p.call.Objective)))
	defer timer.Stop()
	cause := attempts.Lost
	select {
	case o := <-out:
		return cancelOnClose(o, cancelFirst)
	case <-slow:
		cause = attempts.Slow
	case <-timer.C:
	}
	second := p.hedgeEndpoint(cell, cause)
	if second == nil {
		o := <-out
		return cancelOnClose(o, cancelFirst)
	}
	p.sent++
	r := &hedgedCall{forwarder: p, ctx: ctx, results: out, cancels: map[*board.MeshEndpoint]context.CancelFunc{cell: cancelFirst}, pending: 1}
	r.addOffer(second)
	return r.awaitSuccess()
}

func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func cancelOnClose(o offerResult, cancel context.CancelFunc) (*Result, *board.MeshEndpoint) {
	o.result.Body = onClose(o.result.Body, cancel)
	return o.result, o.endpoint
}

// hedgeEndpoint returns the executor for a second send, or nil when there is none
// or the budgets do not allow it.
func (p *forwarder) hedgeEndpoint(first *board.MeshEndpoint, cause attempts.Cause) *board.MeshEndpoint {
	if p.sent+1 >= p.call.MaxAttempts {
		return nil
	}
	p.excluded = append(p.excluded, first.Record.Instance)
	cell, _ := p.pickEndpoint()
	p.excluded = p.excluded[:len(p.excluded)-1]
	if cell == nil || !p.entry.chargeAttempt(p.call.Service, cause) {
		return nil
	}
	p.entry.Log.Info().Str("event", "hedged").Str("id", p.call.ID).Uint8("cause", uint8(cause)).
		Str("first", string(first.Record.Instance)).Str("second", string(cell.Record.Instance)).
		Dur("elapsed", time.Since(p.call.Received)).Dur("usual", p.nominalTime()).Send()
	return cell
}

// cloneCall returns the call with headers of its own, which the executor
// changes.
func (p *forwarder) cloneCall() *Call {
	c := *p.call
	c.Header = p.call.Header.Clone()
	return &c
}

// recordFeedback notes what an answer says about the executor.
func (p *forwarder) recordFeedback(cell *board.MeshEndpoint, a *Result) {
	now := time.Now()
	if a.Load != nil {
		a.Load.ReceivedAt = now
		cell.UpdateLoadReport(*a.Load)
		cell.Reachability.RecordResponse(now)
	}
	if a.ServiceTime > 0 && cell.Record.Instance != p.entry.Board.Self.Instance {
		p.entry.Board.CallStats.ForRule(p.call.Rule).AddServiceTime(a.ServiceTime)
	}
	if a.Outcome == Answered && a.Length > 0 {
		p.entry.Board.CallStats.ForRule(p.call.Rule).AddResponseSize(a.Length)
	}
	switch {
	case a.Outcome == Answered:
		cell.ObserveOutcome(a.Status >= http.StatusInternalServerError, now)
	case a.Outcome == Rejected, a.Outcome == Unknown && a.Reason != board.ReasonCanceledByCaller && a.Reason != board.ReasonDeadlineExceeded, a.Reason == board.ReasonBackendDown:
		cell.ObserveOutcome(true, now)
	}
}
