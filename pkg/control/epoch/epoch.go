// Package epoch writes the Epochs section: the epoch of each service, which says
// which members of the service store the records of its idempotency keys. The
// member that stores the record of a key is the home of the key.
//
// The controller adopts a newer epoch, one with a higher number, from any
// source. It proposes the next epoch when the members change, and fetches the
// records of keys whose home moved to this node.
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
	// tickInterval is the resolution of the proposal delays and of the times at
	// which transfers are given up.
	tickInterval = 200 * time.Millisecond
	// membershipDebounce is how long the members must be unchanged before a
	// proposal, so that one epoch covers changes that come together, such as the
	// loss of a failure domain.
	membershipDebounce = 500 * time.Millisecond
	// proposerDelay is the additional delay of each proposer after the one before
	// it in the order, so that usually only one node proposes.
	proposerDelay = 500 * time.Millisecond
	// unknownMemberGrace is how long after its start a node keeps members of the
	// epoch that its membership table does not contain yet.
	unknownMemberGrace = 10 * time.Second
	// confirmInterval is the time between confirmations of an epoch. Two may fail
	// before the last one expires after keyhome.ConfirmationTTL and the executor
	// stops running calls.
	confirmInterval = 4 * time.Second
	// antiEntropyInterval is the time between the regular pulls from random nodes.
	// They only compensate for version numbers that a full inbox of the board
	// dropped: peers advertise their epoch numbers in ping responses.
	antiEntropyInterval = time.Minute
	// initialPullBackoff and maxPullBackoff bound the time between pulls of an
	// epoch that this node does not know. A starting node needs it at once, but the
	// service may have no epoch as long as the store is down.
	initialPullBackoff = tickInterval
	maxPullBackoff     = 5 * time.Second
	// storeCallTimeout bounds one call to the store.
	storeCallTimeout = 2 * time.Second
	// initialFetchBackoff and maxFetchBackoff bound the time between requests to a
	// member that has not sent all its records.
	initialFetchBackoff = 20 * time.Millisecond
	maxFetchBackoff     = time.Second
)

// StoreKeyPrefix is the prefix of the store keys of epochs. The name of the
// service follows.
const StoreKeyPrefix = "epochs/"

// Store is the part of the store client that the controller uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease string) (uint64, error)
}

// Peers is the part of the idempotency key protocol between nodes that the
// controller uses.
type Peers interface {
	FetchRecords(ctx context.Context, epoch *board.Epoch, from board.EpochMember) (keyhome.MemberTransfer, error)
	PullEpoch(ctx context.Context, service string, known uint64, from board.EpochMember) (*wire.TransferPage, error)
	AnnounceEpoch(ctx context.Context, epoch *board.Epoch, to board.EpochMember) error
	ConfirmEpoch(ctx context.Context, epoch *board.Epoch) (*board.Epoch, bool)
}

// Controller writes the Epochs section.
type Controller struct {
	board         *board.Board
	writer        *board.Writer[*board.Epochs]
	peers         Peers
	store         Store
	self          board.InstanceID
	incarnation   uint64
	log           zerolog.Logger
	memberUpdates <-chan struct{}

	startedAt time.Time
	services  map[string]*serviceState
	// callbacks carries functions that background goroutines run on the goroutine
	// of Run.
	callbacks chan func()
	workers   sync.WaitGroup
	// nextAntiEntropy is the time of the next regular pull from random nodes.
	nextAntiEntropy time.Time
}

// serviceState is the controller's state of one service.
type serviceState struct {
	name string
	// desiredMembers are the members that the next epoch should have, nil if the
	// current one has them. The proposal delay runs from desiredSince.
	desiredMembers []board.EpochMember
	desiredSince   time.Time
	proposing      bool
	pulling        bool
	// nextPull is the time of the next pull while the epoch of the service is not
	// known, and pullBackoff the time between the last pull and this one.
	nextPull    time.Time
	pullBackoff time.Duration
	confirming  bool
	nextConfirm time.Time
	transfer    *recordTransfer
}

