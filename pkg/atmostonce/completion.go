package atmostonce

import (
	"context"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

// enqueueCompletion queues the outcome of a key to be sent to its home. If the
// queue is full, enqueueUnacknowledged finds the outcome later.
func (k *KeyController) enqueueCompletion(id board.KeyID) {
	select {
	case k.completions <- id:
	default:
	}
}

func (k *KeyController) runCompletionWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-k.completions:
			k.sendCompletion(ctx, id)
		}
	}
}

// enqueueUnacknowledged queues the outcomes that no home has acknowledged.
func (k *KeyController) enqueueUnacknowledged() {
	if k.unacknowledgedOutcomes.Load() == 0 || len(k.completions) > 0 {
		return
	}
	remaining := int64(0)
	k.Board.Keys.ExecutorRecords.Each(func(id board.KeyID, r *board.KeyRecord) bool {
		if r.State == board.KeyDone && !r.HomeAcknowledged {
			remaining++
			k.enqueueCompletion(id)
		}
		return true
	})
	if remaining == 0 {
		// Records that expired before a home acknowledged them are no longer
		// counted.
		k.unacknowledgedOutcomes.Store(0)
	}
}

// sendCompletion sends the outcome of a key to its current home once.
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
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	response, err := k.exchangeComplete(ctx, home, &wire.Complete{ID: id, Epoch: view.Epoch.Number, Record: *record})
	if err != nil {
		return
	}
	k.forwardEpoch(response.NewerEpoch)
	if !response.OutcomeStored {
		return
	}
	next := *record
	next.HomeAcknowledged = true
	if k.Board.Keys.ExecutorRecords.CompareAndSwap(id, record, &next, k.memoryLimit()) {
		k.unacknowledgedOutcomes.Add(-1)
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
		return &wire.CompleteResponse{NewerEpoch: epochIfNewer(view, c.Epoch)}
	}
	record := c.Record
	record.RequestID, record.ClaimSequence = "", 0
	stored := k.mergeHomeRecord(c.ID, &record)
	current := k.view(c.ID.Service)
	return &wire.CompleteResponse{OutcomeStored: stored && current.Epoch.Number == view.Epoch.Number, NewerEpoch: epochIfNewer(current, c.Epoch)}
}

// mergeHomeRecord merges a record received from another node into the home's
// record. It returns false if the result could not be stored, usually because
// key_memory is full.
func (k *KeyController) mergeHomeRecord(id board.KeyID, incoming *board.KeyRecord) bool {
	record := *incoming
	record.HomeAcknowledged, record.GrantEpoch = false, 0
	record.ChangedAt = time.Now()
	if record.State == board.KeyRunning || record.State == board.KeySealed {
		// The home asks the executor again when the key is claimed.
		record.State = board.KeyGranted
	}
	for range maxSwapAttempts {
		current := k.Board.Keys.HomeRecords.Insert(id, &record, k.memoryLimit())
		if current == nil {
			return false
		}
		next := mergeRecords(current, &record)
		if current == &record || next == nil {
			return true
		}
		if k.Board.Keys.HomeRecords.CompareAndSwap(id, current, next, k.memoryLimit()) {
			return true
		}
	}
	return false
}

// mergeRecords returns the record that replaces current, or nil to keep current.
// An outcome takes precedence, then unknown, then the higher grant.
func mergeRecords(current, incoming *board.KeyRecord) *board.KeyRecord {
	switch {
	case current.State == board.KeyDone:
		return nil
	case incoming.State == board.KeyDone:
		return withExecutorOutcome(current, incoming)
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
