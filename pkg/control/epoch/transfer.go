package epoch

import (
	"context"
	"maps"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/decide/keyhome"
)

// recordTransfer is the transfer of the records of all keys whose home moved to
// this node with one epoch. byMember is shared by the formerEpochs, since an
// incarnation may be a member of several.
type recordTransfer struct {
	epoch        *board.Epoch
	byMember     map[board.EpochMember]keyhome.MemberTransfer
	formerEpochs []*keyhome.PreviousEpochTransfer
	cancel       context.CancelFunc
}

func (c *Controller) startTransfer(ctx context.Context, s *serviceState, epoch *board.Epoch, now time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	t := &recordTransfer{cancel: cancel, epoch: epoch, byMember: map[board.EpochMember]keyhome.MemberTransfer{}}
	s.transfer = t
	requested := map[board.EpochMember]bool{}
	for i := range epoch.FormerEpochs {
		former := &epoch.FormerEpochs[i]
		t.formerEpochs = append(t.formerEpochs, &keyhome.PreviousEpochTransfer{Previous: former, ByMember: t.byMember, StartedAt: now})
		for _, m := range former.Members {
			if !requested[m] {
				requested[m] = true
				c.workers.Go(func() { c.fetchRecords(ctx, s, t, m) })
			}
		}
	}
}

// fetchRecords requests the records of one member, with backoff, until it has sent
// all of them, its incarnation has ended, or a newer epoch cancels the transfer.
func (c *Controller) fetchRecords(ctx context.Context, s *serviceState, t *recordTransfer, from board.EpochMember) {
	backoff := initialFetchBackoff
	for ctx.Err() == nil {
		result, err := c.peers.FetchRecords(ctx, t.epoch, from)
		if err == nil {
			c.runOnController(ctx, func() { c.handleFetched(s, t, from, result) })
			return
		}
		c.log.Debug().Err(err).Str("peer", from.PeerAddr).Uint64("epoch", t.epoch.Number).Msg("transfer of key records is incomplete and will be retried")
		control.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxFetchBackoff)
	}
}

// runOnController runs callback on the goroutine of Run, unless ctx ends first.
func (c *Controller) runOnController(ctx context.Context, callback func()) {
	select {
	case c.callbacks <- callback:
	case <-ctx.Done():
	}
}

func (c *Controller) handleFetched(s *serviceState, t *recordTransfer, from board.EpochMember, result keyhome.MemberTransfer) {
	if s.transfer != t {
		return
	}
	t.byMember[from] = result
	c.updateTransfer(s, time.Now())
}

// updateTransfer updates the states of the transfers to this node for a service and
// publishes them if one has changed.
func (c *Controller) updateTransfer(s *serviceState, now time.Time) {
	t := s.transfer
	if t == nil {
		return
	}
	c.markEndedMembers(t)
	view := c.writer.Load().Get(s.name)
	next := make([]map[board.InstanceID]board.TransferState, len(view.Transfers))
	changed := false
	for i, former := range t.formerEpochs {
		former.UpdateMajority(now)
		var updated bool
		next[i], updated = c.updateFormerEpoch(former, view.Transfers[i], now)
		changed = changed || updated
	}
	if !changed {
		return
	}
	update := *view
	update.Transfers = next
	c.publishView(s.name, &update)
	c.logTransferEnd(&update)
}

// updateFormerEpoch returns the states of the transfers from the members of one
// former epoch, and whether one has changed.
func (c *Controller) updateFormerEpoch(
	former *keyhome.PreviousEpochTransfer, states map[board.InstanceID]board.TransferState, now time.Time,
) (map[board.InstanceID]board.TransferState, bool) {
	limits := c.board.Config.Load().AtMostOnce
	next := maps.Clone(states)
	changed := false
	for _, m := range former.Previous.Members {
		state := former.State(m, now, limits)
		if isProgress(states[m.Instance], state) {
			next[m.Instance] = state
			changed = true
		}
	}
	return next, changed
}

// isProgress reports whether a transfer state replaces the old one. A transfer
// that was given up has a horizon; only a lower one replaces it, which happens if
// the records arrive after all.
func isProgress(old, next board.TransferState) bool {
	if old.Pending {
		return !next.Pending
	}
	return !next.Pending && next.Horizon.Before(old.Horizon)
}

func (c *Controller) logTransferEnd(view *board.EpochView) {
	horizon, pending := view.Horizon()
	if pending {
		return
	}
	event := c.log.Info()
	if !horizon.IsZero() {
		event = c.log.Warn().Time("horizon", horizon)
	}
	event.Str("service", view.Epoch.Service).Uint64("epoch", view.Epoch.Number).Msg("transfer of key records ended")
}

// markEndedMembers marks the members of former epochs whose incarnation has ended:
// it has left, or the instance runs with a higher incarnation.
func (c *Controller) markEndedMembers(t *recordTransfer) {
	members := c.board.Members.Load()
	for _, former := range t.epoch.FormerEpochs {
		for _, m := range former.Members {
			if status := t.byMember[m]; !status.Complete && !status.Ended && incarnationEnded(members, m) {
				t.byMember[m] = keyhome.MemberTransfer{Ended: true}
			}
		}
	}
}

func incarnationEnded(members *board.Members, m board.EpochMember) bool {
	record, known := members.Get(m.Instance)
	if !known {
		return false
	}
	left := record.Incarnation == m.Incarnation && record.State == board.MemberLeft
	return left || record.Incarnation > m.Incarnation
}
