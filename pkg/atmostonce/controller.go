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
	// completionQueueSize bounds the outcomes that wait to be sent; the rescan finds
	// those that did not fit.
	completionQueueSize = 4096
	// completionWorkers bounds the exchanges with homes that run at once.
	completionWorkers = 4
	// peerRequestTimeout bounds one exchange with another node, so that a dead node
	// does not use up the deadline of a call.
	peerRequestTimeout = 500 * time.Millisecond
)

// Peers carries the key messages to another node. Errors mean that the answer
// is not known; the message may have had its effect.
type Peers interface {
	Claim(ctx context.Context, to board.EpochMember, m *wire.Claim) (*wire.ClaimAnswer, error)
	Seal(ctx context.Context, to board.EpochMember, m *wire.Seal) (*wire.SealAnswer, error)
	Complete(ctx context.Context, to board.EpochMember, m *wire.Complete) (*wire.CompleteAnswer, error)
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

	completions            chan board.KeyID
	unacknowledgedOutcomes atomic.Int64
	completedTransfers     sync.Map // of servedTransfer to struct{}
	confirmationRounds     sync.Map // of roundKey to *confirmRound
}

// New returns the keeper of a node.
func New(self board.InstanceID, incarnation uint64, b *board.Board, peers Peers, log zerolog.Logger) *KeyController {
	return &KeyController{
		Self: self, Incarnation: incarnation, Board: b, Peers: peers, Log: log,
		completions: make(chan board.KeyID, completionQueueSize),
	}
}

// Name implements control.Controller.
func (k *KeyController) Name() string { return "keys" }

// Run implements control.Controller: it sends outcomes to their homes and drops
// expired records.
func (k *KeyController) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range completionWorkers {
		workers.Go(func() { k.runCompletionWorker(ctx) })
	}
	sweepTicker := time.NewTicker(sweepInterval)
	defer sweepTicker.Stop()
	rescanTicker := time.NewTicker(rescanInterval)
	defer rescanTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			workers.Wait()
			return
		case <-sweepTicker.C:
			k.dropExpired(time.Now())
		case <-rescanTicker.C:
			k.enqueueUnacknowledged()
		}
	}
}

func (k *KeyController) dropExpired(now time.Time) {
	k.Board.Keys.HomeRecords.DropExpired(now)
	k.Board.Keys.ExecutorRecords.DropExpired(now)
	k.completedTransfers.Range(func(key, _ any) bool {
		if transfer := key.(completedTransfer); transfer.epoch < k.EpochNumber(transfer.service) {
			k.completedTransfers.Delete(key)
		}
		return true
	})
}

func (k *KeyController) limits() dynconf.AtMostOnce { return k.Board.Config.Load().AtMostOnce }

func (k *KeyController) memoryLimit() int64 { return int64(k.limits().Memory) }

func (k *KeyController) view(name string) *board.EpochView { return k.Board.Epochs.Load().Get(name) }

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
	if notice.Number <= k.EpochNumber(notice.Service) {
		return
	}
	rumor, err := wire.NewEpochRumor("", notice)
	if err != nil {
		k.Log.Error().Err(err).Msg("epoch notice cannot be encoded")
		return
	}
	k.Board.EpochRumors.Post(rumor)
}

func (k *KeyController) forwardEpoch(epoch *board.Epoch) {
	if epoch != nil {
		k.ForwardEpochNotice(wire.EpochNotice{Service: epoch.Service, Number: epoch.Number, Epoch: epoch})
	}
}

// epochIfNewer returns the epoch of a view when the other side has a lower one.
func epochIfNewer(view *board.EpochView, number uint64) *board.Epoch {
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

// awaitEpochChange sleeps until the view is superseded, the time has passed or ctx ends.
func awaitEpochChange(ctx context.Context, view *board.EpochView, d time.Duration) {
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
