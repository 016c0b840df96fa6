package atmostonce

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// homeWait bounds the wait of an entry for a home that cannot be reached or
	// that does not share its epoch yet.
	homeWait = time.Second
	// firstPause and lastPause space the repeated claims of one call.
	firstPause = 10 * time.Millisecond
	lastPause  = 160 * time.Millisecond
)

// Call is a non-idempotent call at its entry.
type Call struct {
	ID            board.KeyID
	RequestDigest string
	RequestID     string
	// KeyGenerated: the entry created the key for this call.
	KeyGenerated bool
	// MaxAttempts bounds the grants that are used.
	MaxAttempts int
	// AllowRetry is asked before a grant after the first one is used; nil allows all.
	// The retry budget belongs here.
	AllowRetry func() bool
	// PickExecutor chooses an executor that is none of the excluded instances, false
	// when there is none.
	PickExecutor func(exclude []board.InstanceID) (board.InstanceID, uint64, bool)
	// Send sends the call once under a grant and returns its outcome and, for
	// not-run and unknown, the reason.
	Send func(ctx context.Context, epoch, grant uint64, attempt int) (board.Outcome, board.Reason)
}

// Result is how a call ended at its entry.
type Result struct {
	Outcome board.Outcome
	Reason  board.Reason
	// ResponseReceived: the last Send holds the response.
	ResponseReceived bool
	// Record holds the recorded response of an earlier run of the key.
	Record *board.KeyRecord
}

// carrier is the state of one call at its entry.
type carrier struct {
	keeper *KeyController
	call   *Call
	claim  wire.Claim
	tried  []board.InstanceID

	attempts int
	pause    time.Duration
	// unreachableSince is when the home stopped answering, zero while it does.
	unreachableSince time.Time
	// proven: an answer in this call proves that the key has not run.
	proven bool
	// last is the reason told when nothing better is known.
	last board.Reason
}

// Invoke claims the key of a call and sends the call at most once per grant. It
// returns when the outcome is known or the deadline of ctx has passed.
func (k *KeyController) Invoke(ctx context.Context, call *Call) Result {
	if verdict := k.judgeKey(call); verdict != nil {
		return *verdict
	}
	c := &carrier{keeper: k, call: call, pause: firstPause, last: board.ReasonKeyHomeUnavailable, proven: call.KeyGenerated}
	c.claim = wire.Claim{ID: call.ID, RequestDigest: call.RequestDigest, RequestID: call.RequestID, KeyIsNew: call.KeyGenerated}
	started := time.Now()
	for ctx.Err() == nil {
		if verdict := c.step(ctx); verdict != nil {
			return c.prove(ctx, *verdict, started)
		}
	}
	return c.prove(ctx, c.giveUp(ctx), started)
}

// prove turns not-run into unknown when an earlier call with the key of the
// caller may have run it in a higher epoch than that of the home that answered.
func (c *carrier) prove(ctx context.Context, v Result, started time.Time) Result {
	if v.Outcome != board.OutcomeNotRun || c.call.KeyGenerated {
		return v
	}
	switch v.Reason {
	case board.ReasonKeyConflict, board.ReasonMalformedRequest, board.ReasonKeyTimeInFuture:
		// These tell of the key or of another request, not of a run.
		return v
	}
	if c.keeper.confirmedSince(ctx, c.call.ID.Service, c.claim.Epoch, started) {
		return v
	}
	return Result{Outcome: board.OutcomeUnknown, Reason: board.ReasonKeyHomeUnavailable}
}

