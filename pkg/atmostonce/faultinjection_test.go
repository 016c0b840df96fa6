package atmostonce_test

import (
	"context"
	"sync"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/wire"
)

// callStep is a step of a non-idempotent call at which a fault can be injected.
type callStep string

// The steps, in the order of a call without faults.
const (
	// stepReceived: the entry has received the request and has not claimed its
	// key.
	stepReceived callStep = "received"
	// stepClaimed: the home has stored the grant and has not responded.
	stepClaimed callStep = "claimed"
	// stepSent: the entry has the grant and is about to send the call.
	stepSent callStep = "sent"
	// stepQueued: the executor has received the call and has no record of it.
	stepQueued callStep = "queued"
	// stepRunning: the backend server is processing the call.
	stepRunning callStep = "running"
	// stepResponding: the executor has recorded the outcome and has not
	// responded.
	stepResponding callStep = "responding"
	// stepCompleting: the outcome has been sent to the home.
	stepCompleting callStep = "completing"
)

var callSteps = []callStep{
	stepReceived, stepClaimed, stepSent, stepQueued, stepRunning, stepResponding, stepCompleting,
}

// injectedFaults are the faults injected into one call. The mutex of testMesh
// protects the fields.
type injectedFaults struct {
	// key selects the call. pending holds the faults of each step; they are
	// injected once.
	key     string
	pending map[callStep][]func()
	// frozen nodes neither send nor handle messages nor execute calls until their
	// channel is closed.
	frozen map[board.InstanceID]chan struct{}
	// lostRequests and lostResponses are the numbers of messages of the call
	// still to be lost, delayedMessages of those to be delayed by messageDelay,
	// and duplicatedMessages of those to be delivered twice.
	lostRequests, lostResponses, delayedMessages, duplicatedMessages int
	// handlers counts the messages that are being handled.
	handlers sync.WaitGroup
}

// messageDelay delays a message until its sender has timed out or sent it again.
const messageDelay = 1500 * time.Millisecond

// injectFaultsAt injects the pending faults of a step of a call.
func (mesh *testMesh) injectFaultsAt(key string, step callStep) {
	mesh.mu.Lock()
	var injections []func()
	if key == mesh.faults.key {
		injections = mesh.faults.pending[step]
		delete(mesh.faults.pending, step)
	}
	mesh.mu.Unlock()
	for _, inject := range injections {
		inject()
	}
}

func (mesh *testMesh) freeze(name board.InstanceID) {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	if mesh.faults.frozen == nil {
		mesh.faults.frozen = map[board.InstanceID]chan struct{}{}
	}
	if mesh.faults.frozen[name] == nil {
		mesh.faults.frozen[name] = make(chan struct{})
	}
}

func (mesh *testMesh) thaw(name board.InstanceID) {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	if unfrozen := mesh.faults.frozen[name]; unfrozen != nil {
		delete(mesh.faults.frozen, name)
		close(unfrozen)
	}
}

func (mesh *testMesh) thawAll() {
	for name := range mesh.nodes {
		mesh.thaw(name)
	}
}

// waitWhileFrozen returns when the node is not frozen.
func (mesh *testMesh) waitWhileFrozen(n *node) {
	mesh.mu.Lock()
	unfrozen := mesh.faults.frozen[n.member.Instance]
	mesh.mu.Unlock()
	if unfrozen != nil {
		<-unfrozen
	}
}

// isCallMessage reports whether a message belongs to a call and not to an epoch
// change.
func isCallMessage(t wire.MessageType) bool {
	return t == wire.TypeClaim || t == wire.TypeCall || t == wire.TypeSeal || t == wire.TypeComplete
}

// consumeFault decrements the counter of a message fault. It reports whether the
// fault applies to a message of the type.
func (mesh *testMesh) consumeFault(counter *int, t wire.MessageType) bool {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	if *counter == 0 || !isCallMessage(t) {
		return false
	}
	*counter--
	return true
}

func (mesh *testMesh) dropRequest(t wire.MessageType) bool {
	return mesh.consumeFault(&mesh.faults.lostRequests, t)
}
func (mesh *testMesh) dropResponse(t wire.MessageType) bool {
	return mesh.consumeFault(&mesh.faults.lostResponses, t)
}

// applyDeliveryFaults delays the message if that fault is pending, and reports
// whether the message is delivered twice.
func (mesh *testMesh) applyDeliveryFaults(t wire.MessageType) (duplicated bool) {
	if mesh.consumeFault(&mesh.faults.delayedMessages, t) {
		time.Sleep(messageDelay)
	}
	return mesh.consumeFault(&mesh.faults.duplicatedMessages, t)
}

// receiverTimeout limits how long a receiver handles a message. It starts on
// arrival, so that a delayed message is still handled.
const receiverTimeout = 2 * time.Second

func receiverContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), receiverTimeout)
}

// deliver handles a message at its receiver, even if its sender has given up. It
// returns nil if ctx ends first.
func deliver[Req, Resp any](ctx context.Context, to *node, t wire.MessageType, request *Req, handle func(*node, *Req) *Resp) *Resp {
	responses := make(chan *Resp, 1)
	to.mesh.faults.handlers.Go(func() {
		duplicated := to.mesh.applyDeliveryFaults(t)
		to.mesh.waitWhileFrozen(to)
		complete, isComplete := any(request).(*wire.Complete)
		if isComplete {
			// The response to the entry is sent at the same time. It must arrive
			// first, so that each scenario has a deterministic result.
			time.Sleep(messageLatency / 2)
			to.mesh.injectFaultsAt(complete.ID.Key, stepCompleting)
			to.mesh.waitWhileFrozen(to)
		}
		if to.mesh.isDead(to) {
			return
		}
		if duplicated {
			handle(to, request)
		}
		response := handle(to, request)
		if claim, ok := any(request).(*wire.Claim); ok {
			to.mesh.injectFaultsAt(claim.ID.Key, stepClaimed)
			to.mesh.waitWhileFrozen(to)
		}
		responses <- response
	})
	select {
	case response := <-responses:
		return response
	case <-ctx.Done():
		return nil
	}
}

func (mesh *testMesh) isDead(n *node) bool {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	return n.dead
}

// callResult is the response of an executor.
type callResult struct {
	outcome board.Outcome
	reason  board.Reason
}

// receiveCall executes a call at its executor, even if its entry has given up.
func (n *node) receiveCall(ctx context.Context, call *wire.Call) (board.Outcome, board.Reason) {
	responses := make(chan callResult, 1)
	n.mesh.faults.handlers.Go(func() {
		duplicated := n.mesh.applyDeliveryFaults(wire.TypeCall)
		ctx, cancel := receiverContext(ctx)
		defer cancel()
		var copies sync.WaitGroup
		defer copies.Wait()
		if duplicated {
			copies.Go(func() { n.executeCall(ctx, call) })
		}
		outcome, reason := n.executeCall(ctx, call)
		responses <- callResult{outcome, reason}
	})
	select {
	case result := <-responses:
		return result.outcome, result.reason
	case <-ctx.Done():
		return board.OutcomeUnknown, board.ReasonDeadlineExceeded
	}
}
