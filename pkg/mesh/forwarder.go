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
func (f *forwarder) forward(ctx context.Context) *Result {
	lastResult := notSent(board.ReasonNoServer)
	charged := true
	cause := attempts.Lost
	for f.offers < maxOffers && ctx.Err() == nil {
		endpoint, maxResponseTime := f.pickEndpoint()
		if endpoint == nil {
			break
		}
		if f.sent > 0 && !charged {
			if !f.allowRetry(cause) {
				break
			}
			charged = true
		}
		result, endpoint := f.offerWithHedge(ctx, endpoint, maxResponseTime)
		if result.Outcome != NotSent {
			f.sent++
			charged, cause = false, retryCause(result)
		}
		if f.recordOutcome(result, endpoint) {
			f.lastFailure.closeBody()
			return result
		}
		lastResult = result
	}
	return f.finalResult(ctx, lastResult)
}

// recordOutcome notes the outcome of an offer and reports whether it is final.
func (f *forwarder) recordOutcome(result *Result, endpoint *board.MeshCell) bool {
	if result.Reason != board.ReasonSlower {
		f.excluded = append(f.excluded, endpoint.Record.Instance)
	}
	switch result.Outcome {
	case NotSent:
		return result.Reason == board.ReasonQuarantined && f.lastUnknown == nil
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

// retryCause returns why a call would be sent again after an answer.
func retryCause(result *Result) attempts.Cause {
	switch result.Outcome {
	case Rejected:
		return attempts.Rejected
	case Answered:
		return attempts.Failed
	}
	return attempts.Lost
}

// allowRetry takes an additional attempt from the budgets of the call and of
// its service.
func (f *forwarder) allowRetry(cause attempts.Cause) bool {
	c := f.call
	if f.sent >= c.MaxAttempts || (cause == attempts.Failed && !f.isFailureOutlier()) {
		return false
	}
	if !f.entry.chargeAttempt(c.Service, cause) {
		f.entry.Log.Info().Str("event", "repeat_refused").Str("id", c.ID).Str("service", c.Service).Int("sent", f.sent).
			Uint8("cause", uint8(cause)).Send()
		return false
	}
	return true
}

// isFailureOutlier reports whether the last backend server fails more than the others
// of its service.
func (f *forwarder) isFailureOutlier() bool {
	now := time.Now()
	own, others := 0.0, []float64{}
	for _, endpoint := range f.entry.Board.Fleet.Load().ByService[f.call.Service] {
		if endpoint.Record.Instance == f.lastExecutor {
			own = endpoint.FailureShare(now)
		} else {
			others = append(others, endpoint.FailureShare(now))
		}
	}
	return attempts.Repeatable(own, others)
}

// finalResult returns what the caller is told when no offer was final: a failure
// of a backend server, else that the call may have run, else the refusal.
func (f *forwarder) finalResult(ctx context.Context, lastResult *Result) *Result {
	switch {
	case f.lastFailure != nil:
		return f.lastFailure
	case f.lastUnknown != nil:
		return f.lastUnknown
	case ctx.Err() != nil && lastResult.Outcome == NotSent:
		return &Result{Outcome: NotSent, Reason: board.ReasonDeadlineNotRun, QueueWait: lastResult.QueueWait, ServiceTime: lastResult.ServiceTime}
	}
	return lastResult
}

// offerResult is the outcome of one offer.
type offerResult struct {
	result   *Result
	endpoint *board.MeshCell
}

// offer asks an executor to run the call. The outcome arrives on the channel;
// slow is told when the executor expects to miss the objective.
func (f *forwarder) offer(ctx context.Context, endpoint *board.MeshCell, maxResponseTime time.Duration, notifySlow func(), results chan<- offerResult) {
	f.offers++
	f.lastExecutor = endpoint.Record.Instance
	endpoint.Started()
	go func() {
		var result *Result
		if endpoint.Record.Instance == f.entry.Board.Self.Instance {
			result = f.entry.LocalExecutor.Execute(ctx, f.cloneCall(), endpoint.Record.ServerID, maxResponseTime, localSender{notifySlow})
		} else {
			result = f.sendToPeer(ctx, endpoint, maxResponseTime, notifySlow)
		}
		result.Body = onClose(result.Body, endpoint.Finished)
		f.recordFeedback(endpoint, result)
		results <- offerResult{result, endpoint}
	}()
}

// offerWithHedge offers the call to an executor and, when the call may be repeated and
// its answer is late, to a second one as well. It returns the first answer.
func (f *forwarder) offerWithHedge(ctx context.Context, endpoint *board.MeshCell, maxResponseTime time.Duration) (*Result, *board.MeshCell) {
	results := make(chan offerResult, maxOffers)
	slow := make(chan struct{}, 1)
	first, cancelFirst := context.WithCancel(ctx)
	f.offer(first, endpoint, maxResponseTime, func() { notify(slow) }, results)
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
	f.sent++
	h := &hedgedCall{forwarder: f, ctx: ctx, results: results, cancels: map[*board.MeshCell]context.CancelFunc{endpoint: cancelFirst}, pending: 1}
	h.addOffer(second)
	return h.awaitSuccess()
}

func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func cancelOnClose(offered offerResult, cancel context.CancelFunc) (*Result, *board.MeshCell) {
	offered.result.Body = onClose(offered.result.Body, cancel)
	return offered.result, offered.endpoint
}

// hedgeEndpoint returns the executor for a second send, or nil when there is none
// or the budgets do not allow it.
func (f *forwarder) hedgeEndpoint(first *board.MeshCell, cause attempts.Cause) *board.MeshCell {
	if f.sent+1 >= f.call.MaxAttempts {
		return nil
	}
	f.excluded = append(f.excluded, first.Record.Instance)
	endpoint, _ := f.pickEndpoint()
	f.excluded = f.excluded[:len(f.excluded)-1]
	if endpoint == nil || !f.entry.chargeAttempt(f.call.Service, cause) {
		return nil
	}
	f.entry.Log.Info().Str("event", "hedged").Str("id", f.call.ID).Uint8("cause", uint8(cause)).
		Str("first", string(first.Record.Instance)).Str("second", string(endpoint.Record.Instance)).
		Dur("elapsed", time.Since(f.call.Received)).Dur("usual", f.nominalTime()).Send()
	return endpoint
}

// cloneCall returns the call with headers of its own, which the executor
// changes.
func (f *forwarder) cloneCall() *Call {
	c := *f.call
	c.Header = f.call.Header.Clone()
	return &c
}

// recordFeedback notes what an answer says about the executor.
func (f *forwarder) recordFeedback(endpoint *board.MeshCell, result *Result) {
	now := time.Now()
	if result.Load != nil {
		result.Load.ReceivedAt = now
		endpoint.Report(*result.Load)
		endpoint.Reach.Heard(now)
	}
	if result.ServiceTime > 0 && endpoint.Record.Instance != f.entry.Board.Self.Instance {
		f.entry.Board.Works.Of(f.call.Rule).AddTime(result.ServiceTime)
	}
	if result.Outcome == Answered && result.Length > 0 {
		f.entry.Board.Works.Of(f.call.Rule).AddBytes(result.Length)
	}
	switch {
	case result.Outcome == Answered:
		endpoint.ObserveOutcome(result.Status >= http.StatusInternalServerError, now)
	case result.Outcome == Rejected, result.Outcome == Unknown && result.Reason != board.ReasonCanceled && result.Reason != board.ReasonDeadlineExceeded, result.Reason == board.ReasonNoBackend:
		endpoint.ObserveOutcome(true, now)
	}
}
