package atmostonce

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// sealGracePeriod is the minimum age of a grant before a claim of another
	// request makes the home ask the executor. Asking sooner would seal a call
	// that is still in transit.
	sealGracePeriod = 250 * time.Millisecond
	// maxSwapAttempts limits the attempts of an operation that loses its
	// compare-and-swap to others.
	maxSwapAttempts = 8
	// grantEpochShift leaves room for 65,536 grants of a key per epoch. Grants of
	// a later epoch have higher numbers, even if the record of the earlier grants
	// is lost.
	grantEpochShift = 16
	// maxTransferWait limits how long a claim waits for a record transfer.
	maxTransferWait = 10 * time.Second
)

// HandleClaim responds to a claim as the home of its key. It may wait for a
// record transfer within the deadline of the claim.
func (k *KeyController) HandleClaim(ctx context.Context, c *wire.Claim) *wire.ClaimResponse {
	wait := min(time.Duration(c.MaxWaitMicros)*time.Microsecond, maxTransferWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for range maxSwapAttempts {
		view := k.view(c.ID.Service)
		if response := k.checkClaim(view, c); response != nil {
			return response
		}
		record := k.Board.Keys.HomeRecords.Get(c.ID)
		if needsTransfer(view, record) && k.transferPending(view, c) {
			awaitEpochChange(ctx, view, maxTransferWait)
			if ctx.Err() != nil {
				return refusedResponse(view, board.ReasonKeyHomeUnavailable)
			}
			continue
		}
		if response := k.respondToClaim(ctx, view, record, c); response != nil {
			return k.recheckEpoch(view, c, response)
		}
	}
	return refusedResponse(k.view(c.ID.Service), board.ReasonKeyHomeUnavailable)
}

func refusedResponse(view *board.EpochView, reason board.Reason) *wire.ClaimResponse {
	response := &wire.ClaimResponse{Status: wire.ClaimRefused, Reason: reason}
	if view != nil {
		response.Epoch = view.Epoch.Number
	}
	return response
}

// checkClaim returns the response to a claim that this node must not serve as the
// home, or nil.
func (k *KeyController) checkClaim(view *board.EpochView, c *wire.Claim) *wire.ClaimResponse {
	if view == nil {
		k.ForwardEpochNotice(wire.EpochNotice{Service: c.ID.Service, EpochNumber: c.Epoch})
		return refusedResponse(nil, board.ReasonKeyHomeUnavailable)
	}
	if c.Epoch != view.Epoch.Number {
		k.ForwardEpochNotice(wire.EpochNotice{Service: c.ID.Service, EpochNumber: c.Epoch})
		return staleResponse(view, c.Epoch)
	}
	if !k.isHome(view, c.ID) {
		// The epoch names an earlier incarnation of this node, whose records are
		// gone.
		return refusedResponse(view, board.ReasonKeyHomeUnavailable)
	}
	response := refusedResponse(view, "")
	switch keyhome.CheckKey(c.ID.Key, time.Now(), k.limits()) {
	case keyhome.KeyMalformed:
		response.Reason = board.ReasonMalformedRequest
	case keyhome.KeyInFuture:
		response.Reason = board.ReasonKeyTimeInFuture
	case keyhome.KeyExpired:
		response.Status, response.Reason = wire.ClaimOutcomeUnknown, board.ReasonKeyExpired
	default:
		return nil
	}
	return response
}

func staleResponse(view *board.EpochView, number uint64) *wire.ClaimResponse {
	return &wire.ClaimResponse{
		Status: wire.ClaimStaleEpoch, Reason: board.ReasonStaleEpoch, Epoch: view.Epoch.Number, NewerEpoch: epochIfNewer(view, number),
	}
}

// recheckEpoch replaces the response with a stale one if the epoch changed while
// the response was prepared. The record is stored before this load, and a
// transfer reads the records after the new epoch is published. So either the
// transfer includes the record or the grant is withheld.
func (k *KeyController) recheckEpoch(view *board.EpochView, c *wire.Claim, response *wire.ClaimResponse) *wire.ClaimResponse {
	if currentView := k.view(c.ID.Service); currentView.Epoch.Number != view.Epoch.Number {
		return staleResponse(currentView, c.Epoch)
	}
	return response
}

// transferState returns the merged state of the transfers from all former homes
// of a key.
func transferState(view *board.EpochView, id board.KeyID) board.TransferState {
	var merged board.TransferState
	for i, sources := range view.Transfers {
		if former, ok := keyhome.Home(view.Epoch.FormerEpochs[i].Members, id); ok {
			merged = merged.Merge(sources[former.Instance])
		}
	}
	return merged
}

// transferPending reports whether records of the key that matter may still arrive.
// There are none of a new key: see wire.Claim.
func (k *KeyController) transferPending(view *board.EpochView, c *wire.Claim) bool {
	return !c.KeyIsNew && transferState(view, c.ID).Pending
}

// needsTransfer reports whether another node may have a newer record of the key.
// An outcome is final, and a grant issued in this epoch is current.
func needsTransfer(view *board.EpochView, record *board.KeyRecord) bool {
	if record == nil {
		return true
	}
	return record.State != board.KeyDone && record.GrantEpoch != view.Epoch.Number
}

// laterGrantMayBeLost reports whether a later grant of the key may have been lost
// with its home and its executor. In that case the seal of this grant does not
// prove that the key has not been executed.
func laterGrantMayBeLost(view *board.EpochView, id board.KeyID, record *board.KeyRecord) bool {
	return record.GrantEpoch != view.Epoch.Number && !keyhome.ProvablyNew(id.Key, transferState(view, id).Horizon)
}

// respondToClaim returns the response to a claim, or nil when the record changed
// concurrently.
func (k *KeyController) respondToClaim(ctx context.Context, view *board.EpochView, record *board.KeyRecord, c *wire.Claim) *wire.ClaimResponse {
	if record == nil {
		return k.handleFirstClaim(view, c)
	}
	if !c.LookupOnly && record.RequestDigest != c.RequestDigest {
		return &wire.ClaimResponse{Status: wire.ClaimConflict, Reason: board.ReasonKeyConflict, Epoch: view.Epoch.Number}
	}
	switch record.State {
	case board.KeyDone:
		return recordedResponse(view, record)
	case board.KeyUnknown:
		return k.resolveWithExecutor(ctx, view, record, c)
	}
	return k.handleRepeatedClaim(ctx, view, record, c)
}

func recordedResponse(view *board.EpochView, record *board.KeyRecord) *wire.ClaimResponse {
	return &wire.ClaimResponse{Status: wire.ClaimOutcomeRecorded, Epoch: view.Epoch.Number, Grant: record.Grant, Record: record}
}

// handleFirstClaim responds to a claim of a key that has no record.
func (k *KeyController) handleFirstClaim(view *board.EpochView, c *wire.Claim) *wire.ClaimResponse {
	mayBeLost := !c.KeyIsNew && !keyhome.ProvablyNew(c.ID.Key, transferState(view, c.ID).Horizon)
	if c.LookupOnly {
		if mayBeLost {
			return unknownResponse(view, board.ReasonKeyRecordLost)
		}
		return notFoundResponse(view)
	}
	if mayBeLost {
		// Once a caller has received unknown, this record prevents a grant of the
		// key.
		record := &board.KeyRecord{State: board.KeyUnknown, RequestDigest: c.RequestDigest, Reason: board.ReasonKeyRecordLost}
		k.insertHomeRecord(c.ID, record)
		return unknownResponse(view, board.ReasonKeyRecordLost)
	}
	if reason := k.checkExecutor(view, c); reason != "" {
		return refusedResponse(view, reason)
	}
	record := nextGrantRecord(view, nil, c)
	stored := k.insertHomeRecord(c.ID, record)
	switch stored {
	case nil:
		return refusedResponse(view, board.ReasonKeyMemoryFull)
	case record:
		return grantedResponse(view, record)
	}
	return nil
}

func (k *KeyController) insertHomeRecord(id board.KeyID, record *board.KeyRecord) *board.KeyRecord {
	record.ChangedAt = time.Now()
	record.ExpiresAt = keyhome.RecordExpiry(id.Key, k.limits())
	return k.Board.Keys.HomeRecords.Insert(id, record, k.memoryLimit())
}

func unknownResponse(view *board.EpochView, reason board.Reason) *wire.ClaimResponse {
	return &wire.ClaimResponse{Status: wire.ClaimOutcomeUnknown, Reason: reason, Epoch: view.Epoch.Number}
}

func grantedResponse(view *board.EpochView, record *board.KeyRecord) *wire.ClaimResponse {
	return &wire.ClaimResponse{Status: wire.ClaimGranted, Epoch: view.Epoch.Number, Grant: record.Grant}
}

// checkExecutor returns the reason to refuse an executor, or "". It refuses an
// executor outside the epoch, because its record would not be transferred, and
// the home itself, because the loss of one node would then lose both records.
func (k *KeyController) checkExecutor(view *board.EpochView, c *wire.Claim) board.Reason {
	if !view.Epoch.HasMember(c.Executor, c.ExecutorIncarnation) {
		return board.ReasonWrongIncarnation
	}
	if c.Executor == k.Self && len(view.Epoch.Members) > 1 {
		return board.ReasonNoServer
	}
	return ""
}

// nextGrantRecord returns the record of the next grant of a key.
func nextGrantRecord(view *board.EpochView, old *board.KeyRecord, c *wire.Claim) *board.KeyRecord {
	number := view.Epoch.Number << grantEpochShift
	next := &board.KeyRecord{RequestDigest: c.RequestDigest}
	if old != nil {
		*next = *old
		number = max(number, old.Grant+1)
	}
	next.State, next.GrantEpoch = board.KeyGranted, view.Epoch.Number
	next.Executor, next.ExecutorIncarnation = c.Executor, c.ExecutorIncarnation
	next.Grant = number
	next.RequestID, next.ClaimSequence = c.RequestID, c.ClaimSequence
	next.ChangedAt = time.Now()
	return next
}

// handleRepeatedClaim responds to a claim of a key that has been granted. The
// request that holds the grant may claim again without a check once it has proof
// that the call was not executed. Any other claim makes the home ask the
// executor.
func (k *KeyController) handleRepeatedClaim(ctx context.Context, view *board.EpochView, record *board.KeyRecord, c *wire.Claim) *wire.ClaimResponse {
	isHolder := c.RequestID != "" && c.RequestID == record.RequestID
	switch {
	case isHolder && c.ClaimSequence <= record.ClaimSequence:
		return inProgressResponse(view)
	case isHolder && !c.GrantUnresolved && c.LookupOnly:
		return k.unusedGrantResponse(view, record, c)
	case isHolder && !c.GrantUnresolved:
		return k.issueNextGrant(view, record, c)
	case !isHolder && !c.LookupOnly && time.Since(record.ChangedAt) < sealGracePeriod:
		return inProgressResponse(view)
	}
	return k.resolveWithExecutor(ctx, view, record, c)
}

// notFoundResponse states that the key has not been executed.
func notFoundResponse(view *board.EpochView) *wire.ClaimResponse {
	return &wire.ClaimResponse{Status: wire.ClaimNotFound, Epoch: view.Epoch.Number}
}

// unusedGrantResponse responds to a lookup of a key whose last known grant has
// provably not been used.
func (k *KeyController) unusedGrantResponse(view *board.EpochView, record *board.KeyRecord, c *wire.Claim) *wire.ClaimResponse {
	if !c.KeyIsNew && laterGrantMayBeLost(view, c.ID, record) {
		return unknownResponse(view, board.ReasonKeyRecordLost)
	}
	return notFoundResponse(view)
}

func inProgressResponse(view *board.EpochView) *wire.ClaimResponse {
	return &wire.ClaimResponse{Status: wire.ClaimInProgress, Reason: board.ReasonKeyInProgress, Epoch: view.Epoch.Number}
}

func (k *KeyController) issueNextGrant(view *board.EpochView, record *board.KeyRecord, c *wire.Claim) *wire.ClaimResponse {
	if !c.KeyIsNew && laterGrantMayBeLost(view, c.ID, record) {
		return k.markUnknown(view, record, c, board.ReasonKeyRecordLost)
	}
	if reason := k.checkExecutor(view, c); reason != "" {
		return refusedResponse(view, reason)
	}
	next := nextGrantRecord(view, record, c)
	if !k.Board.Keys.HomeRecords.CompareAndSwap(c.ID, record, next, k.memoryLimit()) {
		return nil
	}
	return grantedResponse(view, next)
}

// resolveWithExecutor asks the executor of a grant for its record and updates the
// home's record accordingly.
func (k *KeyController) resolveWithExecutor(ctx context.Context, view *board.EpochView, record *board.KeyRecord, c *wire.Claim) *wire.ClaimResponse {
	executor, alive := k.grantHolder(record)
	if !alive {
		return k.markUnknown(view, record, c, board.ReasonExecutorLost)
	}
	sealCtx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	response, err := k.exchangeSeal(sealCtx, executor, &wire.Seal{
		ID: c.ID, RequestDigest: record.RequestDigest, Grant: record.Grant, ExecutorIncarnation: record.ExecutorIncarnation,
		ExpiresAt: record.ExpiresAt, ReadOnly: (c.LookupOnly && !c.GrantUnresolved) || record.State == board.KeyUnknown,
	})
	if err != nil && ctx.Err() != nil {
		// The time of the claim ended before that of the request to the executor,
		// so the missing response does not show that the executor is lost.
		return inProgressResponse(view)
	}
	if err != nil || response.WrongIncarnation {
		return k.markUnknown(view, record, c, board.ReasonExecutorLost)
	}
	return k.applyExecutorRecord(view, record, response.Record, c)
}

func (k *KeyController) applyExecutorRecord(view *board.EpochView, record, executorRecord *board.KeyRecord, c *wire.Claim) *wire.ClaimResponse {
	switch {
	case executorRecord != nil && executorRecord.State == board.KeyDone:
		next := withExecutorOutcome(record, executorRecord)
		if !k.Board.Keys.HomeRecords.CompareAndSwap(c.ID, record, next, k.memoryLimit()) {
			return nil
		}
		return recordedResponse(view, next)
	case record.State == board.KeyUnknown:
		return unknownResponse(view, record.Reason)
	case executorRecord != nil && executorRecord.State == board.KeySealed && executorRecord.Grant >= record.Grant:
		if c.LookupOnly {
			return k.unusedGrantResponse(view, record, c)
		}
		return k.issueNextGrant(view, record, c)
	}
	return inProgressResponse(view)
}

// withExecutorOutcome returns the home's record with the outcome of the
// executor's record.
func withExecutorOutcome(record, executorRecord *board.KeyRecord) *board.KeyRecord {
	next := *record
	next.State = board.KeyDone
	next.Outcome, next.Reason, next.Response = executorRecord.Outcome, executorRecord.Reason, executorRecord.Response
	next.ChangedAt = time.Now()
	return &next
}

func (k *KeyController) markUnknown(view *board.EpochView, record *board.KeyRecord, c *wire.Claim, reason board.Reason) *wire.ClaimResponse {
	if record.State == board.KeyUnknown {
		return unknownResponse(view, record.Reason)
	}
	if c.LookupOnly {
		return unknownResponse(view, reason)
	}
	next := *record
	next.State, next.Reason = board.KeyUnknown, reason
	next.ChangedAt = time.Now()
	if !k.Board.Keys.HomeRecords.CompareAndSwap(c.ID, record, &next, k.memoryLimit()) {
		return nil
	}
	return unknownResponse(view, next.Reason)
}

// grantHolder returns the executor that holds a grant, with its address. It
// returns false when that incarnation of the instance has ended.
func (k *KeyController) grantHolder(record *board.KeyRecord) (board.EpochMember, bool) {
	if record.Executor == k.Self {
		return board.EpochMember{Instance: k.Self, Incarnation: k.Incarnation}, record.ExecutorIncarnation == k.Incarnation
	}
	m, ok := k.Board.Members.Load().Get(record.Executor)
	if !ok || m.Incarnation != record.ExecutorIncarnation {
		return board.EpochMember{}, false
	}
	return board.EpochMember{Instance: m.Instance, Incarnation: m.Incarnation, PeerAddr: m.PeerAddr}, true
}
