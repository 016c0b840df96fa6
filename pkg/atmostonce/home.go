package atmostonce

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// sealGrace is how long a home lets a grant travel before a repeated claim
	// makes it ask the executor, which would seal a call still on its way.
	sealGrace = 250 * time.Millisecond
	// maxConflicts bounds the rounds of a claim that loses its compare-and-swap
	// to others.
	maxConflicts = 8
	// epochShift leaves 65,536 grants of a key in one epoch. A grant of a later
	// epoch is always higher, even when the record of earlier ones is lost.
	epochShift = 16
	// maxTransferWait bounds the wait of a claim for a transfer.
	maxTransferWait = 10 * time.Second
)

// HandleClaim answers a claim as the home of its key. It may wait for a
// transfer within the deadline of the claim.
func (k *KeyController) HandleClaim(ctx context.Context, c *wire.Claim) *wire.ClaimResponse {
	wait := min(time.Duration(c.MaxWaitMicros)*time.Microsecond, maxTransferWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for range maxConflicts {
		view := k.view(c.ID.Service)
		if answer := k.checkClaim(view, c); answer != nil {
			return answer
		}
		record := k.Board.Keys.HomeRecords.Get(c.ID)
		if needsTransfer(view, record) && k.pending(view, c) {
			await(ctx, view, maxTransferWait)
			if ctx.Err() != nil {
				return refused(view, board.ReasonKeyHomeUnavailable)
			}
			continue
		}
		if answer := k.answerClaim(ctx, view, record, c); answer != nil {
			return k.recheck(view, c, answer)
		}
	}
	return refused(k.view(c.ID.Service), board.ReasonKeyHomeUnavailable)
}

func refused(view *board.EpochView, reason board.Reason) *wire.ClaimResponse {
	answer := &wire.ClaimResponse{Status: wire.ClaimRefused, Reason: reason}
	if view != nil {
		answer.Epoch = view.Epoch.Number
	}
	return answer
}

// checkClaim returns the answer to a claim that this node must not serve as a
// home, or nil.
func (k *KeyController) checkClaim(view *board.EpochView, c *wire.Claim) *wire.ClaimResponse {
	if view == nil {
		k.ForwardEpochNotice(wire.EpochNotice{Service: c.ID.Service, EpochNumber: c.Epoch})
		return refused(nil, board.ReasonKeyHomeUnavailable)
	}
	if c.Epoch != view.Epoch.Number {
		k.ForwardEpochNotice(wire.EpochNotice{Service: c.ID.Service, EpochNumber: c.Epoch})
		return stale(view, c.Epoch)
	}
	if !k.isHome(view, c.ID) {
		// The epoch names an earlier incarnation of this node, whose records are gone.
		return refused(view, board.ReasonKeyHomeUnavailable)
	}
	answer := refused(view, "")
	switch keyhome.CheckKey(c.ID.Key, time.Now(), k.limits()) {
	case keyhome.KeyMalformed:
		answer.Reason = board.ReasonMalformedRequest
	case keyhome.KeyInFuture:
		answer.Reason = board.ReasonKeyTimeInFuture
	case keyhome.KeyExpired:
		answer.Status, answer.Reason = wire.ClaimOutcomeUnknown, board.ReasonKeyExpired
	default:
		return nil
	}
	return answer
}

func stale(view *board.EpochView, number uint64) *wire.ClaimResponse {
	return &wire.ClaimResponse{
		Status: wire.ClaimStaleEpoch, Reason: board.ReasonStaleEpoch, Epoch: view.Epoch.Number, NewerEpoch: newerThan(view, number),
	}
}

// recheck refuses an answer that was prepared while the epoch changed. The
// record is stored before this load, and a transfer reads the records after
// the new epoch is published, so that either the transfer has the record or
// the grant is withheld.
func (k *KeyController) recheck(view *board.EpochView, c *wire.Claim, answer *wire.ClaimResponse) *wire.ClaimResponse {
	if now := k.view(c.ID.Service); now.Epoch.Number != view.Epoch.Number {
		return stale(now, c.Epoch)
	}
	return answer
}

// source returns the state of the transfers that cover a key.
func source(view *board.EpochView, id board.KeyID) board.TransferState {
	var all board.TransferState
	for i, sources := range view.Transfers {
		if former, ok := keyhome.Home(view.Epoch.FormerEpochs[i].Members, id); ok {
			all = all.Merge(sources[former.Instance])
		}
	}
	return all
}

// pending reports whether records of the key may still arrive. A key that the
// entry has just created has none.
func (k *KeyController) pending(view *board.EpochView, c *wire.Claim) bool {
	return !c.KeyIsNew && source(view, c.ID).Pending
}

// needsTransfer reports whether a record may be older than what another node
// knows of the key. An outcome is final, and so is a grant of this epoch.
func needsTransfer(view *board.EpochView, record *board.KeyRecord) bool {
	if record == nil {
		return true
	}
	return record.State != board.KeyDone && record.GrantEpoch != view.Epoch.Number
}

// outdated reports whether a later grant of the key may have been lost with
// its home and its executor. Then a seal of this grant proves nothing.
func outdated(view *board.EpochView, id board.KeyID, record *board.KeyRecord) bool {
	return record.GrantEpoch != view.Epoch.Number && !keyhome.ProvablyNew(id.Key, source(view, id).Horizon)
}

// answerClaim returns nil when the record has changed meanwhile.
func (k *KeyController) answerClaim(ctx context.Context, view *board.EpochView, record *board.KeyRecord, c *wire.Claim) *wire.ClaimResponse {
	if record == nil {
		return k.firstClaim(view, c)
	}
	if !c.LookupOnly && record.RequestDigest != c.RequestDigest {
		return &wire.ClaimResponse{Status: wire.ClaimConflict, Reason: board.ReasonKeyConflict, Epoch: view.Epoch.Number}
	}
	switch record.State {
	case board.KeyDone:
		return recorded(view, record)
	case board.KeyUnknown:
		return k.settle(ctx, view, record, c)
	}
	return k.repeatedClaim(ctx, view, record, c)
}

func recorded(view *board.EpochView, record *board.KeyRecord) *wire.ClaimResponse {
	return &wire.ClaimResponse{Status: wire.ClaimOutcomeRecorded, Epoch: view.Epoch.Number, Grant: record.Grant, Record: record}
}

// firstClaim answers a claim of a key without a record.
func (k *KeyController) firstClaim(view *board.EpochView, c *wire.Claim) *wire.ClaimResponse {
	lost := !c.KeyIsNew && !keyhome.ProvablyNew(c.ID.Key, source(view, c.ID).Horizon)
	if c.LookupOnly {
		if lost {
			return unknown(view, board.ReasonKeyRecordLost)
		}
		return absent(view)
	}
	if lost {
		// The record keeps the key from being granted once it was told unknown.
		record := &board.KeyRecord{State: board.KeyUnknown, RequestDigest: c.RequestDigest, Reason: board.ReasonKeyRecordLost}
		k.insertHome(c.ID, record)
		return unknown(view, board.ReasonKeyRecordLost)
	}
	if reason := k.checkExecutor(view, c); reason != "" {
		return refused(view, reason)
	}
	record := grantOf(view, nil, c)
	actual := k.insertHome(c.ID, record)
	switch actual {
	case nil:
		return refused(view, board.ReasonKeyMemoryFull)
	case record:
		return granted(view, record)
	}
	return nil
}

func (k *KeyController) insertHome(id board.KeyID, record *board.KeyRecord) *board.KeyRecord {
	record.ChangedAt = time.Now()
	record.ExpiresAt = keyhome.RecordExpiry(id.Key, k.limits())
	return k.Board.Keys.HomeRecords.Insert(id, record, k.memory())
}

func unknown(view *board.EpochView, reason board.Reason) *wire.ClaimResponse {
	return &wire.ClaimResponse{Status: wire.ClaimOutcomeUnknown, Reason: reason, Epoch: view.Epoch.Number}
}

func granted(view *board.EpochView, record *board.KeyRecord) *wire.ClaimResponse {
	return &wire.ClaimResponse{Status: wire.ClaimGranted, Epoch: view.Epoch.Number, Grant: record.Grant}
}

// checkExecutor refuses an executor whose record would not survive together
// with the home's: one outside of the epoch, or the home itself.
func (k *KeyController) checkExecutor(view *board.EpochView, c *wire.Claim) board.Reason {
	if !view.Epoch.HasMember(c.Executor, c.ExecutorIncarnation) {
		return board.ReasonWrongIncarnation
	}
	if c.Executor == k.Self && len(view.Epoch.Members) > 1 {
		return board.ReasonNoServer
	}
	return ""
}

// grantOf returns the record of the next grant of a key.
func grantOf(view *board.EpochView, old *board.KeyRecord, c *wire.Claim) *board.KeyRecord {
	number := view.Epoch.Number << epochShift
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

// repeatedClaim answers a claim of a key that is granted. The request that
// holds the grant asks again only after proof that the grant did not run; any
// other claim makes the home ask the executor.
func (k *KeyController) repeatedClaim(ctx context.Context, view *board.EpochView, record *board.KeyRecord, c *wire.Claim) *wire.ClaimResponse {
	holder := c.RequestID != "" && c.RequestID == record.RequestID
	switch {
	case holder && c.ClaimSequence <= record.ClaimSequence:
		return inProgress(view)
	case holder && !c.GrantUnresolved && c.LookupOnly:
		return absent(view)
	case holder && !c.GrantUnresolved:
		return k.grantNext(view, record, c)
	case !holder && !c.LookupOnly && time.Since(record.ChangedAt) < sealGrace:
		return inProgress(view)
	}
	return k.settle(ctx, view, record, c)
}

// absent says that the key has not run.
func absent(view *board.EpochView) *wire.ClaimResponse {
	return &wire.ClaimResponse{Status: wire.ClaimNotFound, Epoch: view.Epoch.Number}
}

func inProgress(view *board.EpochView) *wire.ClaimResponse {
	return &wire.ClaimResponse{Status: wire.ClaimInProgress, Reason: board.ReasonKeyInProgress, Epoch: view.Epoch.Number}
}

func (k *KeyController) grantNext(view *board.EpochView, record *board.KeyRecord, c *wire.Claim) *wire.ClaimResponse {
	if outdated(view, c.ID, record) {
		return k.markUnknown(view, record, c, board.ReasonKeyRecordLost)
	}
	if reason := k.checkExecutor(view, c); reason != "" {
		return refused(view, reason)
	}
	next := grantOf(view, record, c)
	if !k.Board.Keys.HomeRecords.CompareAndSwap(c.ID, record, next, k.memory()) {
		return nil
	}
	return granted(view, next)
}

// settle asks the executor of a grant for its record and moves the home's
// record to what the executor proves.
func (k *KeyController) settle(ctx context.Context, view *board.EpochView, record *board.KeyRecord, c *wire.Claim) *wire.ClaimResponse {
	executor, known := k.executorOf(record)
	if !known {
		return k.markUnknown(view, record, c, board.ReasonExecutorLost)
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := k.sealAt(ctx, executor, &wire.Seal{
		ID: c.ID, RequestDigest: record.RequestDigest, Grant: record.Grant, ExecutorIncarnation: record.ExecutorIncarnation,
		ExpiresAt: record.ExpiresAt, ReadOnly: (c.LookupOnly && !c.GrantUnresolved) || record.State == board.KeyUnknown,
	})
	if err != nil || answer.WrongIncarnation {
		return k.markUnknown(view, record, c, board.ReasonExecutorLost)
	}
	return k.applyExecutorRecord(view, record, answer.Record, c)
}

func (k *KeyController) applyExecutorRecord(view *board.EpochView, record, run *board.KeyRecord, c *wire.Claim) *wire.ClaimResponse {
	switch {
	case run != nil && run.State == board.KeyDone:
		next := doneAt(record, run)
		if !k.Board.Keys.HomeRecords.CompareAndSwap(c.ID, record, next, k.memory()) {
			return nil
		}
		return recorded(view, next)
	case record.State == board.KeyUnknown:
		return unknown(view, record.Reason)
	case run != nil && run.State == board.KeySealed && run.Grant >= record.Grant:
		if c.LookupOnly {
			return absent(view)
		}
		return k.grantNext(view, record, c)
	}
	return inProgress(view)
}

// doneAt returns the record of a home with the outcome of an executor.
func doneAt(record, run *board.KeyRecord) *board.KeyRecord {
	next := *record
	next.State = board.KeyDone
	next.Outcome, next.Reason, next.Response = run.Outcome, run.Reason, run.Response
	next.ChangedAt = time.Now()
	return &next
}

func (k *KeyController) markUnknown(view *board.EpochView, record *board.KeyRecord, c *wire.Claim, reason board.Reason) *wire.ClaimResponse {
	if record.State == board.KeyUnknown {
		return unknown(view, record.Reason)
	}
	if c.LookupOnly {
		return unknown(view, reason)
	}
	next := *record
	next.State, next.Reason = board.KeyUnknown, reason
	next.ChangedAt = time.Now()
	if !k.Board.Keys.HomeRecords.CompareAndSwap(c.ID, record, &next, k.memory()) {
		return nil
	}
	return unknown(view, next.Reason)
}

// executorOf returns the address of the incarnation of the instance that holds a
// grant, false when that incarnation has ended.
func (k *KeyController) executorOf(record *board.KeyRecord) (board.EpochMember, bool) {
	if record.Executor == k.Self {
		return board.EpochMember{Instance: k.Self, Incarnation: k.Incarnation}, record.ExecutorIncarnation == k.Incarnation
	}
	m, ok := k.Board.Members.Load().Get(record.Executor)
	if !ok || m.Incarnation != record.ExecutorIncarnation {
		return board.EpochMember{}, false
	}
	return board.EpochMember{Instance: m.Instance, Incarnation: m.Incarnation, PeerAddr: m.PeerAddr}, true
}
