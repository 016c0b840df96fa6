package mesh

import (
	"context"
	"net/http"
	"sync"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/attempts"
	"mangostand.example/mangostand/pkg/decide/hedge"
	"mangostand.example/mangostand/pkg/decide/locality"
	"mangostand.example/mangostand/pkg/guard"
)

// maxOffers bounds the executors to which one call is offered. An executor
// that refuses reports its load, so each further choice uses fresh load
// reports.
const maxOffers = 5

// forwarder forwards one call: it offers the call to executors until one of
// them runs it. It belongs to one goroutine.
type forwarder struct {
	entry *Entry
	call  *Call

	// excluded lists the executors to which the call is not offered again.
	excluded []board.InstanceID
	offers   int
	// attemptsSent counts the attempts that may have reached a backend server.
	attemptsSent int
	lastExecutor board.InstanceID
	expectedTime time.Duration
	loadAge      time.Duration
	// admissionWait is the time until the chosen executor may send a further call.
	admissionWait time.Duration
	// lastFailure is the newest response with a server error.
	lastFailure *Result
	// lastUnknown is the newest result with an unknown outcome.
	lastUnknown *Result
	// triedSuspected is set once suspected nodes were considered; they are not
	// considered again.
	triedSuspected bool
	// refusedAsEvacuated lists the failure domains of executors that refused the call
	// because the domain is evacuated.
	refusedAsEvacuated []string
	// locality is the latest decision on the failure domain, repeated the cause of the
	// next offer, which is Stays for the first one.
	locality locality.Decision
	repeated locality.Cause
}

// forward offers the call to executors until a result is final or nothing is
// left to try.
func (f *forwarder) forward(ctx context.Context) *Result {
	lastResult := notSent(board.ReasonNoServer)
	// attemptCharged means that the next attempt needs no further charge: it is
	// the first one, or was charged for an offer that an executor refused.
	attemptCharged := true
	cause := attempts.Lost
	for f.offers < maxOffers && ctx.Err() == nil {
		endpoint, maxResponseTime := f.pickEndpoint()
		if endpoint == nil {
			if lastResult.Outcome == NotSent && f.allEvacuated() {
				lastResult = notSent(board.ReasonEvacuated)
			}
			break
		}
		if refusal := f.refusalWhileCold(); refusal != nil {
			lastResult = refusal
			break
		}
		if f.attemptsSent > 0 && !attemptCharged {
			if !f.allowRetry(cause) {
				break
			}
			attemptCharged = true
		}
		result, endpoint := f.offerWithHedge(ctx, endpoint, maxResponseTime)
		if result.Outcome != NotSent {
			f.attemptsSent++
			attemptCharged, cause = false, retryCause(result)
		}
		if f.recordOutcome(result, endpoint) {
			f.lastFailure.closeBody()
			return result
		}
		lastResult, f.repeated = result, repeatCause(result)
	}
	return f.finalResult(ctx, lastResult)
}

// recordOutcome records the result of an offer and reports whether it is
// final.
func (f *forwarder) recordOutcome(result *Result, endpoint *board.MeshEndpoint) bool {
	if result.Reason != board.ReasonSlowerThanAlternative {
		f.excluded = append(f.excluded, endpoint.Record.Instance)
	}
	if result.Reason == board.ReasonEvacuated {
		f.refusedAsEvacuated = append(f.refusedAsEvacuated, endpoint.Record.FailureDomain)
	}
	switch result.Outcome {
	case NotSent:
		return result.Reason == board.ReasonQuarantined && f.lastUnknown == nil && f.lastFailure == nil
	case Answered:
		if result.Status < http.StatusInternalServerError || !f.call.Idempotent {
			return true
		}
		f.lastFailure.closeBody()
		f.lastFailure = result
	case Unknown:
		f.lastUnknown = result
		return !f.call.Idempotent
	}
	return false
}

