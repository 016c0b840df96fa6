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

// passage is the way of one call: the executors it was offered to and what
// came of it. It belongs to one goroutine.
type passage struct {
	entry *Entry
	call  *Call

	// excluded are executors that will not be asked again.
	excluded []board.InstanceID
	offers   int
	// sent counts the sends that may have reached a backend server.
	sent     int
	last     board.InstanceID
	expected time.Duration
	loadAge  time.Duration
	// failed is the newest answer of a backend server that failed the call.
	failed *Answer
	// doubtful is the newest send whose outcome is unknown.
	doubtful *Answer
	// unreachable is set after an offer to a node that was suspected already.
	unreachable bool
}

// carry offers the call to executors until one answers or nothing is left to
// try.
func (p *passage) carry(ctx context.Context) *Answer {
	last := notSent(board.ReasonNoServer)
	paid := true
	cause := attempts.Lost
	for p.offers < maxOffers && ctx.Err() == nil {
		cell, patience := p.choose()
		if cell == nil {
			break
		}
		if p.sent > 0 && !paid {
			if !p.mayRepeat(cause) {
				break
			}
			paid = true
		}
		answer, cell := p.attempt(ctx, cell, patience)
		if answer.Outcome != NotSent {
			p.sent++
			paid, cause = false, causeOf(answer)
		}
		if p.settles(answer, cell) {
			p.failed.close()
			return answer
		}
		last = answer
	}
	return p.conclude(ctx, last)
}

// settles notes the outcome of an offer and reports whether it is final.
func (p *passage) settles(a *Answer, cell *board.MeshEndpoint) bool {
	if a.Reason != board.ReasonSlowerThanAlternative {
		p.excluded = append(p.excluded, cell.Record.Instance)
	}
	switch a.Outcome {
	case NotSent:
		return a.Reason == board.ReasonQuarantined && p.doubtful == nil
	case Answered:
		if a.Status < http.StatusInternalServerError || !p.call.Idempotent {
			return true
		}
		p.failed.close()
		p.failed = a
	case Unknown:
		p.doubtful = a
		return !p.call.Idempotent
	}
	return false
}

// causeOf returns why a call would be sent again after an answer.
func causeOf(a *Answer) attempts.Cause {
	switch a.Outcome {
	case Rejected:
		return attempts.Rejected
	case Answered:
		return attempts.Failed
	}
	return attempts.Lost
}

// mayRepeat takes an additional attempt from the budgets of the call and of
// its service.
func (p *passage) mayRepeat(cause attempts.Cause) bool {
	c := p.call
	if p.sent >= c.MaxAttempts || (cause == attempts.Failed && !p.standsOut()) {
		return false
	}
	if !p.entry.takeAttempt(c.Service, cause) {
		p.entry.Log.Info().Str("event", "repeat_refused").Str("id", c.ID).Str("service", c.Service).Int("sent", p.sent).
			Uint8("cause", uint8(cause)).Send()
		return false
	}
	return true
}

// standsOut reports whether the last backend server fails more than the others
// of its service.
func (p *passage) standsOut() bool {
	now := time.Now()
	own, others := 0.0, []float64{}
	for _, cell := range p.entry.Board.Fleet.Load().ByService[p.call.Service] {
		if cell.Record.Instance == p.last {
			own = cell.FailureRatio(now)
		} else {
			others = append(others, cell.FailureRatio(now))
		}
	}
	return attempts.IsOutlier(own, others)
}

// conclude returns what the caller is told when no offer was final: a failure
// of a backend server, else that the call may have run, else the refusal.
func (p *passage) conclude(ctx context.Context, last *Answer) *Answer {
	switch {
	case p.failed != nil:
		return p.failed
	case p.doubtful != nil:
		return p.doubtful
	case ctx.Err() != nil && last.Outcome == NotSent:
		return &Answer{Outcome: NotSent, Reason: board.ReasonDeadlineBeforeStart, Wait: last.Wait, Work: last.Work}
	}
	return last
}

