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
	// checkInterval spaces the checks of suspicions and held claims.
	checkInterval = 100 * time.Millisecond
	// floodDelay gathers changes that arrive together into one message.
	floodDelay = 20 * time.Millisecond
	// retryInterval spaces the tries of dead members.
	retryInterval = 2 * time.Second
	// seedRounds is the number of exchanges after which one goes to a seed or
	// contact that is not a live member.
	seedRounds = 10
)

// Peers sends control messages to other nodes. *peer.Transport implements it.
type Peers interface {
	Exchange(ctx context.Context, addr string, send wire.MessageType, message any, receive wire.MessageType, answer any) error
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
	// Seed fixes the random choices; 0 means a random seed.
	Seed uint64
	// TombstoneTime is how long left and dead records are kept and the dead are
	// tried again; 0 means 30 min.
	TombstoneTime time.Duration
}

// Controller writes the Members, Neighbours, Digest and Versions sections.
type Controller struct {
	board      *board.Board
	members    *board.Writer[*board.Members]
	neighbours *board.Writer[*board.Neighbours]
	digest     *board.Writer[*board.MemberDigest]
	versions   *board.Writer[*board.Versions]
	peers      Peers
	seeds      []string
	log        zerolog.Logger
	localWake  <-chan struct{}
	configWake <-chan struct{}
	contacts   *contacts
	random     *rand.Rand

	// The fields below belong to the goroutine of Run.
	table     *table
	rumors    *rumorLog
	ring      *decide.Ring
	suspects  map[board.InstanceID]decide.Suspicion
	pinging   map[board.InstanceID]bool
	lastRound time.Time
	rounds    int
	contact   board.ContactLease
	found     []string
	flood     pending
	leftSent  bool
	// challenges counts those since challengeWindow.
	challenges      int
	challengeWindow time.Time

	results chan func()
	work    sync.WaitGroup
}

// New claims the sections and publishes the node's first record.
func New(b *board.Board, o Options) *Controller {
	c := &Controller{
		board:   b,
		members: b.Members.Claim("membership"), neighbours: b.Neighbours.Claim("membership"),
		digest: b.Digest.Claim("membership"), versions: b.Versions.Claim("membership"),
		peers: o.Peers, seeds: o.SeedAddrs, log: o.Log,
		localWake: b.LocalServer.Subscribe(), configWake: b.Config.Subscribe(),
		table: newTable(o.Self, cmp.Or(o.TombstoneTime, decide.TombstoneTTL)), rumors: newRumorLog(),
		suspects: map[board.InstanceID]decide.Suspicion{}, pinging: map[board.InstanceID]bool{},
		results: make(chan func()),
	}
	seed := o.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	c.random = rand.New(rand.NewPCG(seed, 1))
	if o.Store != nil {
		c.contacts = newContacts(b, o.Store, rand.New(rand.NewPCG(seed, 2)), o.Log)
	}
	c.publish()
	return c
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "membership" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	defer c.work.Wait()
	if c.contacts != nil {
		c.work.Go(func() { c.runContacts(ctx) })
	}
	pings, exchanges := time.NewTicker(pingInterval), time.NewTicker(exchangeInterval)
	checks, retries := time.NewTicker(checkInterval), time.NewTicker(retryInterval)
	for _, t := range []*time.Ticker{pings, exchanges, checks, retries} {
		defer t.Stop()
	}
	flush := time.NewTimer(0)
	defer flush.Stop()
	c.updateSelf()
	c.exchangeRound(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-c.board.Gossip.Events():
			c.receive(ctx, message, time.Now())
			c.receiveWaiting(ctx)
		case rumor := <-c.board.OutgoingRumors.Events():
			c.sendRumor(rumor, time.Now())
		case version := <-c.board.OutgoingVersions.Events():
			c.raiseVersion(version)
		case <-c.localWake:
			c.updateSelf()
		case <-c.configWake:
			c.raiseVersion(board.NamedVersion{Name: board.ConfigVersionName, Number: c.board.Config.Load().Version})
		case result := <-c.results:
			result()
		case now := <-pings.C:
			c.pingRound(ctx, now)
		case now := <-checks.C:
			c.check(now)
		case <-exchanges.C:
			c.exchangeRound(ctx)
		case <-retries.C:
			c.retryDead(ctx)
		case <-flush.C:
			c.flush(ctx)
		}
		c.publish()
		if !c.flood.empty() && !c.flood.scheduled {
			c.flood.scheduled = true
			flush.Reset(floodDelay)
		}
	}
}

// runContacts keeps the contact keys and takes over what they report.
func (c *Controller) runContacts(ctx context.Context) {
	c.contacts.run(ctx, func(held board.ContactLease, addrs []string) {
		c.report(ctx, func() {
			c.contact = held
			if addrs != nil {
				c.found = addrs
			}
		})
	})
}

// report runs f on the goroutine of Run, unless the controller ends first.
func (c *Controller) report(ctx context.Context, f func()) {
	select {
	case c.results <- f:
	case <-ctx.Done():
	}
}

// check ends suspicions, held claims and old tombstones.
func (c *Controller) check(now time.Time) {
	for id, suspicion := range c.suspects {
		record, known := c.table.members[id]
		switch verdict := decide.EvaluateSuspicion(suspicion, record, now); {
		case !known, verdict == decide.SuspicionCleared:
			delete(c.suspects, id)
		case verdict == decide.SuspicionConfirmed:
			delete(c.suspects, id)
			c.log.Warn().Str("instance", string(id)).Msg("declared dead")
			c.table.set(decide.DeclareDead(record), now)
			c.flood.addMember(decide.DeclareDead(record), "")
		}
	}
	c.table.applyHeld(now)
	c.table.dropOld(now)
	c.rumors.dropOld(now)
}

// updateSelf raises the sequence of this node's record after a change of its
// backend server.
func (c *Controller) updateSelf() {
	local := c.board.LocalServer.Load()
	self := c.table.self()
	next := self
	next.State = stateOf(local)
	next.Service, next.Slots, next.Connections = local.Service, local.Slots, local.Connections
	next.ServerIncarnation = local.Incarnation
	if next == self || c.table.replacedSelf {
		return
	}
	next.Sequence++
	c.table.set(next, time.Now())
	c.flood.addMember(next, "")
}

func stateOf(local *board.LocalServer) board.MemberState {
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
