package atmostonce

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

// confirmationBatchDelay is how long a confirmation round waits for more calls
// before it starts. An overloaded service refuses thousands of calls per second;
// they share the rounds.
const confirmationBatchDelay = 100 * time.Millisecond

// ConfirmEpoch asks the members of an epoch whether they know one with a higher
// number. It returns such an epoch if a member knows one, and whether a majority
// of the members, in the incarnations listed in the epoch, know none. A restarted
// member has lost the epoch that it had adopted and does not count. A random
// majority is asked first, the others only if needed.
func (k *KeyController) ConfirmEpoch(ctx context.Context, epoch *board.Epoch) (*board.Epoch, bool) {
	var others []board.EpochMember
	for _, m := range epoch.Members {
		if m.Instance != k.Self {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	confirmations := 0
	if epoch.HasMember(k.Self, k.Incarnation) {
		confirmations = 1
	}
	needed := min(len(epoch.Members)/2+1-confirmations, len(others))
	confirmed, newer := k.pullEpochFromMembers(ctx, epoch, others[:needed])
	confirmations += confirmed
	if newer == nil && !keyhome.IsMajority(confirmations, len(epoch.Members)) {
		confirmed, newer = k.pullEpochFromMembers(ctx, epoch, others[needed:])
		confirmations += confirmed
	}
	return newer, newer == nil && keyhome.IsMajority(confirmations, len(epoch.Members))
}

func (k *KeyController) pullEpochFromMembers(ctx context.Context, epoch *board.Epoch, members []board.EpochMember) (int, *board.Epoch) {
	pages := make([]*wire.TransferPage, len(members))
	var pulls sync.WaitGroup
	for i, m := range members {
		pulls.Go(func() {
			if page, err := k.PullEpoch(ctx, epoch.Service, epoch.Number, m); err == nil {
				pages[i] = page
			}
		})
	}
	pulls.Wait()
	confirmations := 0
	for i, page := range pages {
		switch {
		case page == nil:
		case page.NewerEpoch != nil:
			return confirmations, page.NewerEpoch
		case page.Incarnation == members[i].Incarnation && page.Epoch <= epoch.Number:
			confirmations++
		}
	}
	return confirmations, nil
}

// confirmationRound is one confirmation of an epoch that several calls wait for.
type confirmationRound struct {
	startedAt time.Time
	done      chan struct{}
	confirmed bool
}

// confirmationKey identifies the confirmation rounds of one epoch.
type confirmationKey struct {
	service string
	epoch   uint64
}

// confirmedSince reports whether an epoch was current at some time after since. A
// partitioned home responds from an epoch that may have ended; its response
// proves nothing without this confirmation.
func (k *KeyController) confirmedSince(ctx context.Context, service string, number uint64, since time.Time) bool {
	key := confirmationKey{service, number}
	for ctx.Err() == nil {
		view := k.view(service)
		if view == nil || view.Epoch.Number != number {
			return false
		}
		if view.ConfirmedAt.After(since) {
			return true
		}
		round := k.getOrStartRound(ctx, key, view.Epoch)
		select {
		case <-round.done:
		case <-ctx.Done():
			return false
		}
		if round.startedAt.After(since) {
			return round.confirmed
		}
		k.confirmationRounds.CompareAndDelete(key, round)
	}
	return false
}

// getOrStartRound returns the confirmation round in progress for an epoch, or
// starts one.
func (k *KeyController) getOrStartRound(ctx context.Context, key confirmationKey, epoch *board.Epoch) *confirmationRound {
	newRound := &confirmationRound{done: make(chan struct{})}
	current, exists := k.confirmationRounds.LoadOrStore(key, newRound)
	if !exists {
		go k.runConfirmationRound(context.WithoutCancel(ctx), key, epoch, newRound)
	}
	return current.(*confirmationRound)
}

func (k *KeyController) runConfirmationRound(ctx context.Context, key confirmationKey, epoch *board.Epoch, round *confirmationRound) {
	time.Sleep(confirmationBatchDelay)
	round.startedAt = time.Now()
	var newer *board.Epoch
	newer, round.confirmed = k.ConfirmEpoch(ctx, epoch)
	k.forwardEpoch(newer)
	k.confirmationRounds.CompareAndDelete(key, round)
	close(round.done)
}
