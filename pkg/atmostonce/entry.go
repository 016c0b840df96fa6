package atmostonce

import (
	"context"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// homeUnavailableTimeout limits how long an entry waits for a home that is
	// unreachable or lacks the records of the key.
	homeUnavailableTimeout = time.Second
	// epochLagTimeout limits how long an entry waits while it or the home has no
	// epoch of the service, or their epochs differ. The first epoch takes up to
	// 4.5 s: the delay before a proposal and two store calls. With 1 s, busy nodes
	// refused the calls that came while the service started.
	epochLagTimeout = 5 * time.Second
	// initialClaimBackoff and maxClaimBackoff are the first and the longest delay
	// between repeated claims of one call.
	initialClaimBackoff = 10 * time.Millisecond
	maxClaimBackoff     = 160 * time.Millisecond
)

// Call is a non-idempotent call at its entry.
type Call struct {
	ID            board.KeyID
	RequestDigest string
	RequestID     string
	// KeyGenerated is set when the entry generated the key for this call.
	KeyGenerated bool
	// MaxAttempts limits the number of grants that are used.
	MaxAttempts int
	// AllowRetry is called before each grant after the first is used. Nil allows
	// all retries. The retry budget is checked here.
	AllowRetry func() bool
	// PickExecutor picks an executor that is not one of the excluded instances.
	// It returns false when there is none.
	PickExecutor func(exclude []board.InstanceID) (board.InstanceID, uint64, bool)
	// Send sends the call once under a grant. It returns the outcome and, for
	// not-run and unknown, the reason.
	Send func(ctx context.Context, epoch, grant uint64, attempt int) (board.Outcome, board.Reason)
}

// Result is the result of a call at its entry.
type Result struct {
	Outcome board.Outcome
	Reason  board.Reason
	// ResponseReceived is set when the last Send received the response of the
	// call.
	ResponseReceived bool
	// Record holds the recorded response of an earlier execution of the key.
	Record *board.KeyRecord
}

// entryCall is the state of one call at its entry.
type entryCall struct {
	controller     *KeyController
	call           *Call
	claim          wire.Claim
	triedExecutors []board.InstanceID

	attempts int
	backoff  time.Duration
	// homeUnavailableSince is when the home became unavailable, zero while it is
	// available, and homeUnavailableLimit the limit of the wait for it.
	homeUnavailableSince time.Time
	homeUnavailableLimit time.Duration
	// provenNotRun is set when a response received during this call proves that
	// the key has not been executed.
	provenNotRun bool
	// executorOutsideEpoch is set when an executor is available that is not a member
	// of the epoch.
	executorOutsideEpoch bool
	// homeProvesNotRun is set while the last response of a home proves that the key
	// has not been executed. The refusal of an executor is no such proof: the home
	// may have granted the key to another request before.
	homeProvesNotRun bool
	// lookupOnly is set when the call must not be sent any more.
	lookupOnly bool
	// lastReason is the reason returned when no better one is known.
	lastReason board.Reason
}

// Invoke claims the key of a call and sends the call at most once per grant. It
// returns when the outcome is known, or when ctx ends.
func (k *KeyController) Invoke(ctx context.Context, call *Call) Result {
	if result := k.checkKey(call); result != nil {
		return *result
	}
	c := &entryCall{controller: k, call: call, backoff: initialClaimBackoff, lastReason: board.ReasonKeyHomeUnavailable, provenNotRun: call.KeyGenerated}
	c.claim = wire.Claim{ID: call.ID, RequestDigest: call.RequestDigest, RequestID: call.RequestID, KeyIsNew: call.KeyGenerated}
	started := time.Now()
	for ctx.Err() == nil {
		if result := c.claimAndSend(ctx); result != nil {
			return c.verifyNotRun(ctx, *result, started)
		}
	}
	return c.verifyNotRun(ctx, c.finalResult(ctx), started)
}

