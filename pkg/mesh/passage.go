package mesh

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/attempts"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/hedge"
	"mangostand.example/mangostand/pkg/decide/pick/earliest"
	"mangostand.example/mangostand/pkg/h1"
)

const (
	// maxOffers bounds the executors that are asked for one call. An executor
	// that refuses tells its load, so the third choice is made on fresh figures.
	maxOffers = 5
	// offersWithPatience is the number of first offers that an executor refuses
	// when it expects to be slower than the next best one.
	offersWithPatience = 3
	// patienceMargin is the gain below which another offer is not worth its way.
	patienceMargin = 15 * time.Millisecond
	// acceptTimeout bounds the wait for an executor to take a call: many times
	// the way between failure domains, and the pause of a host that has used up
	// its share of a tenth of a second.
	acceptTimeout = 130 * time.Millisecond
	// sameDomainWay and otherDomainWay are the times of one way between nodes.
	sameDomainWay  = 200 * time.Microsecond
	otherDomainWay = 1100 * time.Microsecond
	// byteCost is the time that an answer's byte across failure domains counts
	// as. At the price of that traffic a bundle of 90 kB costs over half of what
	// its answer is worth; half of that is left to the objective.
	byteCost = 2500 * time.Nanosecond
	// placeTolerance is the difference in expected time below which executors
	// are equal: figures are never exact to this.
	placeTolerance = 2 * time.Millisecond
	// peerMaxIdle is the longest idle time of a reused connection to a node.
	peerMaxIdle = 20 * time.Second
)

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
func (p *passage) settles(a *Answer, cell *board.MeshCell) bool {
	if a.Reason != board.ReasonSlower {
		p.excluded = append(p.excluded, cell.Record.Instance)
	}
	switch a.Outcome {
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
			own = cell.FailureShare(now)
		} else {
			others = append(others, cell.FailureShare(now))
		}
	}
	return attempts.Repeatable(own, others)
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
		return &Answer{Outcome: NotSent, Reason: board.ReasonDeadlineNotRun, Wait: last.Wait, Work: last.Work}
	}
	return last
}

// choose returns the executor to ask and how long the call may be expected to
// take there before it asks another one.
func (p *passage) choose() (*board.MeshCell, time.Duration) {
	cells := p.cells()
	if len(cells) == 0 {
		return nil, 0
	}
	now := time.Now()
	usual := p.usual()
	candidates := make([]earliest.Candidate, len(cells))
	for i, cell := range cells {
		candidates[i] = p.candidate(cell, now)
	}
	choice, _ := earliest.Choose(candidates, usual, placeTolerance, rand.Uint64())
	cell := cells[choice.Index]
	p.expected, p.loadAge = choice.Expected, candidates[choice.Index].LoadAge
	if p.offers >= offersWithPatience || choice.Next == 0 {
		return cell, 0
	}
	next := choice.Next - candidates[choice.Index].Cost
	return cell, max(next, estimate.Work(usual, estimate.UsualSlowdown)) + patienceMargin
}

// cells returns the executors that may be asked.
func (p *passage) cells() []*board.MeshCell {
	var sound, suspected []*board.MeshCell
	for _, cell := range p.entry.Board.Fleet.Load().ByService[p.call.Service] {
		switch {
		case p.isExcluded(cell.Record.Instance):
		case cell.Reach.Suspected():
			suspected = append(suspected, cell)
		default:
			sound = append(sound, cell)
		}
	}
	if len(sound) == 0 && !p.unreachable {
		// One of them may be back; more than one question would only delay the
		// refusal.
		p.unreachable = true
		return suspected
	}
	return sound
}

func (p *passage) isExcluded(id board.InstanceID) bool {
	for _, other := range p.excluded {
		if other == id {
			return true
		}
	}
	return false
}

// usual returns the usual time of the call.
func (p *passage) usual() time.Duration {
	if d := p.entry.Board.Works.Of(p.call.Rule).Time(); d > 0 {
		return d
	}
	return p.call.Objective.Sub(p.call.Received) / defaultWork
}

