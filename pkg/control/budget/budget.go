// Package budget writes the Budgets section: the retry budget of each service
// and the probe budgets, with the limits from the configuration.
package budget

import (
	"context"

	"mangostand.example/mangostand/pkg/board"
)

// Controller writes the Budgets section.
type Controller struct {
	board         *board.Board
	writer        *board.Writer[*board.Budgets]
	configUpdates <-chan struct{}
}

// New claims the Budgets section.
func New(b *board.Board) *Controller {
	return &Controller{board: b, writer: b.Budgets.Claim("budget"), configUpdates: b.Config.Subscribe()}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "budget" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	for {
		c.update()
		select {
		case <-ctx.Done():
			return
		case <-c.configUpdates:
		}
	}
}

// update applies the configured limits. The counters survive a change of the
// configuration, so that a change never grants a fresh budget.
func (c *Controller) update() {
	config := c.board.Config.Load()
	old := c.writer.Load()
	next := &board.Budgets{
		RetryByService: make(map[string]*board.RetryBudget, len(config.Services)),
		OutgoingProbes: old.OutgoingProbes, IncomingProbes: old.IncomingProbes,
	}
	for name := range config.Services {
		next.RetryByService[name] = board.NewRetryBudget(config.Retries.TokensPerSuccess, old.RetryByService[name])
	}
	next.OutgoingProbes.SetLimits(config.ProbeBudget.ProbesPerSecond, config.ProbeBudget.BytesPerSecond)
	next.IncomingProbes.SetLimits(config.ProbeBudget.ProbesPerSecond, config.ProbeBudget.BytesPerSecond)
	c.writer.Publish(next)
}
