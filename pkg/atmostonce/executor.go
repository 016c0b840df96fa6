package atmostonce

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

// MaxStoredResponseBytes limits the size of a recorded response, including its
// headers. Of a larger response only the status and the digest are recorded.
const MaxStoredResponseBytes = 64 << 10

// epochAdoptionTimeout limits how long an executor waits for an epoch that the
// entry has already adopted. A rumor or a pull takes a few round trips.
const epochAdoptionTimeout = 250 * time.Millisecond

// Execution is the permission to send one call to the backend server.
type Execution struct {
	controller *KeyController
	keyID      board.KeyID
	record     *board.KeyRecord
}

// Refusal states why an executor does not execute a call. The outcome is not-run,
// or unknown when the key has already been executed here.
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

// BeginExecution checks a non-idempotent call and records that it is being
// executed. The backend server must not be contacted unless it returns an
// Execution.
func (k *KeyController) BeginExecution(ctx context.Context, call *wire.Call) (*Execution, *Refusal) {
	if call.Key == "" || call.RequestDigest == "" || call.Grant == 0 {
		return nil, notRunRefusal(board.ReasonMalformedRequest)
	}
	if call.ExecutorIncarnation != k.Incarnation {
		return nil, notRunRefusal(board.ReasonWrongIncarnation)
	}
	// Seals of expired keys are removed, so only the age of the key prevents the
	// execution of a late call.
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
	// The order is the same as in recheckEpoch: if a transfer misses the record,
	// the new epoch was published before this load.
	if k.EpochNumber(call.Service) != call.Epoch {
		execution.RecordNotRun()
		return nil, notRunRefusal(board.ReasonStaleEpoch)
	}
	return execution, nil
}

// checkEpoch refuses a call whose epoch is not the current one of this node. It
// waits up to epochAdoptionTimeout for the epoch of the call to be adopted and
// confirmed.
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
		k.ForwardEpochNotice(wire.EpochNotice{Service: call.Service, EpochNumber: call.Epoch})
		remaining := time.Until(deadline)
		if remaining <= 0 || ctx.Err() != nil {
			return notRunRefusal(board.ReasonStaleEpoch)
		}
		awaitEpochChange(ctx, view, remaining)
	}
}

// recentlyConfirmed reports whether the epoch was confirmed within the
// confirmation TTL. If not, the node may be partitioned or have been paused, and
// must not execute calls.
func recentlyConfirmed(view *board.EpochView) bool {
	return time.Since(view.ConfirmedAt) <= keyhome.ConfirmationTTL
}

func (k *KeyController) recordRunning(call *wire.Call) (*board.KeyRecord, *Refusal) {
	id := callKeyID(call)
	next := &board.KeyRecord{
		State: board.KeyRunning, RequestDigest: call.RequestDigest, Executor: k.Self, ExecutorIncarnation: k.Incarnation,
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

// RecordNotRun records that the backend server did not start the call, which
// seals the grant.
func (e *Execution) RecordNotRun() {
	next := *e.record
	next.State, next.ChangedAt = board.KeySealed, time.Now()
	e.controller.Board.Keys.ExecutorRecords.CompareAndSwap(e.keyID, e.record, &next, e.controller.memoryLimit())
}

// RecordOutcome records the outcome and queues it for the home of the key. The
// response is nil if there is none.
func (e *Execution) RecordOutcome(outcome board.Outcome, reason board.Reason, response *board.KeyResponse) {
	next := *e.record
	next.State, next.ChangedAt = board.KeyDone, time.Now()
	next.Outcome, next.Reason, next.Response = outcome, reason, response
	records := &e.controller.Board.Keys.ExecutorRecords
	if !records.CompareAndSwap(e.keyID, e.record, &next, e.controller.memoryLimit()) {
		// The response does not fit. The outcome alone needs almost no memory,
		// and it must not be lost.
		next.Response = statusAndDigest(response)
		records.CompareAndSwap(e.keyID, e.record, &next, outcomeReserveBytes+e.controller.memoryLimit())
	}
	e.controller.unacknowledgedOutcomes.Add(1)
	e.controller.enqueueCompletion(e.keyID)
}

// outcomeReserveBytes is the memory above key_memory that is reserved for the
// outcomes of calls admitted before the memory was full.
const outcomeReserveBytes = 1 << 20

func statusAndDigest(response *board.KeyResponse) *board.KeyResponse {
	if response == nil {
		return nil
	}
	return &board.KeyResponse{Status: response.Status, BodyDigest: response.BodyDigest}
}

// sealMemoryDivisor limits the seals of refused calls: they are stored only while
// at most 1/sealMemoryDivisor of key_memory is in use, so that an overload does
// not fill the memory with them. They only protect against duplicates, because an
// entry never sends a refused call again.
const sealMemoryDivisor = 2

// SealRefusedCall records that a call was refused before BeginExecution, so that
// a late duplicate is refused, too.
func (k *KeyController) SealRefusedCall(call *wire.Call) {
	if k.Board.Keys.SizeBytes() > k.memoryLimit()/sealMemoryDivisor {
		return
	}
	if call.Key == "" || call.Grant == 0 || call.ExecutorIncarnation != k.Incarnation {
		return
	}
	k.sealGrant(&wire.Seal{
		ID: callKeyID(call), RequestDigest: call.RequestDigest, Grant: call.Grant, ExpiresAt: keyhome.RecordExpiry(call.Key, k.limits()),
	})
}

// HandleSeal responds to a home that asks for the record of a grant.
func (k *KeyController) HandleSeal(s *wire.Seal) *wire.SealResponse {
	if s.ExecutorIncarnation != k.Incarnation {
		return &wire.SealResponse{WrongIncarnation: true}
	}
	if s.ReadOnly {
		return &wire.SealResponse{Record: k.Board.Keys.ExecutorRecords.Get(s.ID)}
	}
	return &wire.SealResponse{Record: k.sealGrant(s)}
}

// sealGrant stores a seal unless the key has been executed. It returns the
// current record, or nil if the seal could not be stored, usually because
// key_memory is full.
func (k *KeyController) sealGrant(s *wire.Seal) *board.KeyRecord {
	sealed := &board.KeyRecord{
		State: board.KeySealed, RequestDigest: s.RequestDigest, Executor: k.Self, ExecutorIncarnation: k.Incarnation,
		Grant: s.Grant, ExpiresAt: s.ExpiresAt, ChangedAt: time.Now(),
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
