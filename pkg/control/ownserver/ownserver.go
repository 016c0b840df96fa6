// Package ownserver keeps the state of the backend server beside this node. It
// is the writer of the section Server.
package ownserver

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/server"
)

// Controller applies announcements in the order of their arrival.
type Controller struct {
	board  *board.MeshBoard
	writer *board.Writer[*board.BackendServer]
	log    zerolog.Logger
}

// New claims the section.
func New(b *board.MeshBoard, log zerolog.Logger) *Controller {
	return &Controller{board: b, writer: b.LocalServer.Claim("ownserver"), log: log}
}

// Name returns the name of the controller.
func (c *Controller) Name() string { return "ownserver" }

// Run applies announcements until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.board.Announcements.Events():
			c.apply(event, time.Now())
		}
	}
}

func (c *Controller) apply(event board.ServerEvent, now time.Time) {
	current := c.writer.Load()
	next, verdict := server.Apply(*current, event, now)
	if verdict != server.Stale && next != *current {
		c.writer.Publish(&next)
	}
	if verdict == server.Applied {
		c.log.Info().Str("event", "server_state").Str("server", next.ID).Str("service", next.Service).
			Str("state", next.State.String()).Int64("born", next.StartMillis).Int64("sequence", next.Sequence).
			Bool("down", next.Down).Int("slots", next.Slots).Uint8("kind", uint8(event.Kind)).Send()
	}
	if verdict == server.Stale {
		c.log.Info().Str("event", "announcement_stale").Str("server", event.Server.ID).Int64("born", event.Server.StartMillis).
			Int64("sequence", event.Server.Sequence).Str("state", event.Server.State.String()).
			Str("in_force", current.ID).Int64("in_force_sequence", current.Sequence).Send()
	}
	if event.Applied != nil {
		// An outdated announcement that says ready changes nothing; one that says
		// draining must not be acknowledged unless it is in force.
		event.Applied <- verdict != server.Stale || event.Server.State < board.ServerDraining || event.Server.ID != current.ID
	}
}

// AnnounceAndWait posts an event and waits until it is in force, at most for wait.
func AnnounceAndWait(b *board.MeshBoard, event board.ServerEvent, wait time.Duration) bool {
	event.Applied = make(chan bool, 1)
	if !b.Announcements.Post(event) {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case ok := <-event.Applied:
		return ok
	case <-timer.C:
		return false
	}
}
