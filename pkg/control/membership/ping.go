package membership

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	decide "mangostand.example/mangostand/pkg/decide/membership"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// pingTimeout bounds a direct ping. Nodes are about 1 ms apart.
	pingTimeout = 300 * time.Millisecond
	// indirectTimeout bounds the confirmation through other neighbours; it
	// covers their direct ping.
	indirectTimeout = 500 * time.Millisecond
	// relays is the number of neighbours that confirm a missed ping.
	relays = 2
	// reunionPings is the number of pings to a dead member that answers: the
	// first carries the claims, the later ones fetch the refutations.
	reunionPings = 3
	// reunionInterval spaces them.
	reunionInterval = 300 * time.Millisecond
)

// pingRound pings the nearest successors.
func (c *Controller) pingRound(ctx context.Context, now time.Time) {
	if decide.WasPaused(c.lastRound, now) {
		clear(c.suspects)
	}
	c.lastRound = now
	for _, m := range c.ring.PingTargets(c.table.selfID, c.suspected) {
		if !c.pinging[m.Instance] {
			c.pinging[m.Instance] = true
			c.startPing(ctx, m)
		}
	}
}

func (c *Controller) suspected(id board.InstanceID) bool {
	_, found := c.suspects[id]
	return found
}

func (c *Controller) startPing(ctx context.Context, m board.Member) {
	ping := c.pingOf(m)
	relayAddrs := c.relayAddrs(m.Instance)
	c.work.Go(func() {
		answer, alive := c.ping(ctx, m, ping, relayAddrs)
		c.report(ctx, func() {
			delete(c.pinging, m.Instance)
			c.judgePing(ctx, m, answer, alive)
		})
	})
}

// pingOf returns the ping message for a member.
func (c *Controller) pingOf(m board.Member) wire.Ping {
	self := c.table.self()
	return wire.Ping{
		From: self.Instance, FromIncarnation: self.Incarnation, FromSequence: self.Sequence,
		Target: m.Instance, TargetIncarnation: m.Incarnation, TargetSequence: m.Sequence,
		VersionsHash: c.versions.Load().Hash,
	}
}

// relayAddrs returns random neighbours that are neither target nor suspected.
func (c *Controller) relayAddrs(target board.InstanceID) []string {
	var addrs []string
	for _, m := range c.ring.Neighbours(c.table.selfID) {
		if m.Instance != target && !c.suspected(m.Instance) {
			addrs = append(addrs, m.PeerAddr)
		}
	}
	c.random.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), relays)]
}

// ping asks a member directly and, after a miss, through the relays. It
// returns the last answer and whether one proves that the member is alive.
func (c *Controller) ping(ctx context.Context, m board.Member, ping wire.Ping, relayAddrs []string) (*wire.PingResponse, bool) {
	answer := &wire.PingResponse{}
	if c.exchange(ctx, m.PeerAddr, pingTimeout, wire.TypePing, ping, wire.TypePingResponse, answer) == nil {
		return answer, decide.ProvesAlive(m, answer.Instance, answer.Incarnation)
	}
	c.peers.Refresh(m.PeerAddr)
	answers := make(chan *wire.PingResponse, len(relayAddrs))
	for _, addr := range relayAddrs {
		c.work.Go(func() {
			relayed := &wire.PingResponse{}
			message := wire.PingIndirect{Ping: ping, TargetAddr: m.PeerAddr}
			if c.exchange(ctx, addr, indirectTimeout, wire.TypePingIndirect, message, wire.TypePingResponse, relayed) != nil {
				relayed = nil
			}
			answers <- relayed
		})
	}
	for range relayAddrs {
		if relayed := <-answers; relayed != nil {
			return relayed, decide.ProvesAlive(m, relayed.Instance, relayed.Incarnation)
		}
	}
	return nil, false
}

// judgePing updates the suspicion about a pinged member.
func (c *Controller) judgePing(ctx context.Context, m board.Member, answer *wire.PingResponse, alive bool) {
	now := time.Now()
	if answer != nil {
		c.receive(ctx, board.GossipMessage{From: answer.Instance, Members: answer.Members, Versions: answer.Versions}, now)
		c.reportLoad(answer, now)
	}
	if alive {
		delete(c.suspects, m.Instance)
		return
	}
	if current, found := c.table.members[m.Instance]; found && decide.Live(current) && current.Incarnation == m.Incarnation {
		c.suspects[m.Instance] = decide.Suspect(c.suspects[m.Instance], current, now)
	}
}

// reportLoad stores the load that came with an answer.
func (c *Controller) reportLoad(answer *wire.PingResponse, now time.Time) {
	cell := c.board.Endpoints.Load().ByInstance[answer.Instance]
	if answer.LoadReport == nil || cell == nil || cell.Member.Incarnation != answer.Incarnation {
		return
	}
	report := *answer.LoadReport
	report.ReceivedAt = now
	cell.UpdateLoadReport(report)
}

// retryDead contacts a dead member now and then, so that parts of the fleet
// that were apart find each other again.
func (c *Controller) retryDead(ctx context.Context) {
	m, found := decide.ReconnectTarget(c.members.Load(), c.random.Float64)
	if !found {
		return
	}
	c.work.Go(func() { c.reunite(ctx, m) })
}

// reunite pings a dead member with the claims that both sides may have to
// refute. The answers carry the claims of the other side.
func (c *Controller) reunite(ctx context.Context, dead board.Member) {
	for range reunionPings {
		members := c.board.Members.Load()
		self := members.ByInstance[members.Self]
		ping := wire.Ping{
			From: self.Instance, FromIncarnation: self.Incarnation, FromSequence: self.Sequence,
			Target: dead.Instance, TargetIncarnation: dead.Incarnation, TargetSequence: dead.Sequence,
			Members: []board.Member{dead, self},
		}
		var answer wire.PingResponse
		if c.exchange(ctx, dead.PeerAddr, pingTimeout, wire.TypePing, ping, wire.TypePingResponse, &answer) != nil {
			return
		}
		c.board.Gossip.Post(board.GossipMessage{From: answer.Instance, Members: answer.Members, Versions: answer.Versions})
		if !control.Sleep(ctx, reunionInterval) {
			return
		}
	}
}

// exchange is one message and its answer within a time limit.
func (c *Controller) exchange(ctx context.Context, addr string, limit time.Duration, send wire.MessageType, message any, receive wire.MessageType, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.peers.Exchange(ctx, addr, send, message, receive, answer)
}
