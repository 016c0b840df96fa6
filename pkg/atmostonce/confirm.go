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

// roundSpacing is the time between two rounds of questions for calls. An
// overloaded service refuses thousands of calls per second; they share rounds.
const roundSpacing = 100 * time.Millisecond

// AskMembers asks the members of an epoch whether they know a higher one. It
// returns a higher epoch when there is one, and whether a majority of the
// members, in the incarnations that the epoch names, had none. A member that has
// restarted has forgotten what it adopted and does not count. A random majority
// is asked first and the others only when needed.
func (k *KeyController) AskMembers(ctx context.Context, epoch *board.Epoch) (*board.Epoch, bool) {
	var others []board.EpochMember
	for _, m := range epoch.Members {
		if m.Instance != k.Self {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	count := 0
	if epoch.HasMember(k.Self, k.Incarnation) {
		count = 1
	}
	first := min(len(epoch.Members)/2+1-count, len(others))
	more, higher := k.askAll(ctx, epoch, others[:first])
	count += more
	if higher == nil && !keyhome.IsMajority(count, len(epoch.Members)) {
		more, higher = k.askAll(ctx, epoch, others[first:])
		count += more
	}
	return higher, higher == nil && keyhome.IsMajority(count, len(epoch.Members))
}

func (k *KeyController) askAll(ctx context.Context, epoch *board.Epoch, members []board.EpochMember) (int, *board.Epoch) {
	pages := make([]*wire.TransferPage, len(members))
	var asked sync.WaitGroup
	for i, m := range members {
		asked.Go(func() {
			if page, err := k.Pull(ctx, epoch.Service, epoch.Number, m); err == nil {
				pages[i] = page
			}
		})
	}
	asked.Wait()
	count := 0
	for i, page := range pages {
		switch {
		case page == nil:
		case page.NewerEpoch != nil:
			return count, page.NewerEpoch
		case page.Incarnation == members[i].Incarnation && page.Epoch <= epoch.Number:
			count++
		}
	}
	return count, nil
}

// confirmRound is one round of questions that several calls wait for.
type confirmRound struct {
	started time.Time
	done    chan struct{}
	ok      bool
}

// roundKey names the rounds of one epoch.
type roundKey struct {
	service string
	epoch   uint64
}

// confirmedSince reports whether an epoch was in force at some time after
// since. A home that was cut off tells what it knows of an epoch that may have
// ended; only this confirmation turns it into proof.
func (k *KeyController) confirmedSince(ctx context.Context, service string, number uint64, since time.Time) bool {
	key := roundKey{service, number}
	for ctx.Err() == nil {
		view := k.view(service)
		if view == nil || view.Epoch.Number != number {
			return false
		}
		if view.ConfirmedAt.After(since) {
			return true
		}
		round := k.round(ctx, key, view.Epoch)
		select {
		case <-round.done:
		case <-ctx.Done():
			return false
		}
		if round.started.After(since) {
			return round.ok
		}
		k.rounds.CompareAndDelete(key, round)
	}
	return false
}

// round returns the round in progress of an epoch, or starts one.
func (k *KeyController) round(ctx context.Context, key roundKey, epoch *board.Epoch) *confirmRound {
	fresh := &confirmRound{done: make(chan struct{})}
	actual, loaded := k.rounds.LoadOrStore(key, fresh)
	if !loaded {
		go k.runRound(context.WithoutCancel(ctx), key, epoch, fresh)
	}
	return actual.(*confirmRound)
}

func (k *KeyController) runRound(ctx context.Context, key roundKey, epoch *board.Epoch, round *confirmRound) {
	time.Sleep(roundSpacing)
	round.started = time.Now()
	var higher *board.Epoch
	higher, round.ok = k.AskMembers(ctx, epoch)
	k.learnEpoch(higher)
	k.rounds.CompareAndDelete(key, round)
	close(round.done)
}