func (k *KeyController) judgeKey(call *Call) *Result {
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

// step makes one claim and acts on its answer. It returns nil to go on.
func (c *carrier) step(ctx context.Context) *Result {
	view := c.keeper.view(c.call.ID.Service)
	if view == nil {
		c.keeper.ForwardEpochNotice(wire.EpochNotice{Service: c.call.ID.Service, EpochNumber: 1})
		return c.unreachable(ctx, nil)
	}
	home, ok := keyhome.Home(view.Epoch.Members, c.call.ID)
	if !ok {
		return c.unreachable(ctx, view)
	}
	executor := c.chooseExecutor(view, home)
	answer, err := c.ask(ctx, view, home)
	if err != nil {
		return c.unreachable(ctx, view)
	}
	c.keeper.learnEpoch(answer.NewerEpoch)
	if answer.Epoch > view.Epoch.Number {
		c.keeper.ForwardEpochNotice(wire.EpochNotice{Service: c.call.ID.Service, EpochNumber: answer.Epoch, SourceAddr: home.PeerAddr})
	}
	return c.act(ctx, view, executor, answer)
}

// chooseExecutor puts an executor of the epoch other than the home into the
// claim. Without one the claim becomes a lookup: the key may have an outcome.
func (c *carrier) chooseExecutor(view *board.EpochView, home board.EpochMember) board.InstanceID {
	exclude := c.tried[:len(c.tried):len(c.tried)]
	if len(view.Epoch.Members) > 1 {
		exclude = append(exclude, home.Instance)
	}
	for range len(view.Epoch.Members) + 1 {
		id, incarnation, ok := c.call.PickExecutor(exclude)
		if !ok {
			break
		}
		if view.Epoch.HasMember(id, incarnation) {
			c.claim.Executor, c.claim.ExecutorIncarnation, c.claim.LookupOnly = id, incarnation, false
			return id
		}
		exclude = append(exclude, id)
	}
	c.claim.Executor, c.claim.ExecutorIncarnation, c.claim.LookupOnly = "", 0, true
	return ""
}

func (c *carrier) ask(ctx context.Context, view *board.EpochView, home board.EpochMember) (*wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	c.claim.Epoch = view.Epoch.Number
	c.claim.ClaimSequence++
	c.claim.MaxWaitMicros = time.Until(deadline).Microseconds() * 3 / 4
	message := c.claim
	answer, err := c.keeper.claimAt(ctx, home, &message)
	// The home may have granted the key even when its answer is lost.
	c.claim.KeyIsNew = false
	return answer, err
}

// claimTimeout bounds one claim; the home asks the executor within it.
const claimTimeout = 2 * exchangeTimeout

// unreachable waits for a home, or gives up when it has waited too long.
func (c *carrier) unreachable(ctx context.Context, view *board.EpochView) *Result {
	now := time.Now()
	if c.unreachableSince.IsZero() {
		c.unreachableSince = now
	}
	if now.Sub(c.unreachableSince) >= homeWait {
		verdict := c.giveUp(ctx)
		return &verdict
	}
	c.last = board.ReasonKeyHomeUnavailable
	c.rest(ctx, view)
	return nil
}

func (c *carrier) rest(ctx context.Context, view *board.EpochView) {
	await(ctx, view, c.pause)
	c.pause = min(2*c.pause, lastPause)
}

func (c *carrier) act(ctx context.Context, view *board.EpochView, executor board.InstanceID, answer *wire.ClaimResponse) *Result {
	switch answer.Status {
	case wire.ClaimGranted:
		c.unreachableSince = time.Time{}
		return c.send(ctx, view, answer, executor)
	case wire.ClaimOutcomeRecorded:
		return &Result{Outcome: answer.Record.Outcome, Reason: answer.Record.Reason, Record: answer.Record}
	case wire.ClaimConflict:
		return &Result{Outcome: board.OutcomeNotRun, Reason: board.ReasonKeyConflict}
	case wire.ClaimOutcomeUnknown:
		return &Result{Outcome: board.OutcomeUnknown, Reason: answer.Reason}
	case wire.ClaimNotFound:
		return &Result{Outcome: board.OutcomeNotRun, Reason: c.reasonWithoutExecutor()}
	case wire.ClaimInProgress:
		c.unreachableSince = time.Time{}
		c.last = board.ReasonKeyInProgress
		c.rest(ctx, view)
		return nil
	case wire.ClaimRefused:
		return c.refused(ctx, view, executor, answer.Reason)
	}
	return c.unreachable(ctx, view)
}

func (c *carrier) reasonWithoutExecutor() board.Reason {
	if c.attempts > 0 {
		return c.last
	}
	return board.ReasonNoServer
}

func (c *carrier) refused(ctx context.Context, view *board.EpochView, executor board.InstanceID, reason board.Reason) *Result {
	switch reason {
	case board.ReasonKeyHomeUnavailable:
		return c.unreachable(ctx, view)
	case board.ReasonWrongIncarnation, board.ReasonNoServer:
		c.tried = append(c.tried, executor)
		c.last = reason
		c.rest(ctx, view)
		return nil
	}
	return &Result{Outcome: board.OutcomeNotRun, Reason: reason}
}

// send uses a grant and returns nil when another one may be asked for.
func (c *carrier) send(ctx context.Context, view *board.EpochView, answer *wire.ClaimResponse, executor board.InstanceID) *Result {
	if c.attempts >= c.call.MaxAttempts {
		// The grant is not used, so it is proof by itself.
		return &Result{Outcome: board.OutcomeNotRun, Reason: c.last}
	}
	if c.attempts > 0 && c.call.AllowRetry != nil && !c.call.AllowRetry() {
		return &Result{Outcome: board.OutcomeNotRun, Reason: board.ReasonAttemptBudgetSpent}
	}
	c.attempts++
	outcome, reason := c.call.Send(ctx, answer.Epoch, answer.Grant, c.attempts)
	switch outcome {
	case board.OutcomeSucceeded, board.OutcomeFailed:
		return &Result{Outcome: outcome, Reason: reason, ResponseReceived: true}
	case board.OutcomeNotRun:
		c.proven, c.claim.GrantUnresolved = true, false
		c.last = reason
		if reason == board.ReasonStaleEpoch {
			// Epochs are changing, which takes all nodes some milliseconds. It is
			// no fault of the executor and uses up no attempt.
			c.attempts--
			c.rest(ctx, view)
			return nil
		}
		c.tried = append(c.tried, executor)
		if c.attempts >= c.call.MaxAttempts {
			return &Result{Outcome: outcome, Reason: reason}
		}
		return nil
	}
	c.proven, c.claim.GrantUnresolved = false, true
	c.last = reason
	c.tried = append(c.tried, executor)
	return nil
}

// giveUp returns what is certain when the time is over.
func (c *carrier) giveUp(ctx context.Context) Result {
	switch {
	case c.claim.GrantUnresolved:
		return Result{Outcome: board.OutcomeUnknown, Reason: c.unsettledReason(ctx)}
	case c.last == board.ReasonKeyInProgress:
		// Another request with the key is running.
		return Result{Outcome: board.OutcomeUnknown, Reason: c.last}
	case c.proven:
		return Result{Outcome: board.OutcomeNotRun, Reason: c.last}
	}
	// The caller brought the key, so an earlier call may have run it.
	return Result{Outcome: board.OutcomeUnknown, Reason: c.last}
}

func (c *carrier) unsettledReason(ctx context.Context) board.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return board.ReasonDeadlineExceeded
	}
	if c.last == board.ReasonKeyInProgress {
		return board.ReasonConnectionLost
	}
	return c.last
}

// Lookup asks the home of a key for its record and changes nothing.
func (k *KeyController) Lookup(ctx context.Context, id board.KeyID) (*wire.ClaimResponse, error) {
	view := k.view(id.Service)
	if view == nil {
		return refused(nil, board.ReasonKeyHomeUnavailable), nil
	}
	home, ok := keyhome.Home(view.Epoch.Members, id)
	if !ok {
		return refused(view, board.ReasonKeyHomeUnavailable), nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return k.claimAt(ctx, home, &wire.Claim{
		ID: id, Epoch: view.Epoch.Number, LookupOnly: true, MaxWaitMicros: exchangeTimeout.Microseconds(),
	})
}
