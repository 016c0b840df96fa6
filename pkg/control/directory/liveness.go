package directory

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/concurrency"
	"mangostand.example/mangostand/pkg/decide/fleet"
)

// updateLiveness decides which nodes are alive and drops those that departed
// long ago.
func (c *Controller) updateLiveness(now time.Time) {
	store := c.board.Store.Load()
	// Nodes may take ReregistrationGrace to be listed again after the store was
	// unreachable or came back from an older copy.
	settled := store.Reachable && !store.ListingRequestedAt.IsZero() && store.ListingRequestedAt.Sub(store.UnsettledAt()) >= fleet.ReregistrationGrace
	changed := false
	for id, node := range c.nodes {
		_, listed := store.ListedRecords[id]
		fresh := settled && store.ListingRequestedAt.After(node.firstSeenAt)
		alive := fleet.Alive(fleet.Evidence{
			Listed: listed, ListingFresh: fresh,
			Responsive: node.endpoint.Reachability.RespondedSince(now.Add(-fleet.UnresponsiveTimeout)),
			Leaving:    node.endpoint.Record.Leaving, Replaced: node.endpoint.Reachability.Replaced() || node.superseded && node.hasAddressConflict(),
			KnownFor: now.Sub(node.firstSeenAt), LastExchangeFailed: node.endpoint.Reachability.Suspected(),
		})
		node.missingFromStore = fresh && !listed && !node.endpoint.Reachability.RespondedSince(now.Add(-fleet.UnresponsiveTimeout))
		if alive {
			node.lastAliveAt = now
		}
		if alive != node.alive {
			node.alive = alive
			changed = true
			c.log.Info().Str("event", "node_alive").Str("node", string(id)).Bool("alive", alive).Bool("listed", listed).
				Bool("listing_settled", settled).Time("listed_at", store.ListingRequestedAt).Send()
		}
		if !alive && now.Sub(node.lastAliveAt) > departedNodeTTL {
			c.removeAddress(node.endpoint.Record)
			delete(c.nodes, id)
		}
	}
	if changed {
		c.publish()
	}
}

// publish publishes a new version of the Fleet section.
func (c *Controller) publish() {
	next := &board.Fleet{
		ByInstance: map[board.InstanceID]*board.MeshEndpoint{}, ByService: map[string][]*board.MeshEndpoint{}, Size: 1,
	}
	previous := c.writer.Load().ByInstance[c.ownRecord.Instance]
	if previous == nil || previous.Record.ServerID != c.ownRecord.ServerID || previous.Record.ServerStartMillis != c.ownRecord.ServerStartMillis {
		previous = &board.MeshEndpoint{EndpointStats: &board.EndpointStats{}, Reachability: &board.Reachability{}}
	}
	ownEndpoint := &board.MeshEndpoint{Record: c.ownRecord, EndpointStats: previous.EndpointStats, Reachability: previous.Reachability}
	records := []board.NodeRecord{c.ownRecord}
	addEndpoint(next, ownEndpoint)
	for _, node := range c.nodes {
		if !node.alive {
			// Only nodes that have known the record as that of a live node pass it on, so
			// that it does not circulate for ever among those that forget it.
			if node.wasAlive && node.endpoint.Record.Leaving {
				next.Departed = append(next.Departed, node.endpoint.Record)
			}
			continue
		}
		records = append(records, node.endpoint.Record)
		next.Size++
		addEndpoint(next, node.endpoint)
	}
	next.BucketDigests = fleet.BucketDigests(records)
	next.Contention = concurrency.MajorityDecision(records, c.ownRecord.Service)
	if next.Contention == board.ContentionUnknown {
		next.Contention = c.writer.Load().Contention
	}
	c.writer.Publish(next)
}

// addEndpoint adds an endpoint to the indexes of the section.
func addEndpoint(view *board.Fleet, endpoint *board.MeshEndpoint) {
	view.ByInstance[endpoint.Record.Instance] = endpoint
	if endpoint.Record.AcceptsCalls() {
		view.ByService[endpoint.Record.Service] = append(view.ByService[endpoint.Record.Service], endpoint)
	}
}