// lookUp asks the home of the current epoch for the outcome of the key, without
// a grant. The result is not-run only if that home proves it.
func (c *entryCall) lookUp(ctx context.Context) Result {
	c.lookupOnly, c.provenNotRun, c.homeUnavailableSince = true, false, time.Time{}
	c.lastReason = board.ReasonKeyHomeUnavailable
	for ctx.Err() == nil {
		if result := c.claimAndSend(ctx); result != nil {
			return *result
		}
	}
	return c.finalResult(ctx)
}

// verifyNotRun changes not-run to unknown unless the epoch is confirmed to have
// been current after the call started. Without the confirmation, an earlier call
// with a key supplied by the caller may have been executed in a higher epoch than
// that of the home that responded. The home is asked if it has not proved not-run,
// and again if the epoch has ended before it was confirmed.
func (c *entryCall) verifyNotRun(ctx context.Context, result Result, started time.Time) Result {
	if result.Outcome != board.OutcomeNotRun || c.call.KeyGenerated {
		return result
	}
	switch result.Reason {
	case board.ReasonKeyConflict, board.ReasonMalformedRequest, board.ReasonKeyTimeInFuture:
		// These reasons concern the key itself or another request, not whether
		// the key has been executed.
		return result
	}
	if !c.homeProvesNotRun {
		if next := c.lookUp(ctx); next.Outcome != board.OutcomeNotRun {
			return next
		}
	}
	for !c.controller.confirmedSince(ctx, c.call.ID.Service, c.claim.Epoch, started) {
		if ctx.Err() != nil || c.controller.EpochNumber(c.call.ID.Service) <= c.claim.Epoch {
			return Result{Outcome: board.OutcomeUnknown, Reason: board.ReasonKeyHomeUnavailable}
		}
		if next := c.lookUp(ctx); next.Outcome != board.OutcomeNotRun {
			return next
		}
	}
	return result
}

func (k *KeyController) checkKey(call *Call) *Result {
	switch keyhome.CheckKey(call.ID.Key, time.Now(), k.limits()) {
	case keyhome.KeyMalformed:
		return &Result{Outcome: board.OutcomeNotRun, Reason: board.ReasonMalformedRequest}
	case keyhome.KeyInFuture:
		return &Result{Outcome: board.OutcomeNotRun, Reason: board.ReasonKeyTimeInFuture}
	case keyhome.KeyExpired:
		return &Result{Outcome: board.OutcomeUnknown, Reason: board.ReasonKeyExpired}
	}
	return nil
}

// claimAndSend sends one claim and acts on the response. It returns nil if the
// call must be claimed again.
func (c *entryCall) claimAndSend(ctx context.Context) *Result {
	view := c.controller.view(c.call.ID.Service)
	if view == nil {
		c.controller.ForwardEpochNotice(wire.EpochNotice{Service: c.call.ID.Service, EpochNumber: 1})
		return c.awaitHome(ctx, nil, epochLagTimeout)
	}
	home, ok := keyhome.Home(view.Epoch.Members, c.call.ID)
	if !ok {
		return c.awaitHome(ctx, view, homeUnavailableTimeout)
	}
	executor := c.pickExecutor(view, home)
	response, err := c.requestGrant(ctx, view, home)
	if err != nil && ctx.Err() != nil {
		// The time of the call ended before that of the claim, which says nothing
		// about the home. The reason of the last response stays.
		return nil
	}
	if err != nil {
		return c.awaitHome(ctx, view, homeUnavailableTimeout)
	}
	c.controller.forwardEpoch(response.NewerEpoch)
	if response.Epoch > view.Epoch.Number {
		c.controller.ForwardEpochNotice(wire.EpochNotice{Service: c.call.ID.Service, EpochNumber: response.Epoch, SourceAddr: home.PeerAddr})
	}
	return c.handleClaimResponse(ctx, view, executor, response)
}

