package atmostonce

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

// enqueue asks a worker to send an outcome; the rescan finds it again when the
// queue is full.
func (k *KeyController) enqueue(id board.KeyID) {
	select {
	case k.completions <- id:
	default:
	}
}

func (k *KeyController) sendCompletions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-k.completions:
			k.sendCompletion(ctx, id)
		}
	}
}

// rescan enqueues the outcomes that no home has acknowledged.
func (k *KeyController) rescan() {
	if k.unacknowledged.Load() == 0 || len(k.completions) > 0 {
		return
	}
	left := int64(0)
	k.Board.Keys.ExecutorRecords.Each(func(id board.KeyID, r *board.KeyRecord) bool {
		if r.State == board.KeyDone && !r.HomeAcknowledged {
			left++
			k.enqueue(id)
		}
		return true
	})
	if left == 0 {
		// Records that expired before a home took them no longer count.
		k.unacknowledged.Store(0)
	}
}

// sendCompletion tells the current home of a key its outcome once.
func (k *KeyController) sendCompletion(ctx context.Context, id board.KeyID) {
	record := k.Board.Keys.ExecutorRecords.Get(id)
	view := k.view(id.Service)
	if record == nil || record.HomeAcknowledged || record.State != board.KeyDone || view == nil {
		return
	}
	home, ok := keyhome.Home(view.Epoch.Members, id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ack, err := k.completeAt(ctx, home, &wire.Complete{ID: id, Epoch: view.Epoch.Number, Record: *record})
	if err != nil {
		return
	}
	k.learnEpoch(ack.NewerEpoch)
	if !ack.OutcomeStored {
		return
	}
	next := *record
	next.HomeAcknowledged = true
	if k.Board.Keys.ExecutorRecords.CompareAndSwap(id, record, &next, k.memory()) {
		k.unacknowledged.Add(-1)
	}
}

// HandleComplete stores an outcome as the home of its key.
func (k *KeyController) HandleComplete(c *wire.Complete) *wire.CompleteResponse {
	view := k.view(c.ID.Service)
	if view == nil || c.Record.State != board.KeyDone {
		return &wire.CompleteResponse{}
	}
	if c.Epoch > view.Epoch.Number {
		k.ForwardEpochNotice(wire.EpochNotice{Service: c.ID.Service, EpochNumber: c.Epoch})
	}
	if !k.isHome(view, c.ID) {
		return &wire.CompleteResponse{NewerEpoch: newerThan(view, c.Epoch)}
	}
	run := c.Record
	run.RequestID, run.ClaimSequence = "", 0
	stored := k.mergeHome(c.ID, &run)
	now := k.view(c.ID.Service)
	return &wire.CompleteResponse{OutcomeStored: stored && now.Epoch.Number == view.Epoch.Number, NewerEpoch: newerThan(now, c.Epoch)}
}

// mergeHome adds what another node knows about a key to the home's record. It
// returns false when there is no room.
func (k *KeyController) mergeHome(id board.KeyID, incoming *board.KeyRecord) bool {
	record := *incoming
	record.HomeAcknowledged, record.GrantEpoch = false, 0
	record.ChangedAt = time.Now()
	if record.State == board.KeyRunning || record.State == board.KeySealed {
		// The home asks the executor again when the key is claimed.
		record.State = board.KeyGranted
	}
	for range maxConflicts {
		current := k.Board.Keys.HomeRecords.Insert(id, &record, k.memory())
		if current == nil {
			return false
		}
		next := combine(current, &record)
		if current == &record || next == nil {
			return true
		}
		if k.Board.Keys.HomeRecords.CompareAndSwap(id, current, next, k.memory()) {
			return true
		}
	}
	return false
}

// combine returns the record that replaces current, or nil to keep current: an
// outcome wins, then unknown, then the higher grant.
func combine(current, incoming *board.KeyRecord) *board.KeyRecord {
	switch {
	case current.State == board.KeyDone:
		return nil
	case incoming.State == board.KeyDone:
		return doneAt(current, incoming)
	case current.State == board.KeyUnknown:
		return nil
	case incoming.State == board.KeyUnknown:
		next := *current
		next.State, next.Reason = board.KeyUnknown, incoming.Reason
		return &next
	case incoming.Grant > current.Grant:
		return incoming
	}
	return nil
}
