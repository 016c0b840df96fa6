// Package admission keeps the Admission section: the concurrency limit of the
// executor, from the announced slots and from the calls that ended.
package admission

import (
	"context"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/admission"
	"mangostand.example/mangostand/pkg/metrics"
)

// interval is the time between two changes of the limit.
const interval = 100 * time.Millisecond

// Controller writes the Admission section.
type Controller struct {
	board   *board.Board
	writer  *board.Writer[*board.Admission]
	traffic *metrics.Traffic
	wake    []<-chan struct{}

	// server and slots identify the announcement that state belongs to.
	server uint64
	slots  uint32
	state  admission.State
	window admission.Window
	times  []time.Duration
}

// New claims the Admission section.
func New(b *board.Board, traffic *metrics.Traffic) *Controller {
	return &Controller{
		board: b, writer: b.Admission.Claim("admission"), traffic: traffic,
		wake: []<-chan struct{}{b.LocalServer.Subscribe(), b.Config.Subscribe()},
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
		case <-c.wake[0]:
			c.announced()
		case <-c.wake[1]:
			c.publish()
		case call := <-c.board.FinishedCalls.Events():
			c.add(call)
		case <-ticker.C:
			c.adapt()
		}
	}
}

// announced starts anew when the backend server is another one or has another
// number of slots.
func (c *Controller) announced() {
	local := c.board.LocalServer.Load()
	if local.Incarnation != c.server || local.Slots != c.slots {
		c.server, c.slots = local.Incarnation, local.Slots
		c.state = admission.Start(local.Slots)
		c.clear()
	}
	c.publish()
}

func (c *Controller) add(call board.FinishedCall) {
	if call.ServerIncarnation != c.server {
		return
	}
	c.window.Calls++
	c.window.PeakInFlight = max(c.window.PeakInFlight, call.InFlight)
	if call.Shed {
		c.window.Shed++
	}
	if call.Succeeded {
		c.times = append(c.times, call.ServiceTime)
	}
}

func (c *Controller) adapt() {
	if c.slots == 0 || c.window.Calls == 0 {
		return
	}
	if len(c.times) > 0 {
		slices.Sort(c.times)
		c.window.Median = c.times[len(c.times)/2]
	}
	c.state = admission.Next(c.state, c.window, c.slots)
	c.clear()
	c.publish()
}

func (c *Controller) clear() {
	c.window = admission.Window{}
	c.times = c.times[:0]
}

func (c *Controller) publish() {
	parameters := c.board.Config.Load().Admission
	next := board.Admission{MaxQueueWait: parameters.QueueWait}
	if c.slots > 0 {
		next.ConcurrencyLimit = uint32(c.state.Limit)
		next.MaxQueueLength = parameters.QueueLength * int(next.ConcurrencyLimit)
	}
	if next == *c.writer.Load() {
		return
	}
	c.writer.Publish(&next)
	c.traffic.Limit.Update(float64(next.ConcurrencyLimit))
}
