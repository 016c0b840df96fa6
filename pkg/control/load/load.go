// Package load writes the Endpoints section: a table with one endpoint for each
// instance that serves a service. The call path updates the counters of the
// endpoints.
package load

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// Controller writes the Endpoints section.
type Controller struct {
	board         *board.Board
	writer        *board.Writer[*board.EndpointTable]
	memberUpdates <-chan struct{}
}

// New claims the Endpoints section.
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

// update publishes a table with one endpoint per member if it differs from the
// current one. The counters of an endpoint are kept while the node and its
// backend server keep their incarnations.
func (c *Controller) update() {
	old := c.writer.Load()
	next := &board.EndpointTable{ByInstance: map[board.InstanceID]*board.Endpoint{}}
	changed := false
	now := time.Now()
	for _, members := range c.board.Members.Load().ByService {
		for _, m := range members {
			endpoint, kept := reuseEndpoint(old.ByInstance[m.Instance], m, now)
			next.ByInstance[m.Instance] = endpoint
			changed = changed || !kept
		}
	}
	if changed || len(next.ByInstance) != len(old.ByInstance) {
		c.writer.Publish(next)
	}
}

// reuseEndpoint returns the old endpoint if its record is unchanged. A changed
// record of the same incarnation gets a new endpoint that shares the counters; a
// new incarnation gets new counters and a slow start. The second result is true
// if the old endpoint was returned.
func reuseEndpoint(old *board.Endpoint, m board.Member, now time.Time) (*board.Endpoint, bool) {
	if old == nil || old.Member.Incarnation != m.Incarnation || old.Member.ServerIncarnation != m.ServerIncarnation {
		return board.NewSlowStartEndpoint(m, now), false
	}
	if old.Member == m {
		return old, true
	}
	return old.WithMember(m), false
}
