package membership

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// maxMessagesPerPublish limits the waiting messages that are handled before
	// the sections are published.
	maxMessagesPerPublish = 64
	// maxRefutationRequests limits, per second, the refutation requests to
	// instances that other nodes report as alive.
	maxRefutationRequests = 4
)

// drainGossip handles the messages that already wait in the inbox, so that a
// burst causes one publication. A publication takes some hundred microseconds
// at 600 members.
func (c *Controller) drainGossip(ctx context.Context) {
	for range maxMessagesPerPublish {
		select {
		case message := <-c.board.Gossip.Events():
			c.handleGossip(ctx, message, time.Now())
		default:
			return
		}
	}
}

// handleGossip handles one message of another node.
func (c *Controller) handleGossip(ctx context.Context, message board.GossipMessage, now time.Time) {
	for _, record := range message.Members {
		c.handleRecord(ctx, record, message.From, now)
	}
	for _, rumor := range message.Rumors {
		c.handleRumor(rumor, message.From, now)
	}
	c.reportNewerVersions(message)
}

// handleRecord merges a record that another node sent and floods what changed.
func (c *Controller) handleRecord(ctx context.Context, record board.Member, from board.InstanceID, now time.Time) {
	if !decide.Valid(record) {
		c.log.Warn().Str("peer", string(from)).Msg("dropped an invalid member record")
		return
	}
	old := c.table.members[record.Instance]
	switch result := c.table.merge(record, now); result {
	case mergeAccepted:
		if old.Incarnation != record.Incarnation {
			// An existing connection to the address may lead to an earlier
			// incarnation.
			c.peers.Refresh(record.PeerAddr)
		}
		c.pendingFlood.addRecord(record, from)
	case mergeDeathPending:
		c.pendingFlood.addRecord(record, from)
	case mergeRefuted:
		c.log.Warn().Str("claimed_state", record.State.String()).Msg("refuted a claim about this node")
		c.pendingFlood.addRecord(c.table.self(), "")
	case mergeSelfReplaced:
		c.log.Error().Uint64("incarnation", record.Incarnation).Msg("a newer process runs with the instance ID of this node")
	case mergeOutdatedLive:
		if from == record.Instance || c.allowRefutationRequest(record.Instance, now) {
			c.requestRefutation(ctx, record)
		}
	}
}

// allowRefutationRequest reports whether to ask an instance that another node
// reports as alive to refute its death. This is necessary only when just a
// version floor is left of the dead record, so that digest exchanges cannot
// settle the conflict. The rate of these requests is limited.
func (c *Controller) allowRefutationRequest(id board.InstanceID, now time.Time) bool {
	if _, found := c.table.versionFloors[id]; !found {
		return false
	}
	if now.Sub(c.refutationRequestsSince) >= time.Second {
		c.refutationRequestsSince, c.refutationRequests = now, 0
	}
	c.refutationRequests++
	return c.refutationRequests <= maxRefutationRequests
}

// requestRefutation sends a live instance the record that supersedes its own,
// so that the instance refutes it.
func (c *Controller) requestRefutation(ctx context.Context, record board.Member) {
	claim, found := c.table.supersedingRecord(record)
	if !found {
		return
	}
	message := wire.Delta{From: c.table.selfID, Members: []board.Member{claim}}
	c.workers.Go(func() {
		var response wire.Delta
		c.sendWithRetry(ctx, record.PeerAddr, wire.TypeDelta, message, wire.TypeDelta, &response)
	})
}