// New returns a controller and claims the Epochs section. If store is nil, the
// controller proposes no epochs and only adopts those of other nodes.
func New(b *board.Board, peers Peers, store Store, self board.InstanceID, incarnation uint64, log zerolog.Logger) *Controller {
	return &Controller{
		board: b, writer: b.Epochs.Claim("epoch"), peers: peers, store: store, self: self, incarnation: incarnation,
		log: log, memberUpdates: b.Members.Subscribe(), services: map[string]*serviceState{}, callbacks: make(chan func()),
	}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "epoch" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	c.startedAt = time.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer c.workers.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case rumor := <-c.board.EpochRumors.Events():
			c.handleRumor(ctx, rumor)
		case peerVersion := <-c.board.EpochVersions.Events():
			c.handlePeerVersion(ctx, peerVersion)
		case callback := <-c.callbacks:
			callback()
		case <-c.memberUpdates:
			c.proposeEpochs(ctx, time.Now())
		case <-ticker.C:
			c.tick(ctx, time.Now())
		}
	}
}

// runAsync runs work on a goroutine of its own, and then the function that work
// returns on the goroutine of Run.
func (c *Controller) runAsync(ctx context.Context, work func() func()) {
	c.workers.Go(func() {
		callback := work()
		select {
		case c.callbacks <- callback:
		case <-ctx.Done():
		}
	})
}

func (c *Controller) tick(ctx context.Context, now time.Time) {
	c.proposeEpochs(ctx, now)
	for _, s := range c.services {
		c.updateTransfer(s, now)
		c.confirmEpoch(ctx, s, now)
	}
	c.pullDueEpochs(ctx, now)
}

// stateOf returns the state of a service, which it creates if necessary.
func (c *Controller) stateOf(name string) *serviceState {
	s := c.services[name]
	if s == nil {
		s = &serviceState{name: name}
		c.services[name] = s
	}
	return s
}

func (c *Controller) currentEpoch(name string) *board.Epoch {
	if view := c.writer.Load().Get(name); view != nil {
		return view.Epoch
	}
	return nil
}

func epochNumber(e *board.Epoch) uint64 {
	if e == nil {
		return 0
	}
	return e.Number
}

// publishView replaces the view of a service and wakes the goroutines that wait
// for a change of it.
func (c *Controller) publishView(name string, view *board.EpochView) {
	view.Superseded = make(chan struct{})
	old := c.writer.Load()
	next := maps.Clone(old.ByService)
	next[name] = view
	c.writer.Publish(&board.Epochs{ByService: next})
	if previous := old.Get(name); previous != nil {
		close(previous.Superseded)
	}
}

// adoptEpoch makes an epoch the current one if it is newer. It advertises the
// epoch, starts the transfer of records to this node and confirms the epoch.
func (c *Controller) adoptEpoch(ctx context.Context, epoch *board.Epoch, now time.Time) {
	old := c.writer.Load().Get(epoch.Service)
	if old != nil && old.Epoch.Number >= epoch.Number {
		return
	}
	s := c.stateOf(epoch.Service)
	if s.transfer != nil {
		s.transfer.cancel()
		s.transfer = nil
	}
	view := &board.EpochView{Epoch: epoch, FormerHorizon: c.formerHorizon(old, epoch, now)}
	if epoch.HasMember(c.self, c.incarnation) && len(epoch.FormerEpochs) > 0 {
		view.Transfers = pendingTransfers(epoch)
	}
	c.publishView(epoch.Service, view)
	c.advertiseVersion(epoch)
	c.log.Info().Str("service", epoch.Service).Uint64("epoch", epoch.Number).Int("members", len(epoch.Members)).
		Bool("member", epoch.HasMember(c.self, c.incarnation)).Msg("epoch adopted")
	if view.Transfers != nil {
		c.startTransfer(ctx, s, epoch, now)
	}
	s.nextConfirm = now
	c.confirmEpoch(ctx, s, now)
}

// formerHorizon returns the horizon of the keys whose home was this node in the
// former epoch: a key created up to this time may have been executed although
// there is no record of it. Records that this node had not yet received count as
// lost.
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

func pendingTransfers(epoch *board.Epoch) []map[board.InstanceID]board.TransferState {
	transfers := make([]map[board.InstanceID]board.TransferState, len(epoch.FormerEpochs))
	for i, former := range epoch.FormerEpochs {
		transfers[i] = make(map[board.InstanceID]board.TransferState, len(former.Members))
		for _, m := range former.Members {
			transfers[i][m.Instance] = board.TransferState{Pending: true}
		}
	}
	return transfers
}
