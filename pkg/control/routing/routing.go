// Package routing builds the picker of each service from the configuration,
// the membership and the table of cells.
package routing

import (
	"context"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/pick"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Controller writes the Pickers section.
type Controller struct {
	board  *board.Board
	writer *board.Writer[*board.Pickers]
	domain string
	wake   []<-chan struct{}
}

// New claims the Pickers section for an entry in a failure domain.
func New(b *board.Board, failureDomain string) *Controller {
	return &Controller{
		board: b, writer: b.Pickers.Claim("routing"), domain: failureDomain,
		wake: []<-chan struct{}{b.Config.Subscribe(), b.Load.Subscribe()},
	}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "routing" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	for {
		c.update()
		select {
		case <-ctx.Done():
			return
		case <-c.wake[0]:
		case <-c.wake[1]:
		}
	}
}

func (c *Controller) update() {
	config := c.board.Config.Load()
	table := c.board.Load.Load()
	next := &board.Pickers{ByService: make(map[string]board.Picker, len(config.Services))}
	for name, service := range config.Services {
		next.ByService[name] = pick.New(service.Policy, pick.Input{
			Cells: candidates(table, service), FailureDomain: c.domain, Balancing: config.Balancing,
		})
	}
	c.writer.Publish(next)
}

// candidates returns the cells of serving instances that may serve a service.
func candidates(table *board.LoadTable, service *dynconf.Service) []*board.Cell {
	var cells []*board.Cell
	for _, cell := range table.Cells {
		m := cell.Member
		if m.Service == service.Name && m.State == board.MemberServing && service.Allows(string(m.Instance)) {
			cells = append(cells, cell)
		}
	}
	return cells
}
