package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/evacuation"
	"mangostand.example/mangostand/pkg/decide/fleet"
	"mangostand.example/mangostand/pkg/decide/quarantine"
)

// forwardPending pushes the pending records of other nodes.
func (c *Controller) forwardPending(ctx context.Context, now time.Time) {
	c.pushRecords(ctx, c.pendingRecords, false)
	c.pendingRecords, c.forwardDue, c.lastForwardedAt = nil, nil, now
}

func shuffle(ids []board.InstanceID) {
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

// pushRecords sends records to random live nodes. The node that a change
// concerns is its origin.
func (c *Controller) pushRecords(ctx context.Context, records []board.NodeRecord, origin bool) {
	candidates := map[string][]board.InstanceID{}
	for id, node := range c.nodes {
		if node.alive && !node.endpoint.Record.Leaving && !c.exchangesInFlight[id] {
			domain := node.endpoint.Record.FailureDomain
			candidates[domain] = append(candidates[domain], id)
		}
	}
	for _, ids := range candidates {
		shuffle(ids)
	}
	for _, id := range fleet.PushTargets(candidates, c.ownRecord.FailureDomain, origin) {
		c.startExchange(ctx, c.nodes[id], records, true)
	}
}

// pushNewQuarantines starts exchanges at once when more requests are
// quarantined. Suspicions that do not quarantine a request yet are sent with the
// periodic exchanges.
func (c *Controller) pushNewQuarantines(ctx context.Context, now time.Time) {
	quarantined := len(quarantine.QuarantinedReports(c.board.Quarantine.Load(), now))
	if quarantined > c.quarantinedCount {
		c.pushRecords(ctx, []board.NodeRecord{c.ownRecord}, true)
	}
	c.quarantinedCount = quarantined
}

// pushEvacuation starts exchanges at once when the evacuated failure domains or the era
// of the store change.
func (c *Controller) pushEvacuation(ctx context.Context) {
	next := c.board.Evacuation.Load()
	if evacuation.Differs(c.pushedEvacuation, next) {
		c.pushRecords(ctx, []board.NodeRecord{c.ownRecord}, next.ReadFromStore)
	}
	c.pushedEvacuation = next
}
