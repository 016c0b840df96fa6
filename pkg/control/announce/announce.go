// Package announce writes the LocalServer section: the state of the node's
// local backend server, derived from its announcements and from failed
// connections to it.
package announce

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
)

// heartbeatTimeout is the time without a heartbeat after which the backend
// server is taken to be down. Heartbeats arrive every second.
const heartbeatTimeout = 3 * time.Second

// checkInterval is the time between two checks of the heartbeat timeout.
const checkInterval = 500 * time.Millisecond

// Controller writes the LocalServer section.
type Controller struct {
	board  *board.Board
	writer *board.Writer[*board.LocalServer]
	log    zerolog.Logger

	lastHeartbeat time.Time
	// drainRequested keeps the backend server draining across later heartbeats of
	// the same incarnation. A restarted backend server has a new incarnation and
	// serves again.
	drainRequested bool
	// leftIncarnation is the incarnation that has announced its departure, 0 when
	// none has. Its late heartbeats are ignored.
	leftIncarnation uint64
}

// New claims the LocalServer section.
func New(b *board.Board, log zerolog.Logger) *Controller {
	return &Controller{board: b, writer: b.LocalServer.Claim("announce"), log: log}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "announce" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-c.board.Announcements.Events():
			c.handle(a, time.Now())
		case <-ticker.C:
			c.checkHeartbeatTimeout(time.Now())
		}
	}
}

func (c *Controller) handle(a board.Announcement, now time.Time) {
	current := c.writer.Load()
	switch a.Kind {
	case board.AnnounceHeartbeat:
		c.handleHeartbeat(current, a.Server, now)
	case board.AnnounceDrain:
		c.drainRequested = true
		c.publishChange(current, func(l *board.LocalServer) { l.Draining = true })
	case board.AnnounceStop:
		c.publishChange(current, func(l *board.LocalServer) { l.Draining, l.Stopping = true, true })
	case board.AnnounceStopped:
		c.publishChange(current, func(l *board.LocalServer) { l.Draining, l.Stopping, l.Stopped = true, true, true })
	case board.AnnounceLeave:
		c.leftIncarnation = current.Incarnation
		c.publishChange(current, func(l *board.LocalServer) { l.Announced = false })
	case board.AnnounceDown:
		// A failure that the executor saw on an earlier incarnation is ignored.
		if current.Announced && a.Server.Incarnation == current.Incarnation {
			c.log.Warn().Str("backend_server", current.Addr).Msg("backend server refused a connection")
			c.publishChange(current, func(l *board.LocalServer) { l.Announced = false })
		}
	}
}

func (c *Controller) handleHeartbeat(current *board.LocalServer, next board.LocalServer, now time.Time) {
	if next.Incarnation == c.leftIncarnation && c.leftIncarnation != 0 {
		return
	}
	c.lastHeartbeat = now
	if next.Incarnation != current.Incarnation {
		c.drainRequested = false
	}
	next.Stopping, next.Stopped = current.Stopping, current.Stopped
	next.Draining = next.Draining || c.drainRequested || next.Stopping
	if next != *current {
		c.writer.Publish(&next)
	}
}

// publishChange applies change to a copy of the current state and publishes the
// copy if it differs.
func (c *Controller) publishChange(current *board.LocalServer, change func(*board.LocalServer)) {
	next := *current
	change(&next)
	if next != *current {
		c.writer.Publish(&next)
	}
}

// checkHeartbeatTimeout marks a backend server without a recent heartbeat as not
// announced.
func (c *Controller) checkHeartbeatTimeout(now time.Time) {
	current := c.writer.Load()
	if current.Announced && now.Sub(c.lastHeartbeat) > heartbeatTimeout {
		c.log.Warn().Str("backend_server", current.Addr).Msg("no heartbeat from the backend server")
		c.publishChange(current, func(l *board.LocalServer) { l.Announced = false })
	}
}
