// Package membership maintains the Members section: which instances exist, what
// they serve and in which state they are. Failed members are detected by pings
// as in SWIM, changes are flooded to ring neighbours, and digest exchanges
// (anti-entropy) deliver the changes that a node missed. The package also floods
// the rumors of other controllers and tells them which peers have newer versions.
package membership

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// pingInterval is the time between two ping rounds.
	pingInterval = 500 * time.Millisecond
	// exchangeInterval is the time between two digest exchange rounds.
	exchangeInterval = time.Second
	// timeoutCheckInterval is the time between two checks for suspicions,
	// pending deaths and other state that has timed out.
	timeoutCheckInterval = 100 * time.Millisecond
	// floodDelay is how long a change waits for others that are flooded in the
	// same message.
	floodDelay = 20 * time.Millisecond
	// reconnectInterval is the time between two attempts to reconnect to a dead
	// member.
	reconnectInterval = 2 * time.Second
	// roundsPerSeedExchange is the number of exchange rounds per exchange with
	// a seed or contact address that belongs to no live member.
	roundsPerSeedExchange = 10
)

// Peers sends control messages to other nodes. *peer.Transport implements it.
type Peers interface {
	// Exchange sends a message and decodes its response, which must have
	// responseType, into response.
	Exchange(ctx context.Context, addr string, requestType wire.MessageType, message any, responseType wire.MessageType, response any) error
	// Refresh replaces the connection to addr when a new one can be made.
	Refresh(addr string)
}

// Options configures the controller of one node.
type Options struct {
	// Self is the initial record of this node.
	Self board.Member
	// SeedAddrs lists the peer addresses of nodes through which this node
	// joins.
	SeedAddrs []string
	// Store holds the contact keys; nil means that there is no store.
	Store ContactStore
	Peers Peers
	Log   zerolog.Logger
	// RandomSeed makes the random choices reproducible; 0 means a random seed.
	RandomSeed uint64
	// TombstoneTTL is how long left and dead records are kept, and how long
	// this node tries to reconnect to dead members; 0 means 30 min.
	TombstoneTTL time.Duration
}

// Controller writes the Members, Neighbours, Digest and Versions sections.
type Controller struct {
	board              *board.Board
	members            *board.Writer[*board.Members]
	neighbours         *board.Writer[*board.Neighbours]
	digest             *board.Writer[*board.MemberDigest]
	versions           *board.Writer[*board.Versions]
	peers              Peers
	seedAddrs          []string
	log                zerolog.Logger
	localServerUpdates <-chan struct{}
	configUpdates      <-chan struct{}
	contactManager     *contactManager
	random             *rand.Rand

	// Only the goroutine of Run uses the fields from here to
	// refutationRequestsSince.
	table    *memberTable
	rumors   *rumorSet
	ring     *decide.Ring
	suspects map[board.InstanceID]decide.Suspicion
	// pingsInFlight holds the members whose ping has not ended.
	pingsInFlight  map[board.InstanceID]bool
	lastPingRound  time.Time
	exchangeRounds int
	contactLease   board.ContactLease
	// contactAddrs are the peer addresses that the newest read of the contact
	// keys found.
	contactAddrs []string
	pendingFlood floodBatch
	// leftSent is set when the record with the state left has been sent to
	// the neighbours.
	leftSent bool
	// refutationRequests counts the refutation requests that other nodes'
	// records caused since refutationRequestsSince.
	refutationRequests      int
	refutationRequestsSince time.Time

	// callbacks carries functions that background goroutines run on the
	// goroutine of Run.
	callbacks chan func()
	workers   sync.WaitGroup
}

