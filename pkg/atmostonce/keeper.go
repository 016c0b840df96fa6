// Package atmostonce runs a non-idempotent call at most once: an entry claims
// the key of the call at the key's home, the executor records the run before it
// touches the backend server, and both records survive the loss of one node.
package atmostonce

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// sweepInterval spaces the removal of expired records.
	sweepInterval = 10 * time.Second
	// rescanInterval spaces the search for outcomes that no home has yet.
	rescanInterval = time.Second
	// completionQueue bounds the outcomes that wait to be sent; the rescan finds
	// those that did not fit.
	completionQueue = 4096
	// completionWorkers bounds the exchanges with homes that run at once.
	completionWorkers = 4
	// exchangeTimeout bounds one exchange with another node, so that a dead node
	// does not use up the deadline of a call.
	exchangeTimeout = 500 * time.Millisecond
)

// Peers carries the key messages to another node. Errors mean that the answer
// is not known; the message may have had its effect.
type Peers interface {
	Claim(ctx context.Context, to board.EpochMember, m *wire.Claim) (*wire.ClaimResponse, error)
	Seal(ctx context.Context, to board.EpochMember, m *wire.Seal) (*wire.SealResponse, error)
	Complete(ctx context.Context, to board.EpochMember, m *wire.Complete) (*wire.CompleteResponse, error)
	Transfer(ctx context.Context, to board.EpochMember, m *wire.Transfer) (*wire.TransferPage, error)
}

// KeyController is the key protocol of one node: entry, home and executor side. Any
// goroutine may use it.
type KeyController struct {
	Self        board.InstanceID
	Incarnation uint64
	Board       *board.Board
	Peers       Peers
	Log         zerolog.Logger

	completions    chan board.KeyID
	unacknowledged atomic.Int64
	served         sync.Map // of servedTransfer to struct{}
	rounds         sync.Map // of roundKey to *confirmRound
}

// New returns the keeper of a node.
func New(self board.InstanceID, incarnation uint64, b *board.Board, peers Peers, log zerolog.Logger) *KeyController {
	return &KeyController{
		Self: self, Incarnation: incarnation, Board: b, Peers: peers, Log: log,
		completions: make(chan board.KeyID, completionQueue),
	}
}

// Name implements control.Controller.
func (k *KeyController) Name() string { return "keys" }

// Run implements control.Controller: it sends outcomes to their homes and drops
// expired records.
func (k *KeyController) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range completionWorkers {
		workers.Go(func() { k.sendCompletions(ctx) })
	}
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	rescan := time.NewTicker(rescanInterval)
	defer rescan.Stop()
	for {
		select {
		case <-ctx.Done():
			workers.Wait()
			return
		case <-sweep.C:
			k.sweep(time.Now())
		case <-rescan.C:
			k.rescan()
		}
	}
}

func (k *KeyController) sweep(now time.Time) {
	k.Board.Keys.HomeRecords.DropExpired(now)
	k.Board.Keys.ExecutorRecords.DropExpired(now)
	k.served.Range(func(key, _ any) bool {
		if s := key.(servedTransfer); s.epoch < k.EpochNumber(s.service) {
			k.served.Delete(key)
		}
		return true
	})
}

func (k *KeyController) limits() dynconf.AtMostOnce { return k.Board.Config.Load().AtMostOnce }

func (k *KeyController) memory() int64 { return int64(k.limits().KeyMemoryBytes) }

func (k *KeyController) view(service string) *board.EpochView {
	return k.Board.Epochs.Load().Get(service)
}

// EpochNumber returns the number of this node's epoch of a service, 0 when it
// knows none.
func (k *KeyController) EpochNumber(service string) uint64 {
	if view := k.view(service); view != nil {
		return view.Epoch.Number
	}
	return 0
}

// ForwardEpochNotice passes an epoch, or the number of one, that another node has told to
// the epoch controller. A notice that is not news is dropped here.
func (k *KeyController) ForwardEpochNotice(notice wire.EpochNotice) {
	if notice.EpochNumber <= k.EpochNumber(notice.Service) {
		return
	}
	rumor, err := wire.NewEpochRumor("", notice)
	if err != nil {
		k.Log.Error().Err(err).Msg("epoch notice cannot be encoded")
		return
	}
	k.Board.EpochRumors.Post(rumor)
}

func (k *KeyController) learnEpoch(epoch *board.Epoch) {
	if epoch != nil {
		k.ForwardEpochNotice(wire.EpochNotice{Service: epoch.Service, EpochNumber: epoch.Number, Epoch: epoch})
	}
}

// newerThan returns the epoch of a view when the other side has a lower one.
func newerThan(view *board.EpochView, number uint64) *board.Epoch {
	if view == nil || view.Epoch.Number <= number {
		return nil
	}
	return view.Epoch
}

// isHome reports whether this incarnation of the node is the home of a key.
func (k *KeyController) isHome(view *board.EpochView, id board.KeyID) bool {
	home, ok := keyhome.Home(view.Epoch.Members, id)
	return ok && home.Instance == k.Self && home.Incarnation == k.Incarnation
}

// await sleeps until the view is superseded, the time has passed or ctx ends.
func await(ctx context.Context, view *board.EpochView, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	var superseded chan struct{}
	if view != nil {
		superseded = view.Superseded
	}
	select {
	case <-superseded:
	case <-timer.C:
	case <-ctx.Done():
	}
}
