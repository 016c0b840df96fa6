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

// adoptionWait bounds the wait of an executor for an epoch that an entry has
// already seen. A rumor or a pull takes a few round trips.
const adoptionWait = 250 * time.Millisecond

// Execution is the permission to send one call to the backend server.
type Execution struct {
	keeper *KeyController
	id     board.KeyID
	record *board.KeyRecord
}

// Refusal says why an executor does not run a call. Outcome is not-run, or
// unknown when the key has already run here.
type Refusal struct {
	Outcome board.Outcome
	Reason  board.Reason
}

func notRun(reason board.Reason) *Refusal {
	return &Refusal{Outcome: board.OutcomeNotRun, Reason: reason}
}

func idOf(call *wire.Call) board.KeyID {
	return board.KeyID{Service: call.Service, Caller: call.Caller, Key: call.Key}
}

// BeginExecution checks a non-idempotent call and records that it runs. It must return
// a run before the backend server is touched.
func (k *KeyController) BeginExecution(ctx context.Context, call *wire.Call) (*Execution, *Refusal) {
	if call.Key == "" || call.RequestDigest == "" || call.Grant == 0 {
		return nil, notRun(board.ReasonMalformedRequest)
	}
	if call.ExecutorIncarnation != k.Incarnation {
		return nil, notRun(board.ReasonWrongIncarnation)
	}
	// Seals of expired keys are dropped, so only the age keeps a late call out.
	if keyhome.CheckKey(call.Key, time.Now(), k.limits()) != keyhome.KeyValid {
		return nil, notRun(board.ReasonKeyExpired)
	}
	if refusal := k.checkEpoch(ctx, call); refusal != nil {
		return nil, refusal
	}
	record, refusal := k.recordRunning(call)
	if refusal != nil {
		return nil, refusal
	}
	run := &Execution{keeper: k, id: idOf(call), record: record}
	// The same order as in recheck: a transfer that misses the record has
	// published the new epoch before this load.
	if k.EpochNumber(call.Service) != call.Epoch {
		run.RecordNotRun()
		return nil, notRun(board.ReasonStaleEpoch)
	}
	return run, nil
}

// checkEpoch refuses a call of another epoch than this node's. It waits a
// short time for a higher one and for the confirmation of its own.
func (k *KeyController) checkEpoch(ctx context.Context, call *wire.Call) *Refusal {
	deadline := time.Now().Add(adoptionWait)
	for {
		view := k.view(call.Service)
		if view != nil && view.Epoch.Number > call.Epoch {
			return notRun(board.ReasonStaleEpoch)
		}
		if view != nil && view.Epoch.Number == call.Epoch && confirmed(view) {
			if !view.Epoch.HasMember(k.Self, k.Incarnation) {
				return notRun(board.ReasonStaleEpoch)
			}
			return nil
		}
		k.ForwardEpochNotice(wire.EpochNotice{Service: call.Service, EpochNumber: call.Epoch})
		left := time.Until(deadline)
		if left <= 0 || ctx.Err() != nil {
			return notRun(board.ReasonStaleEpoch)
		}
		await(ctx, view, left)
	}
}

// confirmed reports whether the epoch was confirmed recently. A node that a
// partition or a pause has cut off stops running calls when it was not.
func confirmed(view *board.EpochView) bool {
	return time.Since(view.ConfirmedAt) <= keyhome.ConfirmationTTL
}

func (k *KeyController) recordRunning(call *wire.Call) (*board.KeyRecord, *Refusal) {
	id := idOf(call)
	next := &board.KeyRecord{
		State: board.KeyRunning, RequestDigest: call.RequestDigest, Executor: k.Self, ExecutorIncarnation: k.Incarnation,
		Grant: call.Grant, RequestID: call.RequestID, ChangedAt: time.Now(),
		ExpiresAt: keyhome.RecordExpiry(call.Key, k.limits()),
	}
	for {
		current := k.Board.Keys.ExecutorRecords.Insert(id, next, k.memory())
		switch {
		case current == nil:
			return nil, notRun(board.ReasonKeyMemoryFull)
		case current == next:
			return next, nil
		case current.State != board.KeySealed:
			return nil, &Refusal{Outcome: board.OutcomeUnknown, Reason: board.ReasonKeyInProgress}
		case current.Grant >= call.Grant:
			return nil, notRun(board.ReasonGrantSealed)
		}
		if k.Board.Keys.ExecutorRecords.CompareAndSwap(id, current, next, k.memory()) {
			return next, nil
		}
		if k.Board.Keys.SizeBytes() >= k.memory() {
			return nil, notRun(board.ReasonKeyMemoryFull)
		}
	}
}