func (p *passage) candidate(cell *board.MeshCell, now time.Time) earliest.Candidate {
	self := p.entry.Board.Self
	c := earliest.Candidate{
		Load:     estimate.Load{Running: int(cell.EstimatedInFlight()), Slots: cell.Record.Slots, Mean: p.usual()},
		Failing:  cell.FailureShare(now),
		Distance: sameDomainWay,
	}
	if cell.Record.Instance == self.Instance {
		c.Distance = 0
	} else if cell.Record.FailureDomain != self.FailureDomain {
		c.Distance = otherDomainWay
		c.Cost = time.Duration(p.entry.Board.Works.Of(p.call.Rule).Bytes()) * byteCost
	}
	c.LoadAge = -1
	report := cell.LastReport()
	if report == nil {
		return c
	}
	c.LoadAge = now.Sub(report.ReceivedAt)
	c.Load.Slots = int(report.Limit)
	c.Load.Slowdown = float64(report.SlowdownPercent) / 100
	if report.LatencyMicros > 0 {
		c.Load.Mean = time.Duration(report.LatencyMicros) * time.Microsecond
	}
	return c
}

// offered is the outcome of one offer.
type offered struct {
	answer *Answer
	cell   *board.MeshCell
}

// offer asks an executor to run the call. The outcome arrives on the channel;
// slow is told when the executor expects to miss the objective.
func (p *passage) offer(ctx context.Context, cell *board.MeshCell, patience time.Duration, slow func(), out chan<- offered) {
	p.offers++
	p.last = cell.Record.Instance
	cell.Started()
	go func() {
		var answer *Answer
		if cell.Record.Instance == p.entry.Board.Self.Instance {
			answer = p.entry.Local.Serve(ctx, p.copyOfCall(), cell.Record.ServerID, patience, localTake{slow})
		} else {
			answer = p.send(ctx, cell, patience, slow)
		}
		answer.Body = onClose(answer.Body, cell.Finished)
		p.learn(cell, answer)
		out <- offered{answer, cell}
	}()
}

// attempt offers the call to an executor and, when the call may be repeated and
// its answer is late, to a second one as well. It returns the first answer.
func (p *passage) attempt(ctx context.Context, cell *board.MeshCell, patience time.Duration) (*Answer, *board.MeshCell) {
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
	r := &race{passage: p, ctx: ctx, out: out, cancels: map[*board.MeshCell]context.CancelFunc{cell: cancelFirst}, pending: 1}
	r.enter(second)
	return r.run()
}

func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func withCancel(o offered, cancel context.CancelFunc) (*Answer, *board.MeshCell) {
	o.answer.Body = onClose(o.answer.Body, cancel)
	return o.answer, o.cell
}

