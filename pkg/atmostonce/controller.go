// Package atmostonce executes a non-idempotent call at most once, by the key
// protocol between three nodes. The entry is the node that received the call; it
// claims the idempotency key of the call at the home of the key. The home is the
// member of the current epoch that stores the record of the key; it issues a
// grant, which permits the entry to send the call to one executor. The executor
// records the execution before it contacts the backend server. The home and the
// executor are different nodes, unless the epoch has a single member, so that the
// loss of one node loses no outcome.
//
// A seal at the executor makes it refuse calls under a grant. The home has a
// grant sealed before it grants the key to another request.
//
// An epoch is the set of members to which the keys of a service are assigned.
// When it changes, the new homes fetch the records from the members of the former
// epochs. The horizon is the time up to which records may have been lost: a key
// created by then may have been executed although it has no record.
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
	// expiryInterval is the time between two removals of expired records.
	expiryInterval = 10 * time.Second
	// completionRetryInterval is the time between two searches for outcomes that
	// no home has acknowledged.
	completionRetryInterval = time.Second
	// completionQueueSize limits the outcomes that are queued to be sent. The
	// periodic retry finds those that did not fit.
	completionQueueSize = 4096
	// completionWorkers limits the outcomes that are sent to homes concurrently.
	completionWorkers = 4
	// peerRequestTimeout limits one request to another node, so that a dead node
	// does not use up the deadline of a call.
	peerRequestTimeout = 500 * time.Millisecond
)

// Peers sends the messages of the key protocol to another node. After an error
// the response is unknown, but the request may have taken effect.
type Peers interface {
	Claim(ctx context.Context, to board.EpochMember, m *wire.Claim) (*wire.ClaimResponse, error)
	Seal(ctx context.Context, to board.EpochMember, m *wire.Seal) (*wire.SealResponse, error)
	Complete(ctx context.Context, to board.EpochMember, m *wire.Complete) (*wire.CompleteResponse, error)
	Transfer(ctx context.Context, to board.EpochMember, m *wire.Transfer) (*wire.TransferPage, error)
}

// KeyController implements the key protocol of one node in its three roles:
// entry, home and executor. It is safe for concurrent use.
type KeyController struct {
	Self        board.InstanceID
	Incarnation uint64
	Board       *board.Board
	Peers       Peers
	Log         zerolog.Logger

	completions            chan board.KeyID
	unacknowledgedOutcomes atomic.Int64
	completedTransfers     sync.Map // map from completedTransfer to struct{}
	confirmationRounds     sync.Map // map from confirmationKey to *confirmationRound
}

// New returns the key controller of a node.
func New(self board.InstanceID, incarnation uint64, b *board.Board, peers Peers, log zerolog.Logger) *KeyController {
	return &KeyController{
		Self: self, Incarnation: incarnation, Board: b, Peers: peers, Log: log,
		completions: make(chan board.KeyID, completionQueueSize),
	}
}

// Name implements control.Controller.
func (k *KeyController) Name() string { return "keys" }

// Run implements control.Controller. It sends outcomes to the homes of their keys
// and removes expired records.
func (k *KeyController) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range completionWorkers {
		workers.Go(func() { k.runCompletionWorker(ctx) })
	}
	expiryTicker := time.NewTicker(expiryInterval)
	defer expiryTicker.Stop()
	completionRetryTicker := time.NewTicker(completionRetryInterval)
	defer completionRetryTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			workers.Wait()
			return
		case <-expiryTicker.C:
			k.dropExpired(time.Now())
		case <-completionRetryTicker.C:
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

func (k *KeyController) memoryLimit() int64 { return int64(k.limits().KeyMemoryBytes) }

func (k *KeyController) view(name string) *board.EpochView { return k.Board.Epochs.Load().Get(name) }

// EpochNumber returns the number of the current epoch of a service on this node,
// or 0 when the node knows none.
func (k *KeyController) EpochNumber(service string) uint64 {
	if view := k.view(service); view != nil {
		return view.Epoch.Number
	}
	return 0
}

// ForwardEpochNotice passes an epoch or an epoch number received from another
// node to the epoch controller. It drops a notice that is not newer than the
// current epoch.
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

func (k *KeyController) forwardEpoch(epoch *board.Epoch) {
	if epoch != nil {
		k.ForwardEpochNotice(wire.EpochNotice{Service: epoch.Service, EpochNumber: epoch.Number, Epoch: epoch})
	}
}

// epochIfNewer returns the epoch of a view if its number is higher than that of
// the other node, else nil.
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

// awaitEpochChange waits until the view is superseded, the duration has passed or
// ctx ends.
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
