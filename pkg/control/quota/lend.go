package quota

import (
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/decide/quota"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Respond processes the report of a node, this one included, as the lender of a group.
func (c *Controller) Respond(m *Message) (*Response, error) {
	if m.Group < 0 || m.Group >= quota.Groups || m.From == "" || m.FleetSize < 0 || m.FleetSize > maxFleetSize {
		return nil, errors.Errorf("report of node %q: group %d, fleet size %d", m.From, m.Group, m.FleetSize)
	}
	now := c.now()
	if c.board.Routes.Load().Version == 0 {
		return &Response{From: c.board.Self.Instance, LenderIncarnation: c.incarnation, StampMillis: now.Milliseconds(), NotReady: true}, nil
	}
	c.lendersMu.Lock()
	defer c.lendersMu.Unlock()
	return encodeReply(c.board.Self.Instance, c.lenderOf(m.Group, now).Answer(decodeReport(m), now, c.random())), nil
}

// maxFleetSize bounds the fleet size in a report; larger values are errors.
const maxFleetSize = 100_000

// lenderOf returns the lender of a group with the quotas in force. The caller holds
// lendersMu.
func (c *Controller) lenderOf(group int, now time.Duration) *quota.Lender {
	l := &c.lenders[group]
	table := c.board.Routes.Load()
	if l.lender == nil {
		l.lender = quota.NewLender(c.incarnation, c.limits, now)
	}
	if l.configVersion != table.Version {
		quotas := map[string]dynconf.RequestQuota{}
		table.Customers.All(func(customer *dynconf.Customer) bool {
			if customer.Quota.Limited() && quota.Group(customer.Name) == group {
				quotas[customer.Name] = customer.Quota
			}
			return true
		})
		l.configVersion = table.Version
		l.lender.Configure(quotas, now)
	}
	l.lender.SetFleetSize(c.lenderFleetSize())
	return l.lender
}

// lenderFleetSize returns the largest size that the fleet may have.
func (c *Controller) lenderFleetSize() int {
	if size := int(c.fleetSize.Load()); size > 0 {
		return size
	}
	return c.board.Fleet.Load().Size
}

// lenderStatus returns the state of the lender of a group at this node, and whether it
// has reports of nodes.
func (c *Controller) lenderStatus(group int, now time.Duration) (quota.Status, bool) {
	c.lendersMu.Lock()
	defer c.lendersMu.Unlock()
	if c.lenders[group].lender == nil {
		return quota.Status{}, false
	}
	status := c.lenderOf(group, now).Status(now)
	return status, status.Nodes > 0
}
