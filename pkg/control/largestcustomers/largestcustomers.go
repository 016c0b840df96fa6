// Package largestcustomers writes the LargestCustomers section: the customers that
// counters name. The others are counted together.
package largestcustomers

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/decide/fairshare"
	"mangostand.example/mangostand/pkg/dynconf"
)

// interval is the time between updates. It is about that in which the service of
// a customer decays, and reading 10,000 customers takes some milliseconds.
const interval = 5 * time.Second

// Controller writes the LargestCustomers section.
type Controller struct {
	board  *board.MeshBoard
	writer *board.Writer[*board.LargestCustomers]
	log    zerolog.Logger
}

// New returns a controller and claims the LargestCustomers section.
func New(b *board.MeshBoard, log zerolog.Logger) *Controller {
	return &Controller{board: b, writer: b.LargestCustomers.Claim("largestcustomers"), log: log}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "largestcustomers" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) { control.Every(ctx, interval, c.update) }

func (c *Controller) update(now time.Time) {
	table, before := c.board.Routes.Load(), c.board.LargestCustomers.Load().Names
	if table.Customers.Len() == 0 {
		return
	}
	usage := make([]fairshare.Usage, 0, table.Customers.Len())
	table.Customers.All(func(holder *dynconf.Customer) bool {
		id := c.board.CustomerService.ID(holder.Name)
		usage = append(usage, fairshare.Usage{Name: holder.Name, Service: c.board.CustomerService.Received(id, now)})
		return true
	})
	named := fairshare.Named(before, usage)
	if len(named) == len(before) {
		return
	}
	c.writer.Publish(&board.LargestCustomers{Names: named})
	c.log.Info().Str("event", "largest_customers").Strs("added", named[len(before):]).Int("named", len(named)).
		Int("customers", len(usage)).Uint64("config_version", table.Version).Send()
}
