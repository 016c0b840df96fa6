package atmostonce_test

import (
	"context"
	"sync"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/wire"
)

// callStep is a step of a non-idempotent call at which a fault can strike.
type callStep string

// Steps in the order of a call that meets no fault.
const (
	// stepReceived: the entry has the request and has not claimed its key.
	stepReceived callStep = "received"
	// stepClaimed: the home has stored the grant and has not answered.
	stepClaimed callStep = "claimed"
	// stepSent: the entry has the grant and is about to send the call.
	stepSent callStep = "sent"
	// stepQueued: the executor has the call and has no record of it.
	stepQueued callStep = "queued"
	// stepRunning: the backend server works on the call.
	stepRunning callStep = "running"
	// stepResponding: the executor has recorded the outcome and not answered.
	stepResponding callStep = "responding"
	// stepCompleting: the outcome is on its way to the home.
	stepCompleting callStep = "completing"
)

var callSteps = []callStep{
	stepReceived, stepClaimed, stepSent, stepQueued, stepRunning, stepResponding, stepCompleting,
}

// rowFaults are the faults that strike one call. The mutex of the fabric guards
// the fields.
type rowFaults struct {
	// key selects the call; strikes maps a step to its fault, which strikes once.
	key     string
	strikes map[callStep][]func()
	// frozen nodes neither send, handle nor run until their channel is closed.
	frozen map[board.InstanceID]chan struct{}
	// loseQuestions and loseAnswers count the next messages of the key protocol
	// that are lost, lateMessages those that are held for lateBy, and
	// duplicates those that are delivered twice.
	loseQuestions, loseAnswers, lateMessages, duplicates int
	// handling counts the messages at their receivers.
	handling sync.WaitGroup
}

// lateBy holds a late message until its sender has given up or repeated it.
const lateBy = 1500 * time.Millisecond

// reach lets the faults of a step strike.
func (f *fabric) reach(key string, step callStep) {
	f.mu.Lock()
	var strikes []func()
	if key == f.faults.key {
		strikes = f.faults.strikes[step]
		delete(f.faults.strikes, step)
	}
	f.mu.Unlock()
	for _, strike := range strikes {
		strike()
	}
}

func (f *fabric) freeze(name board.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.frozen == nil {
		f.faults.frozen = map[board.InstanceID]chan struct{}{}
	}
	if f.faults.frozen[name] == nil {
		f.faults.frozen[name] = make(chan struct{})
	}
}

func (f *fabric) thaw(name board.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if thawed := f.faults.frozen[name]; thawed != nil {
		delete(f.faults.frozen, name)
		close(thawed)
	}
}

func (f *fabric) thawAll() {
	for name := range f.nodes {
		f.thaw(name)
	}
}

// hold returns when the node is not frozen.
func (f *fabric) hold(n *node) {
	f.mu.Lock()
	thawed := f.faults.frozen[n.self.Instance]
	f.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// inProtocol tells the messages of a call from those of an epoch change.
func inProtocol(t wire.MessageType) bool {
	return t == wire.TypeClaim || t == wire.TypeCall || t == wire.TypeSeal || t == wire.TypeComplete
}

// uses takes one of a counter of faults.
func (f *fabric) uses(counter *int, t wire.MessageType) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *counter == 0 || !inProtocol(t) {
		return false
	}
	*counter--
	return true
}

func (f *fabric) losesQuestion(t wire.MessageType) bool { return f.uses(&f.faults.loseQuestions, t) }
func (f *fabric) losesAnswer(t wire.MessageType) bool   { return f.uses(&f.faults.loseAnswers, t) }

// delayFaults holds a late message and reports whether it comes twice.
func (f *fabric) delayFaults(t wire.MessageType) (twice bool) {
	if f.uses(&f.faults.lateMessages, t) {
		time.Sleep(lateBy)
	}
	return f.uses(&f.faults.duplicates, t)
}

// receiverTime is the time that a receiver works on a message at most. It
// counts from the arrival, so that a late message is not taken for expired.
const receiverTime = 2 * time.Second

func atReceiver(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), receiverTime)
}

// deliver handles a message at its receiver, also when its sender has given up
// meanwhile. It returns nil when ctx ends first.
func deliver[Q, A any](ctx context.Context, to *node, t wire.MessageType, question *Q, handle func(*node, *Q) *A) *A {
	answered := make(chan *A, 1)
	to.fabric.faults.handling.Go(func() {
		twice := to.fabric.delayFaults(t)
		to.fabric.hold(to)
		keyed, isComplete := any(question).(*wire.Complete)
		if isComplete {
			// The answer to the entry leaves at the same moment and arrives first,
			// so that a row has one result.
			time.Sleep(latency / 2)
			to.fabric.reach(keyed.ID.Key, stepCompleting)
			to.fabric.hold(to)
		}
		if to.fabric.isDead(to) {
			return
		}
		if twice {
			handle(to, question)
		}
		result := handle(to, question)
		if claim, ok := any(question).(*wire.Claim); ok {
			to.fabric.reach(claim.ID.Key, stepClaimed)
			to.fabric.hold(to)
		}
		answered <- result
	})
	select {
	case result := <-answered:
		return result
	case <-ctx.Done():
		return nil
	}
}

func (f *fabric) isDead(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.dead
}

// answerOfCall is what an executor answers.
type answerOfCall struct {
	outcome board.Outcome
	reason  board.Reason
}

// take runs a call at its executor, also when its entry has given up meanwhile.
func (n *node) take(ctx context.Context, call *wire.Call) (board.Outcome, board.Reason) {
	answered := make(chan answerOfCall, 1)
	n.fabric.faults.handling.Go(func() {
		twice := n.fabric.delayFaults(wire.TypeCall)
		ctx, cancel := atReceiver(ctx)
		defer cancel()
		var copies sync.WaitGroup
		defer copies.Wait()
		if twice {
			copies.Go(func() { n.execute(ctx, call) })
		}
		outcome, reason := n.execute(ctx, call)
		answered <- answerOfCall{outcome, reason}
	})
	select {
	case a := <-answered:
		return a.outcome, a.reason
	case <-ctx.Done():
		return board.OutcomeUnknown, board.ReasonDeadlineExceeded
	}
}