// retryCause returns why a call would be sent again after the result.
func retryCause(result *Result) attempts.Cause {
	switch result.Outcome {
	case Rejected:
		return attempts.Rejected
	case Answered:
		return attempts.Failed
	}
	return attempts.Lost
}

// allowRetry reports whether the limits of the call and of its service allow
// another attempt, and charges it.
func (f *forwarder) allowRetry(cause attempts.Cause) bool {
	c := f.call
	if f.attemptsSent >= c.MaxAttempts || (cause == attempts.Failed && !f.isFailureOutlier()) {
		return false
	}
	if !f.entry.chargeAttempt(c.Service, cause) {
		f.entry.Log.Info().Str("event", "repeat_refused").Str("id", c.ID).Str("service", c.Service).Int("sent", f.attemptsSent).
			Uint8("cause", uint8(cause)).Send()
		return false
	}
	return true
}

// isFailureOutlier reports whether the last backend server fails more calls
// than the others of its service.
func (f *forwarder) isFailureOutlier() bool {
	now := time.Now()
	ownRatio, otherRatios := 0.0, []float64{}
	for _, endpoint := range f.entry.Board.Fleet.Load().ByService[f.call.Service] {
		if endpoint.Record.Instance == f.lastExecutor {
			ownRatio = endpoint.FailureRatio(now)
		} else {
			otherRatios = append(otherRatios, endpoint.FailureRatio(now))
		}
	}
	return attempts.IsOutlier(ownRatio, otherRatios)
}

// finalResult returns the result for the caller when no result was final: a
// server error if there is one, else an unknown outcome, else the last refusal.
func (f *forwarder) finalResult(ctx context.Context, lastResult *Result) *Result {
	switch {
	case f.lastFailure != nil:
		return f.lastFailure
	case f.lastUnknown != nil:
		return f.lastUnknown
	case ctx.Err() != nil && lastResult.Outcome == NotSent:
		return &Result{Outcome: NotSent, Reason: board.ReasonDeadlineBeforeStart, QueueWait: lastResult.QueueWait, ServiceTime: lastResult.ServiceTime}
	}
	return lastResult
}

// offerResult is the result of one offer and the endpoint that gave it.
type offerResult struct {
	result   *Result
	endpoint *board.MeshEndpoint
}

// offer asks an executor to run the call and sends the result to results.
// notifySlow is called when the executor expects to miss the objective.
func (f *forwarder) offer(ctx context.Context, endpoint *board.MeshEndpoint, maxResponseTime time.Duration, notifySlow func(), results chan<- offerResult) {
	f.offers++
	f.lastExecutor = endpoint.Record.Instance
	endpoint.CallStarted()
	callEnded := sync.OnceFunc(endpoint.CallEnded)
	domainCause := f.locality.Cause
	go func() {
		defer guard.Recover(f.entry.Log, "offer", func() {
			callEnded()
			results <- offerResult{unknown(board.ReasonInternalError), endpoint}
		})
		var result *Result
		if endpoint.Record.Instance == f.entry.Board.Self.Instance {
			result = f.entry.LocalExecutor.Execute(ctx, f.cloneCall(), endpoint.Record.ServerID, maxResponseTime, localSender{notifySlow})
		} else {
			result = f.sendToPeer(ctx, endpoint, maxResponseTime, notifySlow)
		}
		result.Body = onClose(result.Body, callEnded)
		f.recordFeedback(endpoint, result)
		f.recordCrossDomainOffer(endpoint, domainCause, result)
		results <- offerResult{result, endpoint}
	}()
}

