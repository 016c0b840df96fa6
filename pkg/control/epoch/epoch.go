// Package epoch keeps the Epochs section: which members of a service keep the
// records of its keys. It adopts higher epochs from any source, proposes the
// next one when the members change, and fetches the records of keys whose home
// moved to this node.
package epoch

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
	"mangostand.example/mangostand/platform"
)

const (
	// tickInterval is the resolution of proposals and of transfers that are
	// given up.
	tickInterval = 200 * time.Millisecond
	// debounce gathers the changes of members that come together, such as those
	// of a lost failure domain.
	debounce = 500 * time.Millisecond
	// proposerDelay is the lead of each proposer over the next one.
	proposerDelay = 500 * time.Millisecond
	// unknownGrace is how long after its start a node keeps members in the epoch
	// of which it has no record yet.
	unknownGrace = 10 * time.Second
	// confirmInterval spaces the confirmations of the epoch; two may fail before
	// the executor stops at keyhome.ConfirmValid.
	confirmInterval = 4 * time.Second
	// pullInterval spaces the comparisons of epochs with a random node. They
	// only make up for version numbers that were lost on their way between the
	// controllers; peers state the numbers of their epochs on ping answers.
	pullInterval = time.Minute
	// firstUnknownPause and lastUnknownPause space the questions for the epoch of
	// a service that has none here: a starting node needs it at once, a service
	// may have none for as long as the store is down.
	firstUnknownPause = tickInterval
	lastUnknownPause  = 5 * time.Second
	// storeTimeout bounds one call of the store.
	storeTimeout = 2 * time.Second
	// firstFetchPause and lastFetchPause space the repeated requests to a member
	// that has not sent its records.
	firstFetchPause = 20 * time.Millisecond
	lastFetchPause  = time.Second
)

// KeyPrefix precedes the name of the service in the store.
const KeyPrefix = "epochs/"

// Store is the part of the platform's store that the controller uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease string) (uint64, error)
}

// Keys is the part of the key protocol that the controller uses.
type Keys interface {
	Fetch(ctx context.Context, epoch *board.Epoch, from board.EpochMember) (keyhome.MemberTransfer, error)
	Pull(ctx context.Context, service string, known uint64, from board.EpochMember) (*wire.TransferPage, error)
	Announce(ctx context.Context, epoch *board.Epoch, to board.EpochMember) error
	AskMembers(ctx context.Context, epoch *board.Epoch) (*board.Epoch, bool)
}

// Controller writes the Epochs section.
type Controller struct {
	board       *board.Board
	writer      *board.Writer[*board.Epochs]
	keys        Keys
	store       Store
	self        board.InstanceID
	incarnation uint64
	log         zerolog.Logger
	members     <-chan struct{}

	started  time.Time
	services map[string]*service
	// results carries what a goroutine has found back to the controller.
	results chan func()
	workers sync.WaitGroup
	// nextPull is the time of the next comparison with a random node.
	nextPull time.Time
}

// service is the controller's state of one service.
type service struct {
	name string
	// wanted is the list of members that differs from the epoch, since when.
	wanted      []board.EpochMember
	wantedSince time.Time
	proposing   bool
	pulling     bool
	// nextAsk is when an unknown epoch is asked for again, askPause the pause
	// before it.
	nextAsk     time.Time
	askPause    time.Duration
	confirming  bool
	nextConfirm time.Time
	transfer    *transfer
}

// New claims the Epochs section. The store may be nil; then the node only
// adopts epochs of others.
func New(b *board.Board, keys Keys, store Store, self board.InstanceID, incarnation uint64, log zerolog.Logger) *Controller {
	return &Controller{
		board: b, writer: b.Epochs.Claim("epoch"), keys: keys, store: store, self: self, incarnation: incarnation,
		log: log, members: b.Members.Subscribe(), services: map[string]*service{}, results: make(chan func()),
	}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "epoch" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	c.started = time.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer c.workers.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case rumor := <-c.board.EpochRumors.Events():
			c.hear(ctx, rumor)
		case ahead := <-c.board.EpochVersions.Events():
			c.learn(ctx, ahead)
		case apply := <-c.results:
			apply()
		case <-c.members:
			c.propose(ctx, time.Now())
		case <-ticker.C:
			c.tick(ctx, time.Now())
		}
	}
}