// hedgeTarget returns the executor for a second send, or nil when there is none
// or the budgets do not allow it.
func (p *passage) hedgeTarget(first *board.MeshCell, cause attempts.Cause) *board.MeshCell {
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
func (p *passage) learn(cell *board.MeshCell, a *Answer) {
	now := time.Now()
	if a.Load != nil {
		a.Load.ReceivedAt = now
		cell.Report(*a.Load)
		cell.Reach.Heard(now)
	}
	if a.Work > 0 && cell.Record.Instance != p.entry.Board.Self.Instance {
		p.entry.Board.Works.Of(p.call.Rule).AddTime(a.Work)
	}
	if a.Outcome == Answered && a.Length > 0 {
		p.entry.Board.Works.Of(p.call.Rule).AddBytes(a.Length)
	}
	switch {
	case a.Outcome == Answered:
		cell.ObserveOutcome(a.Status >= http.StatusInternalServerError, now)
	case a.Outcome == Rejected, a.Outcome == Unknown && a.Reason != board.ReasonCanceled && a.Reason != board.ReasonDeadlineExceeded, a.Reason == board.ReasonNoBackend:
		cell.ObserveOutcome(true, now)
	}
}

// send makes one exchange with the executor on another node.
func (p *passage) send(ctx context.Context, cell *board.MeshCell, patience time.Duration, slow func()) *Answer {
	c := p.call
	ctx, cancel := context.WithCancel(ctx)
	header := c.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	now := time.Now()
	h := hopOf(c, cell.Record.ServerID, patience, now)
	h.Config, h.From = p.entry.Board.ConfigWord(now), p.entry.Board.Self.PeerAddr
	header.Set(headerHop, encodeHop(h))
	var silent atomic.Bool
	accept := time.AfterFunc(acceptTimeout, func() {
		silent.Store(true)
		cancel()
	})
	got, err := p.entry.Peers.Do(ctx, cell.Record.PeerAddr, &h1.Call{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Body,
		Hold: true, MaxIdle: peerMaxIdle, Interim: func(status int) {
			accept.Stop()
			if status == statusSlow {
				slow()
			}
		},
	})
	accept.Stop()
	if err != nil {
		canceled := ctx.Err() != nil && !silent.Load()
		cancel()
		return p.sendFailed(cell, err, silent.Load(), canceled)
	}
	answer := p.answerOf(got, cell)
	answer.Body = onClose(answer.Body, cancel)
	return answer
}

// sendFailed classifies an exchange without an answer. A call that was canceled
// says nothing about the executor.
func (p *passage) sendFailed(cell *board.MeshCell, err error, silent, canceled bool) *Answer {
	var failed *h1.Error
	reason := board.ReasonExecutorLost
	switch {
	case canceled && time.Now().Before(p.call.Deadline):
		reason = board.ReasonCanceled
	case canceled:
		reason = board.ReasonDeadlineExceeded
	case silent:
		reason = board.ReasonSilent
	}
	if !canceled {
		cell.Reach.Failed()
		p.entry.Peers.Forget(cell.Record.PeerAddr)
		p.entry.Log.Info().Str("event", "executor_lost").Str("id", p.call.ID).Str("executor", string(cell.Record.Instance)).
			Str("reason", string(reason)).Err(err).Send()
	}
	if errors.As(err, &failed) && !failed.Sent {
		return notSent(reason)
	}
	return unknown(reason)
}

// answerOf reads the answer of an executor.
func (p *passage) answerOf(got *h1.Answer, cell *board.MeshCell) *Answer {
	told, err := takeHopAnswer(got.Header)
	if err != nil {
		_ = got.Body.Close()
		return unknown(board.ReasonMalformedAnswer)
	}
	p.entry.Board.HeardConfig(told.Config, cell.Record.PeerAddr, time.Now())
	load := told.Load
	a := &Answer{
		Outcome: told.Outcome, Reason: told.Reason, Load: &load,
		Work: time.Duration(told.WorkMicros) * time.Microsecond, Wait: time.Duration(told.WaitMicros) * time.Microsecond,
	}
	if a.Outcome != Answered {
		_ = got.Body.Close()
		return a
	}
	a.Status, a.Header, a.Body, a.Length = got.Status, got.Header, got.Body, got.Length
	if a.Length < 0 || a.Length > shortAnswer {
		return a
	}
	return readShort(a)
}

// shortAnswer is the size in bytes up to which the entry reads an answer whole
// before it passes it on. A longer one that breaks off ends the caller's
// connection, with all answers that are due on it.
const shortAnswer = 64 << 10

func readShort(a *Answer) *Answer {
	var buf bytes.Buffer
	_, err := buf.ReadFrom(a.Body)
	_ = a.Body.Close()
	if err != nil {
		return &Answer{Outcome: Unknown, Reason: board.ReasonResponseCut, Load: a.Load}
	}
	a.Body, a.Length, a.whole = io.NopCloser(&buf), int64(buf.Len()), true
	return a
}
