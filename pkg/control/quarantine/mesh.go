package quarantine

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/quarantine"
	"mangostand.example/mangostand/pkg/dynconf"
)

// MeshController is the quarantine controller of a mesh node, a node on the users'
// platform. Its reports on suspect requests are not sent as rumors but with the
// exchanges between nodes, see control/directory.
type MeshController struct {
	board         *board.MeshBoard
	writer        *board.Writer[*board.Quarantine]
	config        dynconf.Quarantine
	serverUpdates <-chan struct{}

	// Only the goroutine of Run uses the fields below.
	suspectTracker
	lastServer *board.BackendServer
}

// NewMeshController returns a controller and claims the Quarantine section.
func NewMeshController(b *board.MeshBoard, config dynconf.Quarantine, log zerolog.Logger) *MeshController {
	return &MeshController{
		board: b, writer: b.Quarantine.Claim("quarantine"), config: config, serverUpdates: b.LocalServer.Subscribe(),
		suspectTracker: newSuspectTracker(b.Self.Instance, log), lastServer: b.LocalServer.Load(),
	}
}

// Name returns the name of the controller.
func (c *MeshController) Name() string { return "quarantine" }

// Run updates the Quarantine section until ctx is done.
func (c *MeshController) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		changed := false
		select {
		case <-ctx.Done():
			return
		case e := <-c.board.ExecutionResults.Events():
			changed = c.handleExecution(e, time.Now())
		case <-c.serverUpdates:
			changed = c.handleServerChange(time.Now())
		case reports := <-c.board.Suspicions.Events():
			changed = c.suspectRequests.Merge(reports, time.Now(), c.config.TTL)
		case now := <-ticker.C:
			changed = c.removeExpired(now)
		}
		if changed {
			c.clearCompleted(time.Now())
			next := c.suspectRequests.Snapshot(c.config.CrashThreshold)
			next.Advertised = c.suspectRequests.Reports()
			next.BucketDigests = decide.BucketDigests(next.Advertised)
			c.logChanges(c.writer.Load(), next)
			c.writer.Publish(next)
		}
	}
}

func (c *MeshController) handleExecution(e board.ExecutionResult, now time.Time) bool {
	if e.Kind == board.ExecutionCompleted {
		return c.handleCompletion(e, now)
	}
	return c.recordLostConnection(e, now) && c.recordSuspects([]board.ExecutionResult{e}, now)
}

// handleServerChange records the suspects if an incarnation of the backend server
// has ended.
func (c *MeshController) handleServerChange(now time.Time) bool {
	old := c.lastServer
	c.lastServer = c.board.LocalServer.Load()
	incarnation, ended := decide.EndedServerIncarnation(old, c.lastServer)
	if !ended {
		return false
	}
	c.endedIncarnations[incarnation] = now
	return c.recordSuspects(decide.SuspectExecutions(incarnation, c.lostExecutions, nil, now), now)
}

func (c *MeshController) recordSuspects(suspects []board.ExecutionResult, now time.Time) bool {
	return len(c.recordCrashes(suspects, now.Add(c.config.TTL))) > 0
}

// clearCompleted clears the suspect requests that completed lately on the local backend
// server, and not on an incarnation that crashed while running them. A request that is
// sent often is likely to be running wherever another one crashes a backend server, and
// once it is quarantined, nothing else could clear it.
func (c *MeshController) clearCompleted(now time.Time) {
	uncleared := c.suspectRequests.Snapshot(c.config.CrashThreshold).Entries
	if len(uncleared) == 0 {
		return
	}
	completed := c.board.CompletedRequests.Since(now.Add(-decide.SuspectWindow))
	for digest, entry := range uncleared {
		r, found := completed[digest]
		if found && decide.ProvesHarmless(entry.Deaths, c.incarnationOf(board.ExecutionResult{ServerIncarnation: r.ServerIncarnation})) {
			c.suspectRequests.ClearCrashes(digest, entry.Deaths, now.Add(c.config.TTL))
			c.log.Info().Str("event", "suspect_cleared").Str("digest", digest).Str("request", entry.Summary).Send()
		}
	}
}

// handleCompletion clears a suspect request that has completed on an incarnation
// other than those that crashed while running it.
func (c *MeshController) handleCompletion(e board.ExecutionResult, now time.Time) bool {
	entry, harmless := c.harmlessEntry(c.writer.Load(), e)
	return harmless && c.suspectRequests.ClearCrashes(e.Digest, entry.Deaths, now.Add(c.config.TTL))
}
