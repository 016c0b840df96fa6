// Package quarantine writes the Quarantine section: the suspect requests, which
// were running when a backend server crashed, and which of them are quarantined
// and refused because they have crashed too many backend servers.
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

// expiryInterval is the time between checks for expired entries.
const expiryInterval = time.Second

// Controller writes the Quarantine section.
type Controller struct {
	board         *board.Board
	writer        *board.Writer[*board.Quarantine]
	log           zerolog.Logger
	serverUpdates <-chan struct{}
	dial          DialFunc

	// Only the goroutine of Run uses the fields below. lastServer is the last
	// state of the backend server that was handled.
	suspectTracker
	lastServer *board.LocalServer
	probing    bool
	probeDone  chan struct{}
}

// New returns a controller and claims the Quarantine section.
func New(b *board.Board, log zerolog.Logger) *Controller { return NewWithDialer(b, log, dialTCP) }

// NewWithDialer is New with another function that checks whether the backend
// server accepts connections.
func NewWithDialer(b *board.Board, log zerolog.Logger, dial DialFunc) *Controller {
	return &Controller{
		board: b, writer: b.Quarantine.Claim("quarantine"), log: log,
		serverUpdates: b.LocalServer.Subscribe(), dial: dial,
		suspectTracker: newSuspectTracker(b.Members.Load().Self, log), lastServer: b.LocalServer.Load(),
		probeDone: make(chan struct{}, 1),
	}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "quarantine" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		changed := false
		select {
		case <-ctx.Done():
			return
		case e := <-c.board.ExecutionResults.Events():
			changed = c.handleExecution(ctx, e, time.Now())
		case <-c.serverUpdates:
			changed = c.handleServerChange(time.Now())
		case r := <-c.board.QuarantineRumors.Events():
			changed = c.handleRumor(r, time.Now())
		case lift := <-c.board.QuarantineLifts.Events():
			changed = c.liftQuarantine(lift, time.Now())
		case now := <-ticker.C:
			changed = c.removeExpired(now)
		case <-c.probeDone:
			c.probing = false
		}
		if changed {
			c.publish()
		}
	}
}

func (c *Controller) publish() {
	next := c.suspectRequests.Snapshot(c.board.Config.Load().Quarantine.CrashThreshold)
	c.logChanges(c.writer.Load(), next)
	c.writer.Publish(next)
}

func (c *Controller) handleExecution(ctx context.Context, e board.ExecutionResult, now time.Time) bool {
	if e.Kind == board.ExecutionCompleted {
		return c.handleCompletion(e, now)
	}
	if c.recordLostConnection(e, now) {
		return c.recordSuspects([]board.ExecutionResult{e}, now)
	}
	c.probeServer(ctx, e)
	return false
}

// handleServerChange records the suspects if an incarnation of the backend server
// has ended: executions with a lost connection and those still running.
func (c *Controller) handleServerChange(now time.Time) bool {
	old := c.lastServer
	c.lastServer = c.board.LocalServer.Load()
	incarnation, ended := decide.EndedIncarnation(old, c.lastServer)
	if !ended {
		return false
	}
	c.endedIncarnations[incarnation] = now
	var running []board.ExecutionResult
	c.board.Requests.Each(func(r *board.RequestRecord) bool {
		if r.ExecutionResult != nil && r.State() == board.RequestRunning {
			running = append(running, r.ExecutionResult())
		}
		return len(running) < decide.MaxLostExecutions
	})
	return c.recordSuspects(decide.SuspectExecutions(incarnation, c.lostExecutions, running, now), now)
}

// recordSuspects records a crash of the backend server for each suspect execution
// and announces the new crashes to other nodes by rumor. It reports whether there
// were any.
func (c *Controller) recordSuspects(suspects []board.ExecutionResult, now time.Time) bool {
	until := now.Add(c.board.Config.Load().Quarantine.TTL)
	recorded := c.recordCrashes(suspects, until)
	for _, s := range recorded {
		c.broadcast(crashRumorID("death", s.Digest, s.Deaths[0]), until, wire.QuarantineRumor{
			RequestDigest: s.Digest, RequestSummary: s.Summary, Crashes: s.Deaths,
		})
	}
	return len(recorded) > 0
}

// handleCompletion clears a suspect request that has completed on an incarnation
// other than those that crashed while running it.
func (c *Controller) handleCompletion(e board.ExecutionResult, now time.Time) bool {
	entry, harmless := c.harmlessEntry(c.writer.Load(), e)
	return harmless && c.clearEntry(entry, now)
}

func (c *Controller) liftQuarantine(lift board.QuarantineLift, now time.Time) bool {
	entry, found := c.writer.Load().Entries[lift.Digest]
	if !found {
		return false
	}
	c.log.Info().Str("digest", lift.Digest).Str("request", entry.Summary).Msg("quarantine lifted by an operator")
	return c.clearEntry(entry, now)
}

// clearEntry clears the crashes of an entry on this node and, by rumor, on the
// other nodes.
func (c *Controller) clearEntry(entry board.QuarantineEntry, now time.Time) bool {
	until := now.Add(c.board.Config.Load().Quarantine.TTL)
	if !c.suspectRequests.ClearCrashes(entry.Digest, entry.Deaths, until) {
		return false
	}
	c.broadcast("quarantine/clear/"+uuid.NewString(), until, wire.QuarantineRumor{RequestDigest: entry.Digest, Cleared: entry.Deaths})
	return true
}

func (c *Controller) broadcast(id string, until time.Time, payload wire.QuarantineRumor) {
	data, err := wire.EncodeRumorPayload(payload)
	if err != nil {
		c.log.Error().Err(err).Msg("failed to encode a quarantine rumor")
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
	// The sender's clock may be ahead; the entry must not last longer than the TTL.
	until := time.UnixMilli(r.ExpiresAtMillis)
	if limit := now.Add(c.board.Config.Load().Quarantine.TTL); until.After(limit) {
		until = limit
	}
	recorded := c.suspectRequests.RecordCrashes(payload.RequestDigest, payload.RequestSummary, payload.Crashes, until)
	cleared := c.suspectRequests.ClearCrashes(payload.RequestDigest, payload.Cleared, until)
	return recorded || cleared
}