// offered is the outcome of one offer.
type offered struct {
	answer *Answer
	cell   *board.MeshEndpoint
}

// offer asks an executor to run the call. The outcome arrives on the channel;
// slow is told when the executor expects to miss the objective.
func (p *passage) offer(ctx context.Context, cell *board.MeshEndpoint, patience time.Duration, slow func(), out chan<- offered) {
	p.offers++
	p.last = cell.Record.Instance
	cell.CallStarted()
	go func() {
		var answer *Answer
		if cell.Record.Instance == p.entry.Board.Self.Instance {
			answer = p.entry.LocalExecutor.Serve(ctx, p.copyOfCall(), cell.Record.ServerID, patience, localTake{slow})
		} else {
			answer = p.send(ctx, cell, patience, slow)
		}
		answer.Body = onClose(answer.Body, cell.CallEnded)
		p.learn(cell, answer)
		out <- offered{answer, cell}
	}()
}

// attempt offers the call to an executor and, when the call may be repeated and
// its answer is late, to a second one as well. It returns the first answer.
func (p *passage) attempt(ctx context.Context, cell *board.MeshEndpoint, patience time.Duration) (*Answer, *board.MeshEndpoint) {
	out := make(chan offered, maxOffers)
	slow := make(chan struct{}, 1)
	first, cancelFirst := context.WithCancel(ctx)
	p.offer(first, cell, patience, func() { notify(slow) }, out)
	if !p.call.Idempotent {
		o := <-out
		return withCancel(o, cancelFirst)
	}
	timer := time.NewTimer(hedge.Delay(p.expected, p.usual(), time.Until(p.call.Objective)))
	defer timer.Stop()
	cause := attempts.Lost
	select {
	case o := <-out:
		return withCancel(o, cancelFirst)
	case <-slow:
		cause = attempts.Slow
	case <-timer.C:
	}
	second := p.hedgeTarget(cell, cause)
	if second == nil {
		o := <-out
		return withCancel(o, cancelFirst)
	}
	p.sent++
	r := &race{passage: p, ctx: ctx, out: out, cancels: map[*board.MeshEndpoint]context.CancelFunc{cell: cancelFirst}, pending: 1}
	r.enter(second)
	return r.run()
}

func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func withCancel(o offered, cancel context.CancelFunc) (*Answer, *board.MeshEndpoint) {
	o.answer.Body = onClose(o.answer.Body, cancel)
	return o.answer, o.cell
}

// hedgeTarget returns the executor for a second send, or nil when there is none
// or the budgets do not allow it.
func (p *passage) hedgeTarget(first *board.MeshEndpoint, cause attempts.Cause) *board.MeshEndpoint {
	if p.sent+1 >= p.call.MaxAttempts {
		return nil
	}
	p.excluded = append(p.excluded, first.Record.Instance)
	cell, _ := p.choose()
	p.excluded = p.excluded[:len(p.excluded)-1]
	if cell == nil || !p.entry.takeAttempt(p.call.Service, cause) {
		return nil
	}
	p.entry.Log.Info().Str("event", "hedged").Str("id", p.call.ID).Uint8("cause", uint8(cause)).
		Str("first", string(first.Record.Instance)).Str("second", string(cell.Record.Instance)).
		Dur("elapsed", time.Since(p.call.Received)).Dur("usual", p.usual()).Send()
	return cell
}

// copyOfCall returns the call with headers of its own, which the executor
// changes.
func (p *passage) copyOfCall() *Call {
	c := *p.call
	c.Header = p.call.Header.Clone()
	return &c
}

// learn notes what an answer says about the executor.
func (p *passage) learn(cell *board.MeshEndpoint, a *Answer) {
	now := time.Now()
	if a.Load != nil {
		a.Load.ReceivedAt = now
		cell.UpdateLoadReport(*a.Load)
		cell.Reachability.RecordResponse(now)
	}
	if a.Work > 0 && cell.Record.Instance != p.entry.Board.Self.Instance {
		p.entry.Board.CallStats.ForRule(p.call.Rule).AddServiceTime(a.Work)
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
