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
	// pingTimeout limits a direct ping. The network latency between nodes is
	// about 1 ms.
	pingTimeout = 300 * time.Millisecond
	// indirectPingTimeout limits an indirect ping, which includes the direct
	// ping that the relay sends.
	indirectPingTimeout = 500 * time.Millisecond
	// maxRelays is the number of neighbours that are asked to ping a member
	// that did not respond.
	maxRelays = 2
	// reconnectPings is the number of pings to a dead member that responds: the
	// first carries the claims to refute, the later ones fetch the refutations.
	reconnectPings = 3
	// reconnectPingInterval is the time between two of these pings.
	reconnectPingInterval = 300 * time.Millisecond
)

// startPingRound starts pings to the nearest successors. After a pause of this
// node it first drops its suspicions.
func (c *Controller) startPingRound(ctx context.Context, now time.Time) {
	if decide.WasPaused(c.lastPingRound, now) {
		clear(c.suspects)
	}
	c.lastPingRound = now
	for _, m := range c.ring.PingTargets(c.table.selfID, c.isSuspected) {
		if !c.pingsInFlight[m.Instance] {
			c.pingsInFlight[m.Instance] = true
			c.startPing(ctx, m)
		}
	}
}

func (c *Controller) isSuspected(id board.InstanceID) bool {
	_, found := c.suspects[id]
	return found
}

// startPing pings a member in the background.
func (c *Controller) startPing(ctx context.Context, m board.Member) {
	ping := c.newPing(m)
	relayAddrs := c.chooseRelays(m.Instance)
	c.workers.Go(func() {
		response, alive := c.pingMember(ctx, m, ping, relayAddrs)
		c.runOnController(ctx, func() {
			delete(c.pingsInFlight, m.Instance)
			c.handlePingResult(ctx, m, response, alive)
		})
	})
}

// newPing returns the ping message for a member.
func (c *Controller) newPing(m board.Member) wire.Ping {
	self := c.table.self()
	return wire.Ping{
		From: self.Instance, FromIncarnation: self.Incarnation, FromSequence: self.Sequence,
		Target: m.Instance, TargetIncarnation: m.Incarnation, TargetSequence: m.Sequence,
		VersionsHash: c.versions.Load().Hash,
	}
}

// chooseRelays returns the addresses of up to maxRelays random neighbours that
// are neither the target nor suspected.
func (c *Controller) chooseRelays(target board.InstanceID) []string {
	var addrs []string
	for _, m := range c.ring.Neighbours(c.table.selfID) {
		if m.Instance != target && !c.isSuspected(m.Instance) {
			addrs = append(addrs, m.PeerAddr)
		}
	}
	c.random.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), maxRelays)]
}

// pingMember pings a member directly and, if that fails, through the relays. It
// returns the first response, or nil, and whether it proves that the member is
// alive.
func (c *Controller) pingMember(ctx context.Context, m board.Member, ping wire.Ping, relayAddrs []string) (*wire.PingResponse, bool) {
	response := &wire.PingResponse{}
	if c.request(ctx, m.PeerAddr, pingTimeout, wire.TypePing, ping, wire.TypePingResponse, response) == nil {
		return response, decide.ProvesAlive(m, response.Instance, response.Incarnation)
	}
	c.peers.Refresh(m.PeerAddr)
	responses := make(chan *wire.PingResponse, len(relayAddrs))
	for _, addr := range relayAddrs {
		c.workers.Go(func() {
			relayed := &wire.PingResponse{}
			message := wire.PingIndirect{Ping: ping, TargetAddr: m.PeerAddr}
			if c.request(ctx, addr, indirectPingTimeout, wire.TypePingIndirect, message, wire.TypePingResponse, relayed) != nil {
				relayed = nil
			}
			responses <- relayed
		})
	}
	for range relayAddrs {
		if relayed := <-responses; relayed != nil {
			return relayed, decide.ProvesAlive(m, relayed.Instance, relayed.Incarnation)
		}
	}
	return nil, false
}

// handlePingResult handles the contents of a response and ends or starts the
// suspicion of the pinged member.
func (c *Controller) handlePingResult(ctx context.Context, m board.Member, response *wire.PingResponse, alive bool) {
	now := time.Now()
	if response != nil {
		c.handleGossip(ctx, board.GossipMessage{From: response.Instance, Members: response.Members, Versions: response.Versions}, now)
		c.updateLoadReport(response, now)
	}
	if alive {
		delete(c.suspects, m.Instance)
		return
	}
	if current, found := c.table.members[m.Instance]; found && decide.Live(current) && current.Incarnation == m.Incarnation {
		c.suspects[m.Instance] = decide.Suspect(c.suspects[m.Instance], current, now)
	}
}

// updateLoadReport stores the load report of a response.
func (c *Controller) updateLoadReport(response *wire.PingResponse, now time.Time) {
	endpoint := c.board.Endpoints.Load().ByInstance[response.Instance]
	if response.LoadReport == nil || endpoint == nil || endpoint.Member.Incarnation != response.Incarnation {
		return
	}
	report := *response.LoadReport
	report.ReceivedAt = now
	endpoint.UpdateLoadReport(report)
}

// startReconnect pings a dead member, if decide.ReconnectTarget chooses one, so
// that parts of the fleet merge again after a partition.
func (c *Controller) startReconnect(ctx context.Context) {
	m, found := decide.ReconnectTarget(c.members.Load(), c.random.Float64)
	if !found {
		return
	}
	c.workers.Go(func() { c.reconnect(ctx, m) })
}

// reconnect pings a dead member. The pings carry the record that declares the
// member dead, which it refutes if it is alive, and the record of this node.
// The responses carry the refutation and, if the member considers this node dead,
// the record that this node has to refute.
func (c *Controller) reconnect(ctx context.Context, dead board.Member) {
	for range reconnectPings {
		members := c.board.Members.Load()
		self := members.ByInstance[members.Self]
		ping := wire.Ping{
			From: self.Instance, FromIncarnation: self.Incarnation, FromSequence: self.Sequence,
			Target: dead.Instance, TargetIncarnation: dead.Incarnation, TargetSequence: dead.Sequence,
			Members: []board.Member{dead, self},
		}
		var response wire.PingResponse
		if c.request(ctx, dead.PeerAddr, pingTimeout, wire.TypePing, ping, wire.TypePingResponse, &response) != nil {
			return
		}
		c.board.Gossip.Post(board.GossipMessage{From: response.Instance, Members: response.Members, Versions: response.Versions})
		if !control.Sleep(ctx, reconnectPingInterval) {
			return
		}
	}
}

// request sends a message and waits for its response, at most for timeout.
func (c *Controller) request(ctx context.Context, addr string, timeout time.Duration, requestType wire.MessageType, message any, responseType wire.MessageType, response any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.peers.Exchange(ctx, addr, requestType, message, responseType, response)
}
