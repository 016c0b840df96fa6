// Package stopnotice tells other nodes that this one stops, so that they refuse the
// queued calls of its callers that cannot end before the process does. It reads the
// sections Shutdown and Fleet and writes none.
package stopnotice

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/guard"
	"mangostand.example/mangostand/pkg/mesh"
)

const (
	// noticeInterval is the time between two notices to a node. A lost one is made up for
	// by the next, and calls that were offered to a further node are covered.
	noticeInterval = 250 * time.Millisecond
	// noticeTimeout bounds one notice.
	noticeTimeout = 400 * time.Millisecond
)

// SendFunc sends a notice to the node at an address.
type SendFunc func(ctx context.Context, addr string, notice mesh.StopNotice) error

// Controller sends the notices.
type Controller struct {
	board *board.MeshBoard
	send  SendFunc
	log   zerolog.Logger
}

// New returns the controller.
func New(b *board.MeshBoard, send SendFunc, log zerolog.Logger) *Controller {
	return &Controller{board: b, send: send, log: log}
}

// Name returns the controller name.
func (c *Controller) Name() string { return "stopnotice" }

// Run waits until the node stops and then sends notices until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	shutdown := c.board.Shutdown.Subscribe()
	for c.board.Shutdown.Load().ExitAt.IsZero() {
		select {
		case <-ctx.Done():
			return
		case <-shutdown:
		}
	}
	ticker := time.NewTicker(noticeInterval)
	defer ticker.Stop()
	for {
		c.notify(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// notify sends a notice to each other node at which calls of this one are.
func (c *Controller) notify(ctx context.Context, now time.Time) {
	notice := mesh.StopNotice{PeerAddr: c.board.Self.PeerAddr, TimeLeftMicros: c.board.Shutdown.Load().ExitAt.Sub(now).Microseconds()}
	for id, endpoint := range c.board.Fleet.Load().ByInstance {
		if id == c.board.Self.Instance || endpoint.OwnInFlight() <= 0 {
			continue
		}
		addr := endpoint.Record.PeerAddr
		go func() {
			defer guard.Recover(c.log, "stop notice", nil)
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			if err := c.send(ctx, addr, notice); err != nil {
				c.log.Info().Err(err).Str("event", "stop_notice_failed").Str("node", string(id)).Send()
			}
		}()
	}
}
