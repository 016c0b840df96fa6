package membership

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// maxBurst bounds the messages that are handled before a publication.
	maxBurst = 64
	// maxChallenges bounds the instances asked because of records of others per second.
	maxChallenges = 4
)

// receiveWaiting handles messages that wait already, so that a burst is
// published once. A publication costs some hundred microseconds at 600 members.
func (c *Controller) receiveWaiting(ctx context.Context) {
	for range maxBurst {
		select {
		case message := <-c.board.Gossip.Events():
			c.receive(ctx, message, time.Now())
		default:
			return
		}
	}
}

// receive handles one message of another node.
func (c *Controller) receive(ctx context.Context, message board.GossipMessage, now time.Time) {
	for _, record := range message.Members {
		c.receiveRecord(ctx, record, message.From, now)
	}
	for _, rumor := range message.Rumors {
		c.receiveRumor(rumor, message.From, now)
	}
	c.compareVersions(message)
}

func (c *Controller) receiveRecord(ctx context.Context, record board.Member, from board.InstanceID, now time.Time) {
	if !decide.Valid(record) {
		c.log.Warn().Str("peer", string(from)).Msg("refused an invalid member record")
		return
	}
	old := c.table.members[record.Instance]
	switch result := c.table.receive(record, now); result {
	case accepted:
		if old.Incarnation != record.Incarnation {
			// A connection to the address may lead to an earlier incarnation.
			c.peers.Refresh(record.PeerAddr)
		}
		c.flood.addMember(record, from)
	case held:
		c.flood.addMember(record, from)
	case refuted:
		c.log.Warn().Str("claimed_state", record.State.String()).Msg("refuted a claim about this node")
		c.flood.addMember(c.table.self(), "")
	case replaced:
		c.log.Error().Uint64("incarnation", record.Incarnation).Msg("another process runs under the name of this instance")
	case below:
		if from == record.Instance || c.mayChallenge(record.Instance, now) {
			c.challenge(ctx, record)
		}
	}
}

// mayChallenge reports whether an instance that another node reports as
// alive is to be asked. Only the position of its dead record is left here, so that the
// digest exchange cannot settle who is right.
func (c *Controller) mayChallenge(id board.InstanceID, now time.Time) bool {
	if _, found := c.table.floors[id]; !found {
		return false
	}
	if now.Sub(c.challengeWindow) >= time.Second {
		c.challengeWindow, c.challenges = now, 0
	}
	c.challenges++
	return c.challenges <= maxChallenges
}

// challenge sends a living instance the record that declares it dead, so that
// it refutes it.
func (c *Controller) challenge(ctx context.Context, record board.Member) {
	claim, found := c.table.claimAgainst(record)
	if !found {
		return
	}
	message := wire.Delta{From: c.table.selfID, Members: []board.Member{claim}}
	c.work.Go(func() {
		var answer wire.Delta
		c.send(ctx, record.PeerAddr, wire.TypeDelta, message, wire.TypeDelta, &answer)
	})
}
