// Package telemetry reads the board once per second and updates the gauges and
// counters of the node's metrics. It writes no section.
package telemetry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/peer"
)

// interval is the time between two updates.
const interval = time.Second

// Controller updates the metrics.
type Controller struct {
	board   *board.Board
	traffic *peer.Traffic
	scope   tally.Scope
	// WireTraffic returns the traffic of the connections between nodes and the
	// number of open ones. It may be nil, then these metrics are not exported. It
	// must be set before Run.
	WireTraffic func() (peer.WireTraffic, int)
	// lastTotals holds the total that each counter has reached, by metric name and
	// tags.
	lastTotals map[string]uint64
}

// New returns the controller for a node's board and the traffic of its exchanges
// with other nodes.
func New(b *board.Board, traffic *peer.Traffic, scope tally.Scope) *Controller {
	return &Controller{board: b, traffic: traffic, scope: scope, lastTotals: map[string]uint64{}}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "telemetry" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		c.update()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Controller) update() {
	c.scope.Gauge("calls_in_flight").Update(float64(c.board.Requests.Len()))
	c.scope.Gauge("config_version").Update(float64(c.board.Config.Load().Version))
	c.updateMembers()
	c.updateLocalServer()
	c.updateTraffic()
	c.updateDropped("gossip", c.board.Gossip.Dropped())
	c.updateDropped("announcements", c.board.Announcements.Dropped())
	c.updateDropped("rumors_out", c.board.OutgoingRumors.Dropped())
}

func (c *Controller) updateMembers() {
	var byState [board.MemberDead + 1]int
	for _, m := range c.board.Members.Load().ByInstance {
		if int(m.State) < len(byState) {
			byState[m.State]++
		}
	}
	for state, n := range byState {
		tags := map[string]string{"state": board.MemberState(state).String()}
		c.scope.Tagged(tags).Gauge("members").Update(float64(n))
	}
}

func (c *Controller) updateLocalServer() {
	local := c.board.LocalServer.Load()
	ready := 0.0
	if local.Ready() {
		ready = 1
	}
	c.scope.Gauge("backend_server_ready").Update(ready)
	c.scope.Gauge("backend_server_slots").Update(float64(local.Slots))
	c.scope.Gauge("backend_server_reported_in_flight").Update(float64(local.ReportedInFlight))
}

// updateCounter raises a counter to total.
func (c *Controller) updateCounter(name string, total uint64) {
	c.scope.Counter(name).Inc(int64(total - c.lastTotals[name]))
	c.lastTotals[name] = total
}

// updateDropped raises the counter of the events that an inbox dropped to total.
func (c *Controller) updateDropped(inbox string, total uint64) {
	key := "inbox_dropped_total " + inbox
	c.scope.Tagged(map[string]string{"inbox": inbox}).Counter("inbox_dropped_total").Inc(int64(total - c.lastTotals[key]))
	c.lastTotals[key] = total
}