// offerWithHedge offers the call to an executor. If the call is idempotent
// and the response is late, it offers the call to a second executor as well
// and returns the first successful result.
func (f *forwarder) offerWithHedge(ctx context.Context, endpoint *board.MeshEndpoint, maxResponseTime time.Duration) (*Result, *board.MeshEndpoint) {
	results := make(chan offerResult, maxOffers)
	slow := make(chan struct{}, 1)
	firstCtx, cancelFirst := context.WithCancel(ctx)
	f.offer(firstCtx, endpoint, maxResponseTime, func() { notify(slow) }, results)
	if !f.call.Idempotent {
		offered := <-results
		return cancelOnClose(offered, cancelFirst)
	}
	timer := time.NewTimer(hedge.Delay(f.expectedTime, f.nominalTime(), time.Until(f.call.Objective)))
	defer timer.Stop()
	cause := attempts.Lost
	select {
	case offered := <-results:
		return cancelOnClose(offered, cancelFirst)
	case <-slow:
		cause = attempts.Slow
	case <-timer.C:
	}
	second := f.hedgeEndpoint(endpoint, cause)
	if second == nil {
		offered := <-results
		return cancelOnClose(offered, cancelFirst)
	}
	f.attemptsSent++
	h := &hedgedCall{forwarder: f, ctx: ctx, results: results, cancels: map[*board.MeshEndpoint]context.CancelFunc{endpoint: cancelFirst}, pending: 1}
	h.addOffer(second)
	return h.awaitSuccess()
}

// notify signals on a channel without blocking.
func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// cancelOnClose arranges that closing the response body cancels the offer.
// An offer without a body is canceled at once.
func cancelOnClose(offered offerResult, cancel context.CancelFunc) (*Result, *board.MeshEndpoint) {
	offered.result.Body = onClose(offered.result.Body, cancel)
	return offered.result, offered.endpoint
}

// hedgeEndpoint returns the executor for a hedged attempt, or nil if there is
// none or the attempt budgets do not allow one.
func (f *forwarder) hedgeEndpoint(primary *board.MeshEndpoint, cause attempts.Cause) *board.MeshEndpoint {
	if f.attemptsSent+1 >= f.call.MaxAttempts {
		return nil
	}
	f.excluded = append(f.excluded, primary.Record.Instance)
	primaryDecision := f.locality
	f.repeated = locality.Hedge
	endpoint, _ := f.pickEndpoint()
	f.excluded = f.excluded[:len(f.excluded)-1]
	if endpoint == nil || !f.entry.chargeAttempt(f.call.Service, cause) {
		f.locality = primaryDecision
		return nil
	}
	f.entry.Log.Info().Str("event", "hedged").Str("id", f.call.ID).Uint8("cause", uint8(cause)).
		Str("first", string(primary.Record.Instance)).Str("second", string(endpoint.Record.Instance)).
		Bool("other_domain", endpoint.Record.FailureDomain != f.entry.Board.Self.FailureDomain).
		Dur("elapsed", time.Since(f.call.Received)).Dur("usual", f.nominalTime()).Send()
	return endpoint
}

// cloneCall returns a copy of the call with its own header map, which the
// executor modifies.
func (f *forwarder) cloneCall() *Call {
	c := *f.call
	c.Header = f.call.Header.Clone()
	return &c
}

// recordFeedback updates the statistics of an executor and of the rule from
// a result.
func (f *forwarder) recordFeedback(endpoint *board.MeshEndpoint, result *Result) {
	now := time.Now()
	if result.Load != nil {
		result.Load.ReceivedAt = now
		endpoint.UpdateLoadReport(*result.Load)
		endpoint.Reachability.RecordResponse(now)
	}
	if result.ServiceTime > 0 && endpoint.Record.Instance != f.entry.Board.Self.Instance {
		f.entry.Board.CallStats.ForRule(f.call.Rule).AddServiceTime(result.ServiceTime)
	}
	if result.Outcome == Answered && result.Length > 0 {
		f.entry.Board.CallStats.ForRule(f.call.Rule).AddResponseSize(result.Length)
	}
	switch {
	case result.Outcome == Answered:
		endpoint.ObserveOutcome(result.Status >= http.StatusInternalServerError, now)
	case result.Outcome == Rejected, result.Outcome == Unknown && result.Reason != board.ReasonCanceledByCaller && result.Reason != board.ReasonDeadlineExceeded, result.Reason == board.ReasonBackendDown:
		endpoint.ObserveOutcome(true, now)
	}
}