// pickExecutor sets the executor of the claim to a member of the epoch other than
// the home. If there is none, the claim becomes a lookup, because the key may
// already have an outcome.
func (c *entryCall) pickExecutor(view *board.EpochView, home board.EpochMember) board.InstanceID {
	exclude := c.triedExecutors[:len(c.triedExecutors):len(c.triedExecutors)]
	if len(view.Epoch.Members) > 1 {
		exclude = append(exclude, home.Instance)
	}
	c.executorOutsideEpoch = false
	for !c.lookupOnly {
		id, incarnation, ok := c.call.PickExecutor(exclude)
		if !ok || slices.Contains(exclude, id) {
			break
		}
		if view.Epoch.HasMember(id, incarnation) {
			c.claim.Executor, c.claim.ExecutorIncarnation, c.claim.LookupOnly = id, incarnation, false
			return id
		}
		c.executorOutsideEpoch = true
		exclude = append(exclude, id)
	}
	c.claim.Executor, c.claim.ExecutorIncarnation, c.claim.LookupOnly = "", 0, true
	return ""
}

func (c *entryCall) requestGrant(ctx context.Context, view *board.EpochView, home board.EpochMember) (*wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	c.claim.Epoch = view.Epoch.Number
	c.claim.ClaimSequence++
	c.claim.MaxWaitMicros = time.Until(deadline).Microseconds() * 3 / 4
	message := c.claim
	return c.controller.exchangeClaim(ctx, home, &message)
}

// claimTimeout limits one claim, including the home's request to the executor.
const claimTimeout = 2 * peerRequestTimeout

// awaitHome waits before the next claim, or returns the final result when the
// home has been unavailable for longer than the limit. A wait with another limit
// has another cause and starts anew: the time that passed without an epoch does not
// count as time in which a home did not respond.
func (c *entryCall) awaitHome(ctx context.Context, view *board.EpochView, limit time.Duration) *Result {
	now := time.Now()
	if c.homeUnavailableSince.IsZero() || c.homeUnavailableLimit != limit {
		c.homeUnavailableSince, c.homeUnavailableLimit = now, limit
	}
	if now.Sub(c.homeUnavailableSince) >= limit {
		result := c.finalResult(ctx)
		return &result
	}
	c.lastReason = board.ReasonKeyHomeUnavailable
	c.backOff(ctx, view)
	return nil
}

func (c *entryCall) backOff(ctx context.Context, view *board.EpochView) {
	awaitEpochChange(ctx, view, c.backoff)
	c.backoff = min(2*c.backoff, maxClaimBackoff)
}

func (c *entryCall) handleClaimResponse(ctx context.Context, view *board.EpochView, executor board.InstanceID, response *wire.ClaimResponse) *Result {
	switch response.Status {
	case wire.ClaimGranted:
		c.homeUnavailableSince = time.Time{}
		return c.sendUnderGrant(ctx, view, response, executor)
	case wire.ClaimOutcomeRecorded:
		return &Result{Outcome: response.Record.Outcome, Reason: response.Record.Reason, Record: response.Record}
	case wire.ClaimConflict:
		return &Result{Outcome: board.OutcomeNotRun, Reason: board.ReasonKeyConflict}
	case wire.ClaimOutcomeUnknown:
		return &Result{Outcome: board.OutcomeUnknown, Reason: response.Reason}
	case wire.ClaimNotFound:
		if c.executorOutsideEpoch && c.attempts == 0 {
			// The executor has started lately. The next epoch contains it.
			c.lastReason = board.ReasonNoServer
			if c.awaitHome(ctx, view, epochLagTimeout) == nil {
				return nil
			}
		}
		c.homeProvesNotRun = true
		return &Result{Outcome: board.OutcomeNotRun, Reason: c.noExecutorReason()}
	case wire.ClaimInProgress:
		c.homeUnavailableSince = time.Time{}
		c.lastReason = board.ReasonKeyInProgress
		c.backOff(ctx, view)
		return nil
	case wire.ClaimRefused:
		return c.handleRefusal(ctx, view, executor, response)
	}
	return c.awaitHome(ctx, view, epochLagTimeout)
}

func (c *entryCall) noExecutorReason() board.Reason {
	if c.attempts > 0 {
		return c.lastReason
	}
	return board.ReasonNoServer
}

