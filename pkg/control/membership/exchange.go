package membership

import (
	"context"
	"maps"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// exchangeTimeout limits one request of a digest exchange, including the
	// setup of a connection.
	exchangeTimeout = 900 * time.Millisecond
	// maxBucketsPerDelta limits the size of a delta: 16 of the 64 buckets hold
	// about 150 records at 600 members.
	maxBucketsPerDelta = 16
)

// startExchangeRound starts a digest exchange with a random ring neighbour.
// Every roundsPerSeedExchange rounds it adds one with a seed or contact address
// that belongs to no live member. A node without neighbours tries all these
// addresses in each round.
func (c *Controller) startExchangeRound(ctx context.Context) {
	c.exchangeRounds++
	neighbours := c.neighbours.Load().Ring
	nonMembers := c.nonMemberAddrs()
	addrs := nonMembers
	if len(neighbours) > 0 {
		addrs = []string{neighbours[c.random.IntN(len(neighbours))].Addr}
		if len(nonMembers) > 0 && c.exchangeRounds%roundsPerSeedExchange == 0 {
			addrs = append(addrs, nonMembers[c.random.IntN(len(nonMembers))])
		}
	}
	for _, addr := range addrs {
		c.workers.Go(func() { c.exchangeDigests(ctx, addr) })
	}
}

// nonMemberAddrs returns the seed and contact addresses that belong to no live
// member.
func (c *Controller) nonMemberAddrs() []string {
	excluded := map[string]bool{c.table.self().PeerAddr: true}
	for _, m := range c.table.members {
		if decide.Live(m) {
			excluded[m.PeerAddr] = true
		}
	}
	var addrs []string
	for _, addr := range slices.Concat(c.seedAddrs, c.contactAddrs) {
		if !excluded[addr] {
			excluded[addr] = true
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// exchangeDigests compares the digests of this node and the node at addr. Where
// they differ, it fetches and sends the records and rumors that one side lacks.
func (c *Controller) exchangeDigests(ctx context.Context, addr string) {
	ownDigest := c.board.Digest.Load()
	message := newDigestMessage(c.board)
	var response wire.Digest
	if err := c.request(ctx, addr, exchangeTimeout, wire.TypeDigest, message, wire.TypeDigest, &response); err != nil {
		c.log.Debug().Err(err).Str("peer", addr).Msg("digest exchange failed")
		return
	}
	c.board.Gossip.Post(board.GossipMessage{From: response.Sender.Instance, Members: []board.Member{response.Sender}, Versions: response.Versions})
	if response.RootHash != message.RootHash {
		for buckets := range slices.Chunk(decide.DifferingBuckets(ownDigest.BucketHashes, response.BucketHashes), maxBucketsPerDelta) {
			members := c.board.Members.Load()
			c.exchangeDelta(ctx, addr, wire.Delta{
				From: members.Self, Members: decide.BucketRecords(members, buckets, maxRecordsPerMessage), WantedBuckets: buckets,
			})
		}
	}
	if response.RumorsHash != message.RumorsHash {
		c.exchangeRumors(ctx, addr, ownDigest, response.RumorIDs)
	}
}

// exchangeRumors fetches and sends the retained rumors that one side lacks.
func (c *Controller) exchangeRumors(ctx context.Context, addr string, ownDigest *board.MemberDigest, peerRumorIDs []string) {
	delta := wire.Delta{From: c.board.Members.Load().Self}
	for _, id := range peerRumorIDs {
		if _, found := ownDigest.RetainedRumors[id]; !found && len(delta.WantedRumors) < maxRumorsPerMessage {
			delta.WantedRumors = append(delta.WantedRumors, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(ownDigest.RetainedRumors)) {
		if !slices.Contains(peerRumorIDs, id) && len(delta.Rumors) < maxRumorsPerMessage {
			delta.Rumors = append(delta.Rumors, ownDigest.RetainedRumors[id])
		}
	}
	c.exchangeDelta(ctx, addr, delta)
}

// exchangeDelta sends a delta and posts the response to the Gossip inbox.
func (c *Controller) exchangeDelta(ctx context.Context, addr string, delta wire.Delta) {
	var response wire.Delta
	if err := c.request(ctx, addr, exchangeTimeout, wire.TypeDelta, delta, wire.TypeDelta, &response); err != nil {
		c.log.Debug().Err(err).Str("peer", addr).Msg("delta exchange failed")
		return
	}
	c.board.Gossip.Post(board.GossipMessage{From: response.From, Members: response.Members, Rumors: response.Rumors})
}

// newDigestMessage returns a digest message about the sections of the board,
// without bucket hashes and rumor IDs.
func newDigestMessage(b *board.Board) wire.Digest {
	members, digest := b.Members.Load(), b.Digest.Load()
	return wire.Digest{
		Sender: members.ByInstance[members.Self], RootHash: digest.RootHash, RumorsHash: digest.RumorsHash,
		Versions: b.Versions.Load().Numbers,
	}
}