// RecordNotRun records the proof that the backend server did not start the call.
func (r *Execution) RecordNotRun() {
	next := *r.record
	next.State, next.ChangedAt = board.KeySealed, time.Now()
	r.keeper.Board.Keys.ExecutorRecords.CompareAndSwap(r.id, r.record, &next, r.keeper.memory())
}

// RecordOutcome records the outcome and passes it to the home of the key. The response
// is nil when there is none.
func (r *Execution) RecordOutcome(outcome board.Outcome, reason board.Reason, response *board.KeyResponse) {
	next := *r.record
	next.State, next.ChangedAt = board.KeyDone, time.Now()
	next.Outcome, next.Reason, next.Response = outcome, reason, response
	runs := &r.keeper.Board.Keys.ExecutorRecords
	if !runs.CompareAndSwap(r.id, r.record, &next, r.keeper.memory()) {
		// No room for the response: the outcome alone needs next to none, and it
		// must not be lost.
		next.Response = withoutBody(response)
		runs.CompareAndSwap(r.id, r.record, &next, outcomeReserve+r.keeper.memory())
	}
	r.keeper.unacknowledged.Add(1)
	r.keeper.enqueue(r.id)
}

// outcomeReserve is the room in bytes above key_memory for the outcomes of
// calls that were admitted before the memory was full.
const outcomeReserve = 1 << 20

func withoutBody(response *board.KeyResponse) *board.KeyResponse {
	if response == nil {
		return nil
	}
	return &board.KeyResponse{Status: response.Status, BodyDigest: response.BodyDigest}
}

// rejectShare is the share of key_memory, as a divisor, up to which seals of
// rejected calls are kept. An overload must not fill the memory with them: an
// entry never sends a rejected call again, so that they only refuse copies.
const rejectShare = 2

// SealRefusedCall records that a call was refused before Begin, so that a copy of it
// that arrives late is refused as well.
func (k *KeyController) SealRefusedCall(call *wire.Call) {
	if k.Board.Keys.SizeBytes() > k.memory()/rejectShare {
		return
	}
	if call.Key == "" || call.Grant == 0 || call.ExecutorIncarnation != k.Incarnation {
		return
	}
	k.seal(&wire.Seal{
		ID: idOf(call), RequestDigest: call.RequestDigest, Grant: call.Grant, ExpiresAt: keyhome.RecordExpiry(call.Key, k.limits()),
	})
}

// HandleSeal answers a home that asks for the record of a grant.
func (k *KeyController) HandleSeal(s *wire.Seal) *wire.SealResponse {
	if s.ExecutorIncarnation != k.Incarnation {
		return &wire.SealResponse{WrongIncarnation: true}
	}
	if s.ReadOnly {
		return &wire.SealResponse{Record: k.Board.Keys.ExecutorRecords.Get(s.ID)}
	}
	return &wire.SealResponse{Record: k.seal(s)}
}

// seal stores a seal unless the key has run, and returns the record that is in
// force, nil when there is no room for one.
func (k *KeyController) seal(s *wire.Seal) *board.KeyRecord {
	sealed := &board.KeyRecord{
		State: board.KeySealed, RequestDigest: s.RequestDigest, Executor: k.Self, ExecutorIncarnation: k.Incarnation,
		Grant: s.Grant, ExpiresAt: s.ExpiresAt, ChangedAt: time.Now(),
	}
	for range maxConflicts {
		current := k.Board.Keys.ExecutorRecords.Insert(s.ID, sealed, k.memory())
		if current == nil || current.State != board.KeySealed || current.Grant >= s.Grant {
			return current
		}
		if k.Board.Keys.ExecutorRecords.CompareAndSwap(s.ID, current, sealed, k.memory()) {
			return sealed
		}
	}
	return nil
}
