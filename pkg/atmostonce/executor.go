package atmostonce

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

// MaxStoredResponseBytes bounds a recorded response in bytes, headers included. Of
// a larger one only the status and the digest are recorded.
const MaxStoredResponseBytes = 64 << 10

// epochAdoptionTimeout bounds the wait of an executor for an epoch that an entry has
// already seen. A rumor or a pull takes a few round trips.
const epochAdoptionTimeout = 250 * time.Millisecond

// Execution is the permission to send one call to the backend server.
type Execution struct {
	controller *KeyController
	keyID      board.KeyID
	record     *board.KeyRecord
}

// Refusal says why an executor does not run a call. Outcome is not-run, or
// unknown when the key has already run here.
type Refusal struct {
	Outcome board.Outcome
	Reason  board.Reason
}

func notRunRefusal(reason board.Reason) *Refusal {
	return &Refusal{Outcome: board.OutcomeNotRun, Reason: reason}
}

func callKeyID(call *wire.Call) board.KeyID {
	return board.KeyID{Service: call.Service, Caller: call.Caller, Key: call.Key}
}

// BeginExecution checks a non-idempotent call and records that it runs. It must return
// a run before the backend server is touched.
func (k *KeyController) BeginExecution(ctx context.Context, call *wire.Call) (*Execution, *Refusal) {
	if call.Key == "" || call.Digest == "" || call.Grant == 0 {
		return nil, notRunRefusal(board.ReasonMalformedRequest)
	}
	if call.ExecutorIncarnation != k.Incarnation {
		return nil, notRunRefusal(board.ReasonWrongIncarnation)
	}
	// Seals of expired keys are dropped, so only the age keeps a late call out.
	if keyhome.CheckKey(call.Key, time.Now(), k.limits()) != keyhome.KeyValid {
		return nil, notRunRefusal(board.ReasonKeyExpired)
	}
	if refusal := k.checkEpoch(ctx, call); refusal != nil {
		return nil, refusal
	}
	record, refusal := k.recordRunning(call)
	if refusal != nil {
		return nil, refusal
	}
	execution := &Execution{controller: k, keyID: callKeyID(call), record: record}
	// The same order as in recheck: a transfer that misses the record has
	// published the new epoch before this load.
	if k.EpochNumber(call.Service) != call.Epoch {
		execution.RecordNotRun()
		return nil, notRunRefusal(board.ReasonStaleEpoch)
	}
	return execution, nil
}

// checkEpoch refuses a call of another epoch than this node's. It waits a
// short time for a higher one and for the confirmation of its own.
func (k *KeyController) checkEpoch(ctx context.Context, call *wire.Call) *Refusal {
	deadline := time.Now().Add(epochAdoptionTimeout)
	for {
		view := k.view(call.Service)
		if view != nil && view.Epoch.Number > call.Epoch {
			return notRunRefusal(board.ReasonStaleEpoch)
		}
		if view != nil && view.Epoch.Number == call.Epoch && recentlyConfirmed(view) {
			if !view.Epoch.HasMember(k.Self, k.Incarnation) {
				return notRunRefusal(board.ReasonStaleEpoch)
			}
			return nil
		}
		k.ForwardEpochNotice(wire.EpochNotice{Service: call.Service, Number: call.Epoch})
		remaining := time.Until(deadline)
		if remaining <= 0 || ctx.Err() != nil {
			return notRunRefusal(board.ReasonStaleEpoch)
		}
		awaitEpochChange(ctx, view, remaining)
	}
}

// recentlyConfirmed reports whether the epoch was recentlyConfirmed recently. A node that a
// partition or a pause has cut off stops running calls when it was not.
func recentlyConfirmed(view *board.EpochView) bool {
	return time.Since(view.ConfirmedAt) <= keyhome.ConfirmationTTL
}

func (k *KeyController) recordRunning(call *wire.Call) (*board.KeyRecord, *Refusal) {
	id := callKeyID(call)
	next := &board.KeyRecord{
		State: board.KeyRunning, RequestDigest: call.Digest, Executor: k.Self, ExecutorIncarnation: k.Incarnation,
		Grant: call.Grant, RequestID: call.RequestID, ChangedAt: time.Now(),
		ExpiresAt: keyhome.RecordExpiry(call.Key, k.limits()),
	}
	for {
		current := k.Board.Keys.ExecutorRecords.Insert(id, next, k.memoryLimit())
		switch {
		case current == nil:
			return nil, notRunRefusal(board.ReasonKeyMemoryFull)
		case current == next:
			return next, nil
		case current.State != board.KeySealed:
			return nil, &Refusal{Outcome: board.OutcomeUnknown, Reason: board.ReasonKeyInProgress}
		case current.Grant >= call.Grant:
			return nil, notRunRefusal(board.ReasonGrantSealed)
		}
		if k.Board.Keys.ExecutorRecords.CompareAndSwap(id, current, next, k.memoryLimit()) {
			return next, nil
		}
		if k.Board.Keys.SizeBytes() >= k.memoryLimit() {
			return nil, notRunRefusal(board.ReasonKeyMemoryFull)
		}
	}
}