// spawn runs work on a goroutine; the function that it returns is applied by
// the controller.
func (c *Controller) spawn(ctx context.Context, work func() func()) {
	c.workers.Go(func() {
		apply := work()
		select {
		case c.results <- apply:
		case <-ctx.Done():
		}
	})
}

func (c *Controller) tick(ctx context.Context, now time.Time) {
	c.propose(ctx, now)
	for _, s := range c.services {
		c.updateTransfer(s, now)
		c.confirm(ctx, s, now)
	}
	c.compare(ctx, now)
}

// state returns the controller's state of a service.
func (c *Controller) state(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{name: name}
		c.services[name] = s
	}
	return s
}

func (c *Controller) current(name string) *board.Epoch {
	if view := c.writer.Load().Get(name); view != nil {
		return view.Epoch
	}
	return nil
}

func numberOf(e *board.Epoch) uint64 {
	if e == nil {
		return 0
	}
	return e.Number
}

// publish replaces the view of a service and wakes those who wait for it.
func (c *Controller) publish(name string, view *board.EpochView) {
	view.Superseded = make(chan struct{})
	old := c.writer.Load()
	next := maps.Clone(old.ByService)
	next[name] = view
	c.writer.Publish(&board.Epochs{ByService: next})
	if former := old.Get(name); former != nil {
		close(former.Superseded)
	}
}

// adopt takes over an epoch that is higher than the current one.
func (c *Controller) adopt(ctx context.Context, epoch *board.Epoch, now time.Time) {
	old := c.writer.Load().Get(epoch.Service)
	if old != nil && old.Epoch.Number >= epoch.Number {
		return
	}
	s := c.state(epoch.Service)
	if s.transfer != nil {
		s.transfer.cancel()
		s.transfer = nil
	}
	view := &board.EpochView{Epoch: epoch, FormerHorizon: c.formerHorizon(old, epoch, now)}
	if epoch.HasMember(c.self, c.incarnation) && len(epoch.FormerEpochs) > 0 {
		view.Transfers = pendingSources(epoch)
	}
	c.publish(epoch.Service, view)
	c.tell(epoch)
	c.log.Info().Str("service", epoch.Service).Uint64("epoch", epoch.Number).Int("members", len(epoch.Members)).
		Bool("member", epoch.HasMember(c.self, c.incarnation)).Msg("epoch adopted")
	if view.Transfers != nil {
		c.startTransfer(ctx, s, epoch, now)
	}
	s.nextConfirm = now
	c.confirm(ctx, s, now)
}

// formerHorizon returns the horizon of the keys that had their home here in
// the former epoch. What this node never received counts as lost.
func (c *Controller) formerHorizon(old *board.EpochView, epoch *board.Epoch, now time.Time) time.Time {
	if !epoch.WasFormerMember(c.self, c.incarnation) {
		return time.Time{}
	}
	limits := c.board.Config.Load().AtMostOnce
	if old == nil || old.Epoch.Number != epoch.FormerNumber {
		return keyhome.HorizonAt(now, limits)
	}
	horizon, pending := old.Horizon()
	if pending {
		return keyhome.HorizonAt(now, limits)
	}
	return horizon
}

func pendingSources(epoch *board.Epoch) []map[board.InstanceID]board.TransferState {
	all := make([]map[board.InstanceID]board.TransferState, len(epoch.FormerEpochs))
	for i, former := range epoch.FormerEpochs {
		all[i] = make(map[board.InstanceID]board.TransferState, len(former.Members))
		for _, m := range former.Members {
			all[i][m.Instance] = board.TransferState{Pending: true}
		}
	}
	return all
}
