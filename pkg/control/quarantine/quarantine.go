// Package quarantine keeps the Quarantine section: requests that were running
// when backend servers died, and those refused because of it.
package quarantine

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/quarantine"
	"mangostand.example/mangostand/pkg/wire"
)

// expireInterval spaces the checks for entries that have ended.
const expireInterval = time.Second

// Controller writes the Quarantine section.
type Controller struct {
	board     *board.Board
	writer    *board.Writer[*board.Quarantine]
	log       zerolog.Logger
	localWake <-chan struct{}
	dial      Dialer

	// The fields below belong to the goroutine of Run.
	tracker
	local   *board.LocalServer
	probing bool
	probed  chan struct{}
}

// New claims the Quarantine section.
func New(b *board.Board, log zerolog.Logger) *Controller { return NewWithDialer(b, log, dialTCP) }

// NewWithDialer is New with another way to find out whether the backend server
// listens.
func NewWithDialer(b *board.Board, log zerolog.Logger, dial Dialer) *Controller {
	return &Controller{
		board: b, writer: b.Quarantine.Claim("quarantine"), log: log,
		localWake: b.LocalServer.Subscribe(), dial: dial,
		tracker: newTracker(b.Members.Load().Self, log), local: b.LocalServer.Load(),
		probed: make(chan struct{}, 1),
	}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "quarantine" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		changed := false
		select {
		case <-ctx.Done():
			return
		case e := <-c.board.ExecutionResults.Events():
			changed = c.handleExecution(ctx, e, time.Now())
		case <-c.localWake:
			changed = c.handleLocal(time.Now())
		case r := <-c.board.QuarantineRumors.Events():
			changed = c.handleRumor(r, time.Now())
		case lift := <-c.board.QuarantineLifts.Events():
			changed = c.lift(lift, time.Now())
		case now := <-ticker.C:
			changed = c.expire(now)
		case <-c.probed:
			c.probing = false
		}
		if changed {
			c.publish()
		}
	}
}

func (c *Controller) publish() {
	next := c.state.Snapshot(c.board.Config.Load().Quarantine.CrashThreshold)
	c.logChanges(c.writer.Load(), next)
	c.writer.Publish(next)
}

func (c *Controller) handleExecution(ctx context.Context, e board.ExecutionResult, now time.Time) bool {
	if e.Kind == board.ExecutionCompleted {
		return c.completed(e, now)
	}
	if c.lose(e, now) {
		return c.accuse([]board.ExecutionResult{e}, now)
	}
	c.probe(ctx, e)
	return false
}

// handleLocal looks for the end of an incarnation of the backend server.
func (c *Controller) handleLocal(now time.Time) bool {
	old := c.local
	c.local = c.board.LocalServer.Load()
	incarnation, ended := decide.EndedIncarnation(old, c.local)
	if !ended {
		return false
	}
	c.ended[incarnation] = now
	var running []board.ExecutionResult
	c.board.Requests.Each(func(r *board.RequestRecord) bool {
		if r.ExecutionResult != nil && r.State() == board.RequestRunning {
			running = append(running, r.ExecutionResult())
		}
		return len(running) < decide.MaxLostExecutions
	})
	return c.accuse(decide.SuspectExecutions(incarnation, c.lost, running, now), now)
}

// accuse records the death of the backend server under the suspects and tells
// the other nodes.
func (c *Controller) accuse(suspects []board.ExecutionResult, now time.Time) bool {
	until := now.Add(c.board.Config.Load().Quarantine.TTL)
	died := c.died(suspects, until)
	for _, s := range died {
		c.tell(rumorID("death", s.Digest, s.Deaths[0]), until, wire.QuarantineRumor{
			RequestDigest: s.Digest, RequestSummary: s.Summary, Crashes: s.Deaths,
		})
	}
	return len(died) > 0
}

// completed clears a suspect that completed on another backend server.
func (c *Controller) completed(e board.ExecutionResult, now time.Time) bool {
	entry, harmless := c.harmless(c.writer.Load(), e)
	return harmless && c.clear(entry, now)
}

func (c *Controller) lift(order board.QuarantineLift, now time.Time) bool {
	entry, found := c.writer.Load().Entries[order.Digest]
	if !found {
		return false
	}
	c.log.Info().Str("digest", order.Digest).Str("request", entry.Summary).Msg("quarantine lifted by an operator")
	return c.clear(entry, now)
}

// clear takes back the deaths of an entry here and on the other nodes.
func (c *Controller) clear(entry board.QuarantineEntry, now time.Time) bool {
	until := now.Add(c.board.Config.Load().Quarantine.TTL)
	if !c.state.ClearCrashes(entry.Digest, entry.Deaths, until) {
		return false
	}
	c.tell("quarantine/clear/"+uuid.NewString(), until, wire.QuarantineRumor{RequestDigest: entry.Digest, Cleared: entry.Deaths})
	return true
}

func (c *Controller) tell(id string, until time.Time, payload wire.QuarantineRumor) {
	data, err := wire.EncodeRumorPayload(payload)
	if err != nil {
		c.log.Error().Err(err).Msg("quarantine rumor cannot be encoded")
		return
	}
	c.board.OutgoingRumors.Post(board.Rumor{Kind: board.RumorQuarantine, ID: id, Payload: data, ExpiresAtMillis: until.UnixMilli()})
}

func (c *Controller) handleRumor(r board.Rumor, now time.Time) bool {
	var payload wire.QuarantineRumor
	if err := wire.DecodeRumorPayload(r.Payload, &payload); err != nil || payload.RequestDigest == "" {
		c.log.Warn().Str("rumor", r.ID).Msg("refused a malformed quarantine rumor")
		return false
	}
	// A clock that is ahead must not stretch a quarantine.
	until := time.UnixMilli(r.ExpiresAtMillis)
	if limit := now.Add(c.board.Config.Load().Quarantine.TTL); until.After(limit) {
		until = limit
	}
	died := c.state.RecordCrashes(payload.RequestDigest, payload.RequestSummary, payload.Crashes, until)
	cleared := c.state.ClearCrashes(payload.RequestDigest, payload.Cleared, until)
	return died || cleared
}
