// Package load keeps the table of cells: one cell for each instance that
// carries a service. The call path updates the cells.
package load

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// Controller writes the Load section.
type Controller struct {
	board         *board.Board
	writer        *board.Writer[*board.EndpointTable]
	memberUpdates <-chan struct{}
}

// New claims the Load section.
func New(b *board.Board) *Controller {
	return &Controller{board: b, writer: b.Endpoints.Claim("load"), memberUpdates: b.Members.Subscribe()}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "load" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	for {
		c.update()
		select {
		case <-ctx.Done():
			return
		case <-c.memberUpdates:
		}
	}
}

// update publishes a table with one cell per member. A cell stays the same
// while the node and its backend server keep their incarnations.
func (c *Controller) update() {
	old := c.writer.Load()
	next := &board.EndpointTable{ByInstance: map[board.InstanceID]*board.Endpoint{}}
	changed := false
	now := time.Now()
	for _, members := range c.board.Members.Load().ByService {
		for _, m := range members {
			cell, kept := reuseEndpoint(old.ByInstance[m.Instance], m, now)
			next.ByInstance[m.Instance] = cell
			changed = changed || !kept
		}
	}
	if changed || len(next.ByInstance) != len(old.ByInstance) {
		c.writer.Publish(next)
	}
}

// reuseEndpoint returns the old cell when it describes the same record. A changed
// record of the same incarnation keeps the figures in a new cell; a new
// incarnation starts cold.
func reuseEndpoint(old *board.Endpoint, m board.Member, now time.Time) (*board.Endpoint, bool) {
	if old == nil || old.Member.Incarnation != m.Incarnation || old.Member.ServerIncarnation != m.ServerIncarnation {
		return board.NewSlowStartEndpoint(m, now), false
	}
	if old.Member == m {
		return old, true
	}
	return old.WithMember(m), false
}
