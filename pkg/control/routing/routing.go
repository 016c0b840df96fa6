// Package routing builds the picker of each service from the configuration,
// the membership and the table of cells.
package routing

import (
	"context"
	"maps"
	"slices"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/pick"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Controller writes the Pickers section.
type Controller struct {
	board  *board.Board
	writer *board.Writer[*board.Pickers]
	domain string
	wake   <-chan struct{}
	config <-chan struct{}
	gates  <-chan struct{}
}

// New claims the Pickers section for an entry in a failure domain.
func New(b *board.Board, failureDomain string) *Controller {
	return &Controller{
		board: b, writer: b.Pickers.Claim("routing"), domain: failureDomain,
		wake: b.Endpoints.Subscribe(), config: b.Config.Subscribe(), gates: b.Breakers.Subscribe(),
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
		case <-c.wake:
		case <-c.config:
		case <-c.gates:
		}
	}
}

func (c *Controller) update() {
	config := c.board.Config.Load()
	table := c.board.Endpoints.Load()
	breakers := c.board.Breakers.Load()
	rank := rankOf(c.board.Members.Load())
	next := &board.Pickers{ByService: make(map[string]board.Picker, len(config.Services))}
	for name, service := range config.Services {
		next.ByService[name] = pick.New(service.Policy, pick.Input{
			Cells: candidates(table, service), Breakers: breakers, FailureDomain: c.domain,
			Rank: rank, Balancing: config.Balancing,
		})
	}
	c.writer.Publish(next)
}

// rankOf returns the position of this node among the nodes that are up, in the
// order of their instances.
func rankOf(members *board.Members) int {
	rank := 0
	for _, id := range slices.Sorted(maps.Keys(members.ByInstance)) {
		if id == members.Self {
			break
		}
		if members.ByInstance[id].State < board.MemberLeft {
			rank++
		}
	}
	return rank
}

// candidates returns the cells of serving instances that may serve a service.
func candidates(table *board.EndpointTable, service *dynconf.Service) []*board.Endpoint {
	var cells []*board.Endpoint
	for _, cell := range table.ByInstance {
		m := cell.Member
		if m.Service == service.Name && m.State == board.MemberServing && service.Allows(string(m.Instance)) {
			cells = append(cells, cell)
		}
	}
	return cells
}