func (c *entryCall) handleRefusal(ctx context.Context, view *board.EpochView, executor board.InstanceID, response *wire.ClaimResponse) *Result {
	switch reason := response.Reason; reason {
	case board.ReasonKeyHomeUnavailable:
		if response.Epoch == 0 {
			// The home has no epoch of the service yet.
			return c.awaitHome(ctx, view, epochLagTimeout)
		}
		return c.awaitHome(ctx, view, homeUnavailableTimeout)
	case board.ReasonWrongIncarnation, board.ReasonNoServer:
		c.triedExecutors = append(c.triedExecutors, executor)
		c.lastReason = reason
		c.backOff(ctx, view)
		return nil
	}
	// The other reasons concern the key itself, or the home has no memory for the
	// first record of the key.
	c.homeProvesNotRun = true
	return &Result{Outcome: board.OutcomeNotRun, Reason: response.Reason}
}

// sendUnderGrant sends the call under a grant. It returns nil if another grant
// may be claimed.
func (c *entryCall) sendUnderGrant(ctx context.Context, view *board.EpochView, response *wire.ClaimResponse, executor board.InstanceID) *Result {
	c.homeProvesNotRun = true
	if c.attempts >= c.call.MaxAttempts {
		// The unused grant proves that the call has not been executed.
		return &Result{Outcome: board.OutcomeNotRun, Reason: c.lastReason}
	}
	if c.attempts > 0 && c.call.AllowRetry != nil && !c.call.AllowRetry() {
		return &Result{Outcome: board.OutcomeNotRun, Reason: board.ReasonAttemptBudgetSpent}
	}
	c.attempts++
	c.homeProvesNotRun = false
	outcome, reason := c.call.Send(ctx, response.Epoch, response.Grant, c.attempts)
	switch outcome {
	case board.OutcomeSucceeded, board.OutcomeFailed:
		return &Result{Outcome: outcome, Reason: reason, ResponseReceived: true}
	case board.OutcomeNotRun:
		c.provenNotRun, c.claim.GrantUnresolved = true, false
		c.lastReason = reason
		if reason == board.ReasonStaleEpoch {
			// Nodes adopt a new epoch within some milliseconds of each other. The
			// refusal is not a failure of the executor and does not count as an
			// attempt.
			c.attempts--
			c.backOff(ctx, view)
			return nil
		}
		c.triedExecutors = append(c.triedExecutors, executor)
		if c.attempts >= c.call.MaxAttempts {
			return &Result{Outcome: outcome, Reason: reason}
		}
		return nil
	}
	c.provenNotRun, c.claim.GrantUnresolved, c.claim.KeyIsNew = false, true, false
	c.lastReason = reason
	c.triedExecutors = append(c.triedExecutors, executor)
	return nil
}

// finalResult returns the result when the call ends without an outcome.
func (c *entryCall) finalResult(ctx context.Context) Result {
	switch {
	case c.claim.GrantUnresolved:
		return Result{Outcome: board.OutcomeUnknown, Reason: c.unknownOutcomeReason(ctx)}
	case c.lastReason == board.ReasonKeyInProgress:
		// Another request with the same key is in progress.
		return Result{Outcome: board.OutcomeUnknown, Reason: c.lastReason}
	case c.provenNotRun:
		return Result{Outcome: board.OutcomeNotRun, Reason: c.lastReason}
	}
	// The caller supplied the key, so an earlier call may have executed it.
	return Result{Outcome: board.OutcomeUnknown, Reason: c.lastReason}
}

func (c *entryCall) unknownOutcomeReason(ctx context.Context) board.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return board.ReasonDeadlineExceeded
	}
	if c.lastReason == board.ReasonKeyInProgress {
		return board.ReasonConnectionLost
	}
	return c.lastReason
}

// Lookup asks the home of a key for its record and changes nothing.
func (k *KeyController) Lookup(ctx context.Context, id board.KeyID) (*wire.ClaimResponse, error) {
	view := k.view(id.Service)
	if view == nil {
		return refusedResponse(nil, board.ReasonKeyHomeUnavailable), nil
	}
	home, ok := keyhome.Home(view.Epoch.Members, id)
	if !ok {
		return refusedResponse(view, board.ReasonKeyHomeUnavailable), nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return k.exchangeClaim(ctx, home, &wire.Claim{
		ID: id, Epoch: view.Epoch.Number, LookupOnly: true, MaxWaitMicros: peerRequestTimeout.Microseconds(),
	})
}
