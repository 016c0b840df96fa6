// Package membership keeps the Members section: which instances there are,
// what they serve and in which state they are. It also carries the rumors of
// other controllers and tells them which peer has a newer version.
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
	// pingInterval spaces the ping rounds.
	pingInterval = 500 * time.Millisecond
	// exchangeInterval spaces the digest exchanges.
	exchangeInterval = time.Second
	// timeoutCheckInterval spaces the checks of suspicions and held claims.
	timeoutCheckInterval = 100 * time.Millisecond
	// floodDelay gathers changes that arrive together into one message.
	floodDelay = 20 * time.Millisecond
	// reconnectInterval spaces the tries of dead members.
	reconnectInterval = 2 * time.Second
	// roundsPerSeedExchange is the number of exchanges after which one goes to a seed or
	// contact that is not a live member.
	roundsPerSeedExchange = 10
)

// Peers sends control messages to other nodes. *peer.Transport implements it.
type Peers interface {
	Exchange(ctx context.Context, addr string, requestType wire.Type, message any, answerType wire.Type, answer any) error
	// Refresh replaces the connection to addr when a new one can be made.
	Refresh(addr string)
}

// Options configures the controller of one node.
type Options struct {
	// Self is the first record of this node.
	Self board.Member
	// SeedAddrs lists peer addresses that are tried first.
	SeedAddrs []string
	// Store holds the contact keys; nil means that there is none.
	Store ContactStore
	Peers Peers
	Log   zerolog.Logger
	// RandomSeed fixes the random choices; 0 means a random seed.
	RandomSeed uint64
	// TombstoneTTL is how long left and dead records are kept and the dead are
	// tried again; 0 means 30 min.
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

	// The fields below belong to the goroutine of Run.
	table          *memberTable
	rumors         *rumorSet
	ring           *decide.Ring
	suspects       map[board.InstanceID]decide.Suspicion
	pingsInFlight  map[board.InstanceID]bool
	lastPingRound  time.Time
	exchangeRounds int
	contactLease   board.Contact
	contactAddrs   []string
	pendingFlood   floodBatch
	leftSent       bool
	// refutationRequests counts those since challengeWindow.
	refutationRequests      int
	refutationRequestsSince time.Time

	completions chan func()
	tasks       sync.WaitGroup
}

// New claims the sections and publishes the node's first record.
func New(b *board.Board, o Options) *Controller {
	c := &Controller{
		board:   b,
		members: b.Members.Claim("membership"), neighbours: b.Neighbours.Claim("membership"),
		digest: b.Digest.Claim("membership"), versions: b.Versions.Claim("membership"),
		peers: o.Peers, seedAddrs: o.SeedAddrs, log: o.Log,
		localServerUpdates: b.Local.Subscribe(), configUpdates: b.Config.Subscribe(),
		table: newMemberTable(o.Self, cmp.Or(o.TombstoneTTL, decide.TombstoneTTL)), rumors: newRumorSet(),
		suspects: map[board.InstanceID]decide.Suspicion{}, pingsInFlight: map[board.InstanceID]bool{},
		completions: make(chan func()),
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
	defer c.tasks.Wait()
	if c.contactManager != nil {
		c.tasks.Go(func() { c.runContactManager(ctx) })
	}
	pings, exchanges := time.NewTicker(pingInterval), time.NewTicker(exchangeInterval)
	checks, retries := time.NewTicker(timeoutCheckInterval), time.NewTicker(reconnectInterval)
	for _, t := range []*time.Ticker{pings, exchanges, checks, retries} {
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
		case rumor := <-c.board.RumorsOut.Events():
			c.sendRumor(rumor, time.Now())
		case version := <-c.board.VersionsOut.Events():
			c.raiseVersion(version)
		case <-c.localServerUpdates:
			c.updateOwnRecord()
		case <-c.configUpdates:
			c.raiseVersion(board.Version{Name: board.VersionConfig, Number: c.board.Config.Load().Version})
		case completion := <-c.completions:
			completion()
		case now := <-pings.C:
			c.startPingRound(ctx, now)
		case now := <-checks.C:
			c.processTimeouts(now)
		case <-exchanges.C:
			c.startExchangeRound(ctx)
		case <-retries.C:
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

// runContactManager keeps the contact keys and takes over what they report.
func (c *Controller) runContactManager(ctx context.Context) {
	c.contactManager.run(ctx, func(lease board.Contact, addrs []string) {
		c.complete(ctx, func() {
			c.contactLease = lease
			if addrs != nil {
				c.contactAddrs = addrs
			}
		})
	})
}

// complete runs f on the goroutine of Run, unless the controller ends first.
func (c *Controller) complete(ctx context.Context, f func()) {
	select {
	case c.completions <- f:
	case <-ctx.Done():
	}
}

// processTimeouts ends suspicions, held claims and old tombstones.
func (c *Controller) processTimeouts(now time.Time) {
	for id, suspicion := range c.suspects {
		record, known := c.table.members[id]
		switch state := decide.EvaluateSuspicion(suspicion, record, now); {
		case !known, state == decide.SuspicionCleared:
			delete(c.suspects, id)
		case state == decide.SuspicionConfirmed:
			delete(c.suspects, id)
			c.log.Warn().Str("instance", string(id)).Msg("declared dead")
			c.table.put(decide.DeclareDead(record), now)
			c.pendingFlood.addRecord(decide.DeclareDead(record), "")
		}
	}
	c.table.applyPendingDeaths(now)
	c.table.dropExpired(now)
	c.rumors.dropExpired(now)
}

// updateOwnRecord raises the sequence of this node's record after a change of its
// backend server.
func (c *Controller) updateOwnRecord() {
	local := c.board.Local.Load()
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

func memberStateOf(local *board.Local) board.MemberState {
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
