package quarantine

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/quarantine"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Mesh is the controller of a node on the users' platform. Suspicions travel
// with the exchanges between nodes, see control/directory.
type Mesh struct {
	board   *board.MeshBoard
	writer  *board.Writer[*board.Quarantine]
	bounds  dynconf.Quarantine
	changed <-chan struct{}

	// The fields below belong to the goroutine of Run.
	tracker
	server *board.BackendServer
}

// NewMeshController claims the Quarantine section.
func NewMeshController(b *board.MeshBoard, bounds dynconf.Quarantine, log zerolog.Logger) *Mesh {
	return &Mesh{
		board: b, writer: b.Quarantine.Claim("quarantine"), bounds: bounds, changed: b.LocalServer.Subscribe(),
		tracker: newTracker(b.Self.Instance, log), server: b.LocalServer.Load(),
	}
}

// Name returns the name of the controller.
func (c *Mesh) Name() string { return "quarantine" }

// Run keeps the suspected requests until ctx ends.
func (c *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		changed := false
		select {
		case <-ctx.Done():
			return
		case e := <-c.board.ExecutionResults.Events():
			changed = c.handleExecution(e, time.Now())
		case <-c.changed:
			changed = c.handleServer(time.Now())
		case event := <-c.board.Suspicions.Events():
			changed = c.state.Merge(event, time.Now(), c.bounds.TTL)
		case now := <-ticker.C:
			changed = c.expire(now)
		}
		if changed {
			next := c.state.Snapshot(c.bounds.CrashThreshold)
			next.Advertised = c.state.Reports()
			next.BucketDigests = decide.BucketDigests(next.Advertised)
			c.logChanges(c.writer.Load(), next)
			c.writer.Publish(next)
		}
	}
}

func (c *Mesh) handleExecution(e board.ExecutionResult, now time.Time) bool {
	if e.Kind == board.ExecutionCompleted {
		return c.completed(e, now)
	}
	return c.lose(e, now) && c.accuse([]board.ExecutionResult{e}, now)
}

// handleServer looks for the end of an incarnation of the backend server.
func (c *Mesh) handleServer(now time.Time) bool {
	old := c.server
	c.server = c.board.LocalServer.Load()
	incarnation, ended := decide.EndedServerIncarnation(old, c.server)
	if !ended {
		return false
	}
	c.ended[incarnation] = now
	return c.accuse(decide.SuspectExecutions(incarnation, c.lost, nil, now), now)
}

func (c *Mesh) accuse(suspects []board.ExecutionResult, now time.Time) bool {
	return len(c.died(suspects, now.Add(c.bounds.TTL))) > 0
}

// completed clears a suspect that completed on another backend server.
func (c *Mesh) completed(e board.ExecutionResult, now time.Time) bool {
	entry, harmless := c.harmless(c.writer.Load(), e)
	return harmless && c.state.ClearCrashes(e.Digest, entry.Deaths, now.Add(c.bounds.TTL))
}
