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
	// bucketsPerDelta keeps a delta small: 16 of 64 buckets hold about 150
	// records at 600 members.
	bucketsPerDelta = 16
)

// exchangeRound compares tables with one neighbour. A node that knows nobody
// tries its seeds and the contacts of the store; the others try one of these
// now and then when it is not a live member.
func (c *Controller) exchangeRound(ctx context.Context) {
	c.rounds++
	neighbours := c.neighbours.Load().Ring
	strangers := c.strangers()
	addrs := strangers
	if len(neighbours) > 0 {
		addrs = []string{neighbours[c.random.IntN(len(neighbours))].Addr}
		if len(strangers) > 0 && c.rounds%seedRounds == 0 {
			addrs = append(addrs, strangers[c.random.IntN(len(strangers))])
		}
	}
	for _, addr := range addrs {
		c.work.Go(func() { c.exchangeWith(ctx, addr) })
	}
}

// strangers returns the seeds and contacts that are not live members.
func (c *Controller) strangers() []string {
	live := map[string]bool{c.table.self().PeerAddr: true}
	for _, m := range c.table.members {
		if decide.Live(m) {
			live[m.PeerAddr] = true
		}
	}
	var strangers []string
	for _, addr := range slices.Concat(c.seeds, c.found) {
		if !live[addr] {
			live[addr] = true
			strangers = append(strangers, addr)
		}
	}
	return strangers
}

// exchangeWith compares the tables of this node and the node at addr and
// fetches and sends what differs.
func (c *Controller) exchangeWith(ctx context.Context, addr string) {
	own := c.board.Digest.Load()
	message := digestMessage(c.board)
	var answer wire.Digest
	if err := c.exchange(ctx, addr, exchangeTimeout, wire.TypeDigest, message, wire.TypeDigest, &answer); err != nil {
		c.log.Debug().Err(err).Str("peer", addr).Msg("digest exchange failed")
		return
	}
	c.board.Gossip.Post(board.GossipMessage{From: answer.Sender.Instance, Members: []board.Member{answer.Sender}, Versions: answer.Versions})
	if answer.RootHash != message.RootHash {
		for buckets := range slices.Chunk(decide.DifferingBuckets(own.BucketHashes, answer.BucketHashes), bucketsPerDelta) {
			members := c.board.Members.Load()
			c.exchangeDelta(ctx, addr, wire.Delta{
				From: members.Self, Members: decide.BucketRecords(members, buckets, maxRecords), WantedBuckets: buckets,
			})
		}
	}
	if answer.RumorsHash != message.RumorsHash {
		c.exchangeRumors(ctx, addr, own, answer.RumorIDs)
	}
}

// exchangeRumors fetches and sends the kept rumors that one side lacks.
func (c *Controller) exchangeRumors(ctx context.Context, addr string, own *board.MemberDigest, theirs []string) {
	delta := wire.Delta{From: c.board.Members.Load().Self}
	for _, id := range theirs {
		if _, found := own.RetainedRumors[id]; !found && len(delta.WantedRumors) < maxRumors {
			delta.WantedRumors = append(delta.WantedRumors, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(own.RetainedRumors)) {
		if !slices.Contains(theirs, id) && len(delta.Rumors) < maxRumors {
			delta.Rumors = append(delta.Rumors, own.RetainedRumors[id])
		}
	}
	c.exchangeDelta(ctx, addr, delta)
}

func (c *Controller) exchangeDelta(ctx context.Context, addr string, delta wire.Delta) {
	var answer wire.Delta
	if err := c.exchange(ctx, addr, exchangeTimeout, wire.TypeDelta, delta, wire.TypeDelta, &answer); err != nil {
		c.log.Debug().Err(err).Str("peer", addr).Msg("delta exchange failed")
		return
	}
	c.board.Gossip.Post(board.GossipMessage{From: answer.From, Members: answer.Members, Rumors: answer.Rumors})
}

// digestMessage returns the digest of the board's sections.
func digestMessage(b *board.Board) wire.Digest {
	members, digest := b.Members.Load(), b.Digest.Load()
	return wire.Digest{
		Sender: members.ByInstance[members.Self], RootHash: digest.RootHash, RumorsHash: digest.RumorsHash,
		Versions: b.Versions.Load().Numbers,
	}
}
