// Package admission writes the Admission section: the concurrency limit of the
// executor, derived from the slots that the backend server announced and from
// the calls that have finished.
package admission

import (
	"context"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/admission"
	"mangostand.example/mangostand/pkg/metrics"
)

// interval is the time between two adjustments of the limit.
const interval = 100 * time.Millisecond

// Controller writes the Admission section.
type Controller struct {
	board   *board.Board
	writer  *board.Writer[*board.Admission]
	traffic *metrics.TrafficMetrics
	// updates notifies of changes to the announced backend server and to the
	// configuration, in this order.
	updates []<-chan struct{}

	// serverIncarnation and slots are those of the announcement that state was
	// initialized from.
	serverIncarnation uint64
	slots             uint32
	state             admission.State
	window            admission.Window
	serviceTimes      []time.Duration
}

// New claims the Admission section.
func New(b *board.Board, traffic *metrics.TrafficMetrics) *Controller {
	return &Controller{
		board: b, writer: b.Admission.Claim("admission"), traffic: traffic,
		updates: []<-chan struct{}{b.LocalServer.Subscribe(), b.Config.Subscribe()},
	}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "admission" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.updates[0]:
			c.applyAnnouncement()
		case <-c.updates[1]:
			c.publish()
		case call := <-c.board.FinishedCalls.Events():
			c.recordCall(call)
		case <-ticker.C:
			c.adjustLimit()
		}
	}
}

// applyAnnouncement resets the limit when the backend server has restarted or
// announces another number of slots.
func (c *Controller) applyAnnouncement() {
	local := c.board.LocalServer.Load()
	if local.Incarnation != c.serverIncarnation || local.Slots != c.slots {
		c.serverIncarnation, c.slots = local.Incarnation, local.Slots
		c.state = admission.InitialState(local.Slots)
		c.resetWindow()
	}
	c.publish()
}

// recordCall adds a finished call to the window. Calls of an earlier
// incarnation of the backend server are ignored.
func (c *Controller) recordCall(call board.FinishedCall) {
	if call.ServerIncarnation != c.serverIncarnation {
		return
	}
	c.window.Calls++
	c.window.PeakInFlight = max(c.window.PeakInFlight, call.InFlight)
	if call.Shed {
		c.window.Shed++
	}
	if call.Succeeded {
		c.serviceTimes = append(c.serviceTimes, call.ServiceTime)
	}
}

// adjustLimit computes the next limit from the window and starts a new window.
func (c *Controller) adjustLimit() {
	if c.slots == 0 || c.window.Calls == 0 {
		return
	}
	if len(c.serviceTimes) > 0 {
		slices.Sort(c.serviceTimes)
		c.window.Median = c.serviceTimes[len(c.serviceTimes)/2]
	}
	c.state = admission.Next(c.state, c.window, c.slots)
	c.resetWindow()
	c.publish()
}

func (c *Controller) resetWindow() {
	c.window = admission.Window{}
	c.serviceTimes = c.serviceTimes[:0]
}

func (c *Controller) publish() {
	parameters := c.board.Config.Load().Admission
	next := board.Admission{MaxQueueWait: parameters.MaxQueueWait}
	if c.slots > 0 {
		next.ConcurrencyLimit = uint32(c.state.Limit)
		next.MaxQueueLength = parameters.MaxQueuedPerSlot * int(next.ConcurrencyLimit)
	}
	if next == *c.writer.Load() {
		return
	}
	c.writer.Publish(&next)
	c.traffic.ConcurrencyLimit.Update(float64(next.ConcurrencyLimit))
}
