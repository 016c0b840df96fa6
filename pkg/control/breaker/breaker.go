// Package breaker keeps the Breakers section: it reads the outcome counters of
// the cells at short intervals and moves the breaker of each instance.
package breaker

import (
	"context"
	"maps"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/decide/breaker"
	"mangostand.example/mangostand/pkg/metrics"
)

const (
	// sampleInterval is the time between two readings.
	sampleInterval = 50 * time.Millisecond
	// windowSamples is the length of the window of a closed breaker. The
	// window of 500 ms opens the breaker of a server that fails fast well
	// within 1 s.
	windowSamples = 10
)

// Controller writes the Breakers section.
type Controller struct {
	board   *board.Board
	writer  *board.Writer[*board.Breakers]
	traffic *metrics.Traffic
	log     zerolog.Logger

	histories map[board.InstanceID]*history
}

// history holds the readings of one incarnation of an instance.
type history struct {
	stats *board.EndpointStats
	// samples is the window, oldest first.
	samples []breaker.Counts
	// atStateStart is the reading when the present state began.
	atStateStart breaker.Counts
}

// New claims the Breakers section.
func New(b *board.Board, traffic *metrics.Traffic, log zerolog.Logger) *Controller {
	return &Controller{
		board: b, writer: b.Breakers.Claim("breaker"), traffic: traffic, log: log,
		histories: map[board.InstanceID]*history{},
	}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "breaker" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	control.Every(ctx, sampleInterval, c.update)
}

// update reads all cells and publishes when a breaker has changed.
func (c *Controller) update(now time.Time) {
	table := c.board.Endpoints.Load()
	old := c.writer.Load()
	next := maps.Clone(old.ByInstance)
	if next == nil {
		next = map[board.InstanceID]*board.Breaker{}
	}
	changed := c.dropStale(table, next)
	for id, cell := range table.ByInstance {
		if c.updateBreaker(id, cell, next, now) {
			changed = true
		}
	}
	if changed {
		c.writer.Publish(&board.Breakers{ByInstance: next})
	}
	c.traffic.BreakersNotClosed.Update(float64(len(next)))
}

// dropStale drops instances that are gone or with a new incarnation, whose breaker
// starts closed.
func (c *Controller) dropStale(table *board.EndpointTable, gates map[board.InstanceID]*board.Breaker) bool {
	changed := false
	for id, h := range c.histories {
		cell := table.ByInstance[id]
		if cell != nil && cell.EndpointStats == h.stats {
			continue
		}
		delete(c.histories, id)
		if gates[id] != nil {
			delete(gates, id)
			changed = true
		}
	}
	return changed
}

// updateBreaker moves the breaker of one instance and reports whether it changed.
func (c *Controller) updateBreaker(id board.InstanceID, cell *board.Endpoint, gates map[board.InstanceID]*board.Breaker, now time.Time) bool {
	h := c.histories[id]
	if h == nil {
		h = &history{stats: cell.EndpointStats, atStateStart: readCounts(cell)}
		c.histories[id] = h
	}
	reading := readCounts(cell)
	gate := gates[id]
	state, age, calls, taken := board.BreakerClosed, time.Duration(0), h.addSample(reading), false
	if gate != nil {
		state, age, taken = gate.State, now.Sub(gate.Since), gate.TrialTaken()
		calls = reading.Since(h.atStateStart)
	}
	next := breaker.Next(state, age, calls, taken, c.board.Config.Load().Breaker)
	if next == state && !(state == board.BreakerHalfOpen && breaker.TrialTimedOut(age, calls, taken)) {
		return false
	}
	h.startState(reading)
	c.recordTransition(id, state, next)
	if next == board.BreakerClosed {
		delete(gates, id)
	} else {
		gates[id] = &board.Breaker{State: next, Since: now}
	}
	return true
}

func (c *Controller) recordTransition(id board.InstanceID, from, to board.BreakerState) {
	if to == board.BreakerOpen {
		c.traffic.BreakersOpened.Inc(1)
	}
	c.log.Info().Str("instance", string(id)).Str("from", from.String()).Str("to", to.String()).Msg("breaker changed")
}

func readCounts(cell *board.Endpoint) breaker.Counts {
	return breaker.Counts{Successes: cell.Successes.Load(), Failures: cell.Failures.Load()}
}

// addSample adds a reading and returns the calls within the window.
func (h *history) addSample(reading breaker.Counts) breaker.Counts {
	h.samples = append(h.samples, reading)
	if len(h.samples) > windowSamples+1 {
		h.samples = h.samples[1:]
	}
	return reading.Since(h.samples[0])
}

// startState starts a new state: calls before it no longer count.
func (h *history) startState(reading breaker.Counts) {
	h.atStateStart = reading
	h.samples = append(h.samples[:0], reading)
}
