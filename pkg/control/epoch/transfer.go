package epoch

import (
	"context"
	"maps"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/decide/keyhome"
)

// transfer fetches the records of keys that moved to this node in one epoch.
type transfer struct {
	epoch       *board.Epoch
	answers     map[board.EpochMember]keyhome.MemberTransfer
	collections []*keyhome.PreviousEpochTransfer
	cancel      context.CancelFunc
}

func (c *Controller) startTransfer(ctx context.Context, s *service, epoch *board.Epoch, now time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	t := &transfer{cancel: cancel, epoch: epoch, answers: map[board.EpochMember]keyhome.MemberTransfer{}}
	s.transfer = t
	asked := map[board.EpochMember]bool{}
	for i := range epoch.FormerEpochs {
		former := &epoch.FormerEpochs[i]
		t.collections = append(t.collections, &keyhome.PreviousEpochTransfer{Previous: former, ByMember: t.answers, StartedAt: now})
		for _, m := range former.Members {
			if !asked[m] {
				asked[m] = true
				c.workers.Go(func() { c.fetch(ctx, s, t, m) })
			}
		}
	}
}

// fetch asks one member until it has sent its records, its incarnation has ended or
// the next epoch replaces this one.
func (c *Controller) fetch(ctx context.Context, s *service, t *transfer, from board.EpochMember) {
	pause := firstFetchPause
	for ctx.Err() == nil {
		answer, err := c.keys.Fetch(ctx, t.epoch, from)
		if err == nil {
			c.deliver(ctx, func() { c.collect(s, t, from, answer) })
			return
		}
		c.log.Debug().Err(err).Str("peer", from.PeerAddr).Uint64("epoch", t.epoch.Number).Msg("transfer is not complete")
		control.Sleep(ctx, pause)
		pause = min(2*pause, lastFetchPause)
	}
}

func (c *Controller) deliver(ctx context.Context, apply func()) {
	select {
	case c.results <- apply:
	case <-ctx.Done():
	}
}

func (c *Controller) collect(s *service, t *transfer, from board.EpochMember, answer keyhome.MemberTransfer) {
	if s.transfer != t {
		return
	}
	t.answers[from] = answer
	c.updateTransfer(s, time.Now())
}

// updateTransfer publishes the sources of a service when one has changed.
func (c *Controller) updateTransfer(s *service, now time.Time) {
	t := s.transfer
	if t == nil {
		return
	}
	c.markEnded(t)
	view := c.writer.Load().Get(s.name)
	next := make([]map[board.InstanceID]board.TransferState, len(view.Transfers))
	changed := false
	for i, collection := range t.collections {
		collection.UpdateMajority(now)
		var updated bool
		next[i], updated = c.updateSources(collection, view.Transfers[i], now)
		changed = changed || updated
	}
	if !changed {
		return
	}
	update := *view
	update.Transfers = next
	c.publish(s.name, &update)
	c.logTransfer(&update)
}

// updateSources returns the sources of one former epoch and whether one has
// changed.
func (c *Controller) updateSources(
	collection *keyhome.PreviousEpochTransfer, sources map[board.InstanceID]board.TransferState, now time.Time,
) (map[board.InstanceID]board.TransferState, bool) {
	limits := c.board.Config.Load().AtMostOnce
	next := maps.Clone(sources)
	changed := false
	for _, home := range collection.Previous.Members {
		source := collection.State(home, now, limits)
		if improves(sources[home.Instance], source) {
			next[home.Instance] = source
			changed = true
		}
	}
	return next, changed
}

// improves keeps a horizon that was set when the transfer was given up: it
// only falls when the records arrive after all.
func improves(old, next board.TransferState) bool {
	if old.Pending {
		return !next.Pending
	}
	return !next.Pending && next.Horizon.Before(old.Horizon)
}

func (c *Controller) logTransfer(view *board.EpochView) {
	horizon, pending := view.Horizon()
	if pending {
		return
	}
	event := c.log.Info()
	if !horizon.IsZero() {
		event = c.log.Warn().Time("horizon", horizon)
	}
	event.Str("service", view.Epoch.Service).Uint64("epoch", view.Epoch.Number).Msg("transfer of key records has ended")
}

// markEnded notes the incarnations of instances that the membership knows to be over:
// they left, or the instance runs with a higher incarnation.
func (c *Controller) markEnded(t *transfer) {
	members := c.board.Members.Load()
	for _, former := range t.epoch.FormerEpochs {
		for _, m := range former.Members {
			if answer := t.answers[m]; !answer.Complete && !answer.Ended && ended(members, m) {
				t.answers[m] = keyhome.MemberTransfer{Ended: true}
			}
		}
	}
}

func ended(members *board.Members, m board.EpochMember) bool {
	record, known := members.Get(m.Instance)
	if !known {
		return false
	}
	left := record.Incarnation == m.Incarnation && record.State == board.MemberLeft
	return left || record.Incarnation > m.Incarnation
}
