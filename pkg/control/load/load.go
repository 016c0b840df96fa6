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
	writer        *board.Writer[*board.LoadTable]
	memberUpdates <-chan struct{}
}

// New claims the Load section.
func New(b *board.Board) *Controller {
	return &Controller{board: b, writer: b.Load.Claim("load"), memberUpdates: b.Members.Subscribe()}
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
	next := &board.LoadTable{Cells: map[board.InstanceID]*board.Cell{}}
	changed := false
	now := time.Now()
	for _, members := range c.board.Members.Load().ByService {
		for _, m := range members {
			cell, kept := reuseEndpoint(old.Cells[m.Instance], m, now)
			next.Cells[m.Instance] = cell
			changed = changed || !kept
		}
	}
	if changed || len(next.Cells) != len(old.Cells) {
		c.writer.Publish(next)
	}
}

// reuseEndpoint returns the old cell when it describes the same record. A changed
// record of the same incarnation keeps the figures in a new cell; a new
// incarnation starts cold.
func reuseEndpoint(old *board.Cell, m board.Member, now time.Time) (*board.Cell, bool) {
	if old == nil || old.Member.Incarnation != m.Incarnation || old.Member.ServerIncarnation != m.ServerIncarnation {
		return board.NewColdCell(m, now), false
	}
	if old.Member == m {
		return old, true
	}
	return old.WithMember(m), false
}
