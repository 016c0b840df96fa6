// Package breaker writes the Breakers section: it samples the outcome counters
// of the endpoints at short intervals and runs the circuit breaker of each
// instance.
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
	// sampleInterval is the time between two samples of the counters.
	sampleInterval = 50 * time.Millisecond
	// windowSamples is the length of the sliding window of a closed breaker, in
	// samples. With 500 ms the breaker of a server that fails fast opens well
	// within 1 s.
	windowSamples = 10
)

// Controller writes the Breakers section.
type Controller struct {
	board   *board.Board
	writer  *board.Writer[*board.Breakers]
	traffic *metrics.TrafficMetrics
	log     zerolog.Logger

	histories map[board.InstanceID]*history
}

// history holds the counter samples of one incarnation of an instance.
type history struct {
	// stats identifies the incarnation: each has its own counters.
	stats *board.EndpointStats
	// samples is the sliding window, oldest first.
	samples []breaker.Counts
	// atStateStart is the sample taken when the current state began.
	atStateStart breaker.Counts
}

// New claims the Breakers section.
func New(b *board.Board, traffic *metrics.TrafficMetrics, log zerolog.Logger) *Controller {
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

// update samples all endpoints and publishes if a breaker has changed.
func (c *Controller) update(now time.Time) {
	table := c.board.Endpoints.Load()
	old := c.writer.Load()
	next := maps.Clone(old.ByInstance)
	if next == nil {
		next = map[board.InstanceID]*board.Breaker{}
	}
	changed := c.dropStale(table, next)
	for id, endpoint := range table.ByInstance {
		if c.updateBreaker(id, endpoint, next, now) {
			changed = true
		}
	}
	if changed {
		c.writer.Publish(&board.Breakers{ByInstance: next})
	}
	c.traffic.BreakersNotClosed.Update(float64(len(next)))
}

// dropStale drops the history and the breaker of instances that are gone or have
// a new incarnation, whose breaker starts closed. It reports whether a breaker
// was dropped.
func (c *Controller) dropStale(table *board.EndpointTable, breakers map[board.InstanceID]*board.Breaker) bool {
	changed := false
	for id, h := range c.histories {
		endpoint := table.ByInstance[id]
		if endpoint != nil && endpoint.EndpointStats == h.stats {
			continue
		}
		delete(c.histories, id)
		if breakers[id] != nil {
			delete(breakers, id)
			changed = true
		}
	}
	return changed
}

// updateBreaker computes the next state of an instance's breaker and reports
// whether it changed or offers a new trial call.
func (c *Controller) updateBreaker(id board.InstanceID, endpoint *board.Endpoint, breakers map[board.InstanceID]*board.Breaker, now time.Time) bool {
	h := c.histories[id]
	if h == nil {
		h = &history{stats: endpoint.EndpointStats, atStateStart: readCounts(endpoint)}
		c.histories[id] = h
	}
	counts := readCounts(endpoint)
	current := breakers[id]
	state, age, calls, trialTaken := board.BreakerClosed, time.Duration(0), h.addSample(counts), false
	if current != nil {
		state, age, trialTaken = current.State, now.Sub(current.Since), current.TrialTaken()
		calls = counts.Since(h.atStateStart)
	}
	next := breaker.Next(state, age, calls, trialTaken, c.board.Config.Load().Breaker)
	if next == state && !(state == board.BreakerHalfOpen && breaker.TrialTimedOut(age, calls, trialTaken)) {
		return false
	}
	h.startState(counts)
	c.recordTransition(id, state, next)
	if next == board.BreakerClosed {
		delete(breakers, id)
	} else {
		breakers[id] = &board.Breaker{State: next, Since: now}
	}
	return true
}

// recordTransition logs a transition and counts it if the breaker opened.
func (c *Controller) recordTransition(id board.InstanceID, from, to board.BreakerState) {
	if to == board.BreakerOpen {
		c.traffic.BreakersOpened.Inc(1)
	}
	c.log.Info().Str("instance", string(id)).Str("from", from.String()).Str("to", to.String()).Msg("circuit breaker changed state")
}

func readCounts(endpoint *board.Endpoint) breaker.Counts {
	return breaker.Counts{Successes: endpoint.Successes.Load(), Failures: endpoint.Failures.Load()}
}

// addSample adds a sample and returns the calls within the window.
func (h *history) addSample(counts breaker.Counts) breaker.Counts {
	h.samples = append(h.samples, counts)
	if len(h.samples) > windowSamples+1 {
		h.samples = h.samples[1:]
	}
	return counts.Since(h.samples[0])
}

// startState begins a new state, in which earlier calls no longer count.
func (h *history) startState(counts breaker.Counts) {
	h.atStateStart = counts
	h.samples = append(h.samples[:0], counts)
}