// RecordNotRun records the proof that the backend server did not start the call.
func (e *Execution) RecordNotRun() {
	next := *e.record
	next.State, next.ChangedAt = board.KeySealed, time.Now()
	e.controller.Board.Keys.ExecutorRecords.CompareAndSwap(e.keyID, e.record, &next, e.controller.memoryLimit())
}

// RecordOutcome records the outcome and passes it to the home of the key. The response
// is nil when there is none.
func (e *Execution) RecordOutcome(outcome board.Outcome, reason board.Reason, response *board.KeyResponse) {
	next := *e.record
	next.State, next.ChangedAt = board.KeyDone, time.Now()
	next.Outcome, next.Reason, next.Response = outcome, reason, response
	records := &e.controller.Board.Keys.ExecutorRecords
	if !records.CompareAndSwap(e.keyID, e.record, &next, e.controller.memoryLimit()) {
		// No room for the response: the outcome alone needs next to none, and it
		// must not be lost.
		next.Response = statusAndDigest(response)
		records.CompareAndSwap(e.keyID, e.record, &next, outcomeReserveBytes+e.controller.memoryLimit())
	}
	e.controller.unacknowledgedOutcomes.Add(1)
	e.controller.enqueueCompletion(e.keyID)
}

// outcomeReserveBytes is the room in bytes above key_memory for the outcomes of
// calls that were admitted before the memory was full.
const outcomeReserveBytes = 1 << 20

func statusAndDigest(response *board.KeyResponse) *board.KeyResponse {
	if response == nil {
		return nil
	}
	return &board.KeyResponse{Status: response.Status, BodyDigest: response.BodyDigest}
}

// sealMemoryDivisor is the share of key_memory, as a divisor, up to which seals of
// rejected calls are kept. An overload must not fill the memory with them: an
// entry never sends a rejected call again, so that they only refuse copies.
const sealMemoryDivisor = 2

// SealRefusedCall records that a call was refused before Begin, so that a copy of it
// that arrives late is refused as well.
func (k *KeyController) SealRefusedCall(call *wire.Call) {
	if k.Board.Keys.SizeBytes() > k.memoryLimit()/sealMemoryDivisor {
		return
	}
	if call.Key == "" || call.Grant == 0 || call.ExecutorIncarnation != k.Incarnation {
		return
	}
	k.sealGrant(&wire.Seal{
		ID: callKeyID(call), Digest: call.Digest, Grant: call.Grant, Expires: keyhome.RecordExpiry(call.Key, k.limits()),
	})
}

// HandleSeal answers a home that asks for the record of a grant.
func (k *KeyController) HandleSeal(s *wire.Seal) *wire.SealAnswer {
	if s.ExecutorIncarnation != k.Incarnation {
		return &wire.SealAnswer{WrongIncarnation: true}
	}
	if s.ReadOnly {
		return &wire.SealAnswer{Record: k.Board.Keys.ExecutorRecords.Get(s.ID)}
	}
	return &wire.SealAnswer{Record: k.sealGrant(s)}
}

// sealGrant stores a sealGrant unless the key has run, and returns the record that is in
// force, nil when there is no room for one.
func (k *KeyController) sealGrant(s *wire.Seal) *board.KeyRecord {
	sealed := &board.KeyRecord{
		State: board.KeySealed, RequestDigest: s.Digest, Executor: k.Self, ExecutorIncarnation: k.Incarnation,
		Grant: s.Grant, ExpiresAt: s.Expires, ChangedAt: time.Now(),
	}
	for range maxSwapAttempts {
		current := k.Board.Keys.ExecutorRecords.Insert(s.ID, sealed, k.memoryLimit())
		if current == nil || current.State != board.KeySealed || current.Grant >= s.Grant {
			return current
		}
		if k.Board.Keys.ExecutorRecords.CompareAndSwap(s.ID, current, sealed, k.memoryLimit()) {
			return sealed
		}
	}
	return nil
}
