// Package membership keeps the Members section: which instances there are,
// what they serve and in which state they are.
package membership

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	exchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = 400 * time.Millisecond
)

// Controller writes the Members section.
type Controller struct {
	board  *board.Board
	writer *board.Writer[*board.Members]
	peers  *peer.Transport
	seeds  []string
	log    zerolog.Logger
	local  <-chan struct{}
}

// New claims the Members section for a node that starts with the record self.
func New(b *board.Board, self board.Member, peers *peer.Transport, seeds []string, log zerolog.Logger) *Controller {
	c := &Controller{
		board: b, writer: b.Members.Claim("membership"), peers: peers, seeds: seeds, log: log,
		local: b.Local.Subscribe(),
	}
	c.writer.Publish(board.NewMembers(self.Instance, map[board.InstanceID]board.Member{self.Instance: self}))
	return c
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "membership" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	go c.exchange(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case records := <-c.board.Gossip.Events():
			c.merge(records)
		case <-c.local:
			c.updateSelf()
		case <-ticker.C:
			go c.exchange(ctx)
		}
	}
}

func (c *Controller) merge(records []board.Member) {
	current := c.writer.Load()
	next := maps.Clone(current.ByInstance)
	changed := false
	for _, r := range records {
		old, known := next[r.Instance]
		if known && !r.Supersedes(old) {
			continue
		}
		if r.Instance == current.Self {
			r = refute(old, r)
		}
		next[r.Instance] = r
		changed = true
	}
	if changed {
		c.writer.Publish(board.NewMembers(current.Self, next))
	}
}

// refute answers a false record about this node with a higher sequence.
func refute(self, claim board.Member) board.Member {
	self.Sequence = max(self.Sequence, claim.Sequence) + 1
	return self
}

// updateSelf raises the sequence of this node's record after a change of its
// backend server.
func (c *Controller) updateSelf() {
	current := c.writer.Load()
	local := c.board.Local.Load()
	self := current.ByInstance[current.Self]
	next := self
	next.State = stateOf(local)
	next.Service, next.Slots, next.Connections = local.Service, local.Slots, local.Connections
	next.ServerIncarnation = local.Incarnation
	if next == self {
		return
	}
	next.Sequence++
	records := maps.Clone(current.ByInstance)
	records[current.Self] = next
	c.writer.Publish(board.NewMembers(current.Self, records))
}

func stateOf(local *board.Local) board.MemberState {
	switch {
	case local.Announced && local.Draining:
		return board.MemberDraining
	case local.Announced:
		return board.MemberServing
	}
	return board.MemberJoining
}

// exchange sends all records to one peer and merges its answer.
func (c *Controller) exchange(ctx context.Context) {
	members := c.board.Members.Load()
	addr := c.choosePeer(members)
	if addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer wire.Delta
	err := c.peers.Exchange(ctx, addr, wire.TypeDelta, wire.Delta{Members: recordsOf(members)}, wire.TypeDelta, &answer)
	if err != nil {
		c.log.Debug().Err(err).Str("peer", addr).Msg("membership exchange failed")
		return
	}
	c.board.Gossip.Post(answer.Members)
}

func (c *Controller) choosePeer(members *board.Members) string {
	self := members.ByInstance[members.Self]
	var addrs []string
	for _, m := range members.ByInstance {
		if m.Instance != members.Self && m.State < board.MemberLeft {
			addrs = append(addrs, m.PeerAddr)
		}
	}
	if len(addrs) == 0 || rand.IntN(8) == 0 {
		for _, s := range c.seeds {
			if s != self.PeerAddr {
				addrs = append(addrs, s)
			}
		}
	}
	if len(addrs) == 0 {
		return ""
	}
	return addrs[rand.IntN(len(addrs))]
}

func recordsOf(members *board.Members) []board.Member {
	records := make([]board.Member, 0, len(members.ByInstance))
	for _, m := range members.ByInstance {
		records = append(records, m)
	}
	return records
}

// HandleDelta answers an exchange from another node.
func HandleDelta(b *board.Board, peers *peer.Transport) peer.Handler {
	return func(_ context.Context, frame wire.Frame, stream *peer.Stream) error {
		peers.CountReceived(frame)
		var delta wire.Delta
		if err := frame.Decode(&delta); err != nil {
			return errors.Trace(err)
		}
		b.Gossip.Post(delta.Members)
		return peers.Answer(stream, wire.TypeDelta, wire.Delta{Members: recordsOf(b.Members.Load())})
	}
}
