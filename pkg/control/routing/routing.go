// Package routing writes the Pickers section: the picker of each service, built
// from the configuration, the membership, the endpoints and their circuit
// breakers.
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
	board           *board.Board
	writer          *board.Writer[*board.Pickers]
	failureDomain   string
	endpointUpdates <-chan struct{}
	configUpdates   <-chan struct{}
	breakerUpdates  <-chan struct{}
}

// New claims the Pickers section for an entry node in a failure domain.
func New(b *board.Board, failureDomain string) *Controller {
	return &Controller{
		board: b, writer: b.Pickers.Claim("routing"), failureDomain: failureDomain,
		endpointUpdates: b.Endpoints.Subscribe(), configUpdates: b.Config.Subscribe(), breakerUpdates: b.Breakers.Subscribe(),
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
		case <-c.endpointUpdates:
		case <-c.configUpdates:
		case <-c.breakerUpdates:
		}
	}
}

// update rebuilds the pickers of all services.
func (c *Controller) update() {
	config := c.board.Config.Load()
	table := c.board.Endpoints.Load()
	breakers := c.board.Breakers.Load()
	index := nodeIndex(c.board.Members.Load())
	next := &board.Pickers{ByService: make(map[string]board.Picker, len(config.Services))}
	for name, service := range config.Services {
		next.ByService[name] = pick.New(service.Policy, pick.Input{
			Endpoints: eligibleEndpoints(table, service), Breakers: breakers, FailureDomain: c.failureDomain,
			EntryIndex: index, Balancing: config.Balancing,
		})
	}
	c.writer.Publish(next)
}

// nodeIndex returns the position of this node among the nodes that are up, sorted
// by instance.
func nodeIndex(members *board.Members) int {
	index := 0
	for _, id := range slices.Sorted(maps.Keys(members.ByInstance)) {
		if id == members.Self {
			break
		}
		if members.ByInstance[id].State < board.MemberLeft {
			index++
		}
	}
	return index
}

// eligibleEndpoints returns the endpoints of the serving instances that a service
// may use.
func eligibleEndpoints(table *board.EndpointTable, service *dynconf.Service) []*board.Endpoint {
	var endpoints []*board.Endpoint
	for _, endpoint := range table.ByInstance {
		m := endpoint.Member
		if m.Service == service.Name && m.State == board.MemberServing && service.AllowsInstance(string(m.Instance)) {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}
