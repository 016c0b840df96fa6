// Package localserver writes the LocalServer section of a mesh node: the state of
// the node's local backend server.
package localserver

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/server"
)

// Controller applies announcements in the order in which they arrive.
type Controller struct {
	board  *board.MeshBoard
	writer *board.Writer[*board.BackendServer]
	log    zerolog.Logger
}

// New claims the LocalServer section.
func New(b *board.MeshBoard, log zerolog.Logger) *Controller {
	return &Controller{board: b, writer: b.LocalServer.Claim("ownserver"), log: log}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "ownserver" }

// Run applies announcements until ctx is done.
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

// apply publishes the state after an event and tells a waiting sender whether
// the event is acknowledged.
func (c *Controller) apply(event board.ServerEvent, now time.Time) {
	current := c.writer.Load()
	next, result := server.Apply(*current, event, now)
	if next != *current {
		// A stale leaving of another backend server is remembered.
		c.writer.Publish(&next)
	}
	if result == server.Applied {
		c.log.Info().Str("event", "server_state").Str("server", next.ID).Str("service", next.Service).
			Str("state", next.State.String()).Int64("born", next.StartMillis).Int64("sequence", next.Sequence).
			Bool("down", next.Down).Bool("unconfirmed", next.Unconfirmed).Bool("health_refused", next.HealthRefused).Int("slots", next.Slots).Bool("warmup_reported", next.WarmupReported).
			Dur("warmup_left", max(0, next.WarmupEndsAt.Sub(now))).Uint8("kind", uint8(event.Kind)).
			Str("earlier", next.Earlier.ID).Str("earlier_state", next.Earlier.State.String()).Bool("earlier_current", next.Earlier.Current).Send()
	}
	if result == server.Stale {
		c.log.Info().Str("event", "announcement_stale").Str("server", event.Server.ID).Int64("born", event.Server.StartMillis).
			Int64("sequence", event.Server.Sequence).Str("state", event.Server.State.String()).
			Str("in_force", current.ID).Int64("in_force_sequence", current.Sequence).
			Str("earlier", current.Earlier.ID).Str("earlier_state", current.Earlier.State.String()).Send()
	}
	if event.Applied != nil {
		// A stale announcement with the state ready is acknowledged because it
		// changes nothing, and so is any stale announcement of another backend
		// server. A stale drain of the current server must not be acknowledged
		// because it has not taken effect.
		event.Applied <- result != server.Stale || event.Server.State < board.ServerDraining || event.Server.ID != current.ID
	}
}

// AnnounceAndWait posts an event and waits until it is applied and, for a drain or a
// leaving, until the store holds it, at most for timeout. It reports whether the event
// was acknowledged.
func AnnounceAndWait(b *board.MeshBoard, event board.ServerEvent, timeout time.Duration) bool {
	started := time.Now()
	event.Applied = make(chan bool, 1)
	if !b.Announcements.Post(event) {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case ok := <-event.Applied:
		if ok && event.Server.State >= board.ServerDraining {
			awaitWithdrawalRecord(b, event.Server, min(maxRecordWait, timeout-time.Since(started)))
		}
		return ok
	case <-timer.C:
		return false
	}
}

// maxRecordWait bounds the wait for a slow store. Acknowledgements that take longer than
// a second are worth less, and their backend server sends them again.
const maxRecordWait = 400 * time.Millisecond

// awaitWithdrawalRecord waits until the store holds that the backend server drains or
// leaves, because the acknowledgement binds the next process of this node as well. It
// does not wait while the store is unreachable; then only other nodes receive it.
func awaitWithdrawalRecord(b *board.MeshBoard, withdrawn board.BackendServer, timeout time.Duration) {
	updates := b.Store.Subscribe()
	defer b.Store.Unsubscribe(updates)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		local, status := b.LocalServer.Load(), b.Store.Load()
		if local.ID != withdrawn.ID || !status.Reachable || status.HasWithdrawal(local) {
			return
		}
		select {
		case <-updates:
		case <-timer.C:
			return
		}
	}
}