// New claims the sections and publishes the initial record of this node.
func New(b *board.Board, o Options) *Controller {
	c := &Controller{
		board:   b,
		members: b.Members.Claim("membership"), neighbours: b.Neighbours.Claim("membership"),
		digest: b.Digest.Claim("membership"), versions: b.Versions.Claim("membership"),
		peers: o.Peers, seedAddrs: o.SeedAddrs, log: o.Log,
		localServerUpdates: b.LocalServer.Subscribe(), configUpdates: b.Config.Subscribe(),
		table: newMemberTable(o.Self, cmp.Or(o.TombstoneTTL, decide.TombstoneTTL)), rumors: newRumorSet(),
		suspects: map[board.InstanceID]decide.Suspicion{}, pingsInFlight: map[board.InstanceID]bool{},
		callbacks: make(chan func()),
	}
	seed := o.RandomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	c.random = rand.New(rand.NewPCG(seed, 1))
	if o.Store != nil {
		c.contactManager = newContactManager(b, o.Store, rand.New(rand.NewPCG(seed, 2)), o.Log)
	}
	c.publish()
	return c
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "membership" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	defer c.workers.Wait()
	if c.contactManager != nil {
		c.workers.Go(func() { c.runContactManager(ctx) })
	}
	pings, exchanges := time.NewTicker(pingInterval), time.NewTicker(exchangeInterval)
	checks, reconnects := time.NewTicker(timeoutCheckInterval), time.NewTicker(reconnectInterval)
	for _, t := range []*time.Ticker{pings, exchanges, checks, reconnects} {
		defer t.Stop()
	}
	flushTimer := time.NewTimer(0)
	defer flushTimer.Stop()
	c.updateOwnRecord()
	c.startExchangeRound(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-c.board.Gossip.Events():
			c.handleGossip(ctx, message, time.Now())
			c.drainGossip(ctx)
		case rumor := <-c.board.OutgoingRumors.Events():
			c.floodRumor(rumor, time.Now())
		case version := <-c.board.OutgoingVersions.Events():
			c.raiseVersion(version)
		case <-c.localServerUpdates:
			c.updateOwnRecord()
		case <-c.configUpdates:
			c.raiseVersion(board.NamedVersion{Name: board.ConfigVersionName, Number: c.board.Config.Load().Version})
		case callback := <-c.callbacks:
			callback()
		case now := <-pings.C:
			c.startPingRound(ctx, now)
		case now := <-checks.C:
			c.processTimeouts(now)
		case <-exchanges.C:
			c.startExchangeRound(ctx)
		case <-reconnects.C:
			c.startReconnect(ctx)
		case <-flushTimer.C:
			c.flush(ctx)
		}
		c.publish()
		if !c.pendingFlood.empty() && !c.pendingFlood.flushScheduled {
			c.pendingFlood.flushScheduled = true
			flushTimer.Reset(floodDelay)
		}
	}
}

// runContactManager runs the contact manager and stores what it finds.
func (c *Controller) runContactManager(ctx context.Context) {
	c.contactManager.run(ctx, func(lease board.ContactLease, addrs []string) {
		c.runOnController(ctx, func() {
			c.contactLease = lease
			if addrs != nil {
				c.contactAddrs = addrs
			}
		})
	})
}

// runOnController runs callback on the goroutine of Run, unless ctx ends first.
func (c *Controller) runOnController(ctx context.Context, callback func()) {
	select {
	case c.callbacks <- callback:
	case <-ctx.Done():
	}
}

// processTimeouts declares members dead whose suspicion is confirmed, applies
// pending deaths, and drops what has expired.
func (c *Controller) processTimeouts(now time.Time) {
	for id, suspicion := range c.suspects {
		record, known := c.table.members[id]
		switch state := decide.EvaluateSuspicion(suspicion, record, now); {
		case !known, state == decide.SuspicionCleared:
			delete(c.suspects, id)
		case state == decide.SuspicionConfirmed:
			delete(c.suspects, id)
			c.log.Warn().Str("instance", string(id)).Msg("declared a member dead")
			c.table.put(decide.DeclareDead(record), now)
			c.pendingFlood.addRecord(decide.DeclareDead(record), "")
		}
	}
	c.table.applyPendingDeaths(now)
	c.table.dropExpired(now)
	c.rumors.dropExpired(now)
}

// updateOwnRecord raises the sequence of this node's record when the state of
// its backend server changed. A process that was replaced by a newer one no
// longer changes the record.
func (c *Controller) updateOwnRecord() {
	local := c.board.LocalServer.Load()
	self := c.table.self()
	next := self
	next.State = memberStateOf(local)
	next.Service, next.Slots, next.Connections = local.Service, local.Slots, local.Connections
	next.ServerIncarnation = local.Incarnation
	if next == self || c.table.selfReplaced {
		return
	}
	next.Sequence++
	c.table.put(next, time.Now())
	c.pendingFlood.addRecord(next, "")
}

// memberStateOf returns the member state that follows from the state of the
// backend server and of this node.
func memberStateOf(local *board.LocalServer) board.MemberState {
	switch {
	case local.Stopped:
		return board.MemberLeft
	case local.Stopping, local.Announced && local.Draining:
		return board.MemberDraining
	case local.Announced:
		return board.MemberServing
	}
	return board.MemberJoining
}
