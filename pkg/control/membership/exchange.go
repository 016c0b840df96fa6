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
	// exchangeTimeout bounds one message of a digest exchange. It covers the
	// set-up of a connection.
	exchangeTimeout = 900 * time.Millisecond
	// maxBucketsPerDelta keeps a delta small: 16 of 64 buckets hold about 150
	// records at 600 members.
	maxBucketsPerDelta = 16
)

// startExchangeRound compares tables with one neighbour. A node that knows nobody
// tries its seeds and the contacts of the store; the others try one of these
// now and then when it is not a live member.
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
		c.tasks.Go(func() { c.exchangeDigests(ctx, addr) })
	}
}

// nonMemberAddrs returns the seeds and contacts that are not live members.
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

// exchangeDigests compares the tables of this node and the node at addr and
// fetches and sends what differs.
func (c *Controller) exchangeDigests(ctx context.Context, addr string) {
	ownDigest := c.board.Digest.Load()
	message := newDigestMessage(c.board)
	var answer wire.Digest
	if err := c.request(ctx, addr, exchangeTimeout, wire.TypeDigest, message, wire.TypeDigest, &answer); err != nil {
		c.log.Debug().Err(err).Str("peer", addr).Msg("digest exchange failed")
		return
	}
	c.board.Gossip.Post(board.Gossip{From: answer.Sender.Instance, Members: []board.Member{answer.Sender}, Versions: answer.Versions})
	if answer.Root != message.Root {
		for buckets := range slices.Chunk(decide.DifferingBuckets(ownDigest.Buckets, answer.Buckets), maxBucketsPerDelta) {
			members := c.board.Members.Load()
			c.exchangeDelta(ctx, addr, wire.Delta{
				From: members.Self, Members: decide.BucketRecords(members, buckets, maxRecordsPerMessage), WantBuckets: buckets,
			})
		}
	}
	if answer.Rumors != message.Rumors {
		c.exchangeRumors(ctx, addr, ownDigest, answer.RumorIDs)
	}
}

// exchangeRumors fetches and sends the kept rumors that one side lacks.
func (c *Controller) exchangeRumors(ctx context.Context, addr string, ownDigest *board.MemberDigest, peerRumorIDs []string) {
	delta := wire.Delta{From: c.board.Members.Load().Self}
	for _, id := range peerRumorIDs {
		if _, found := ownDigest.Kept[id]; !found && len(delta.WantRumors) < maxRumorsPerMessage {
			delta.WantRumors = append(delta.WantRumors, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(ownDigest.Kept)) {
		if !slices.Contains(peerRumorIDs, id) && len(delta.Rumors) < maxRumorsPerMessage {
			delta.Rumors = append(delta.Rumors, ownDigest.Kept[id])
		}
	}
	c.exchangeDelta(ctx, addr, delta)
}

func (c *Controller) exchangeDelta(ctx context.Context, addr string, delta wire.Delta) {
	var answer wire.Delta
	if err := c.request(ctx, addr, exchangeTimeout, wire.TypeDelta, delta, wire.TypeDelta, &answer); err != nil {
		c.log.Debug().Err(err).Str("peer", addr).Msg("delta exchange failed")
		return
	}
	c.board.Gossip.Post(board.Gossip{From: answer.From, Members: answer.Members, Rumors: answer.Rumors})
}

// newDigestMessage returns the digest of the board's sections.
func newDigestMessage(b *board.Board) wire.Digest {
	members, digest := b.Members.Load(), b.Digest.Load()
	return wire.Digest{
		Sender: members.ByInstance[members.Self], Root: digest.Root, Rumors: digest.Rumors,
		Versions: b.Versions.Load().Numbers,
	}
}
