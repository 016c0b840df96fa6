package epoch

import (
	"context"
	"maps"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
)

// transfer fetches the records of keys that moved to this node in one epoch.
type transfer struct {
	keyhome.Collection
	cancel context.CancelFunc
}

func (c *Controller) startTransfer(ctx context.Context, s *service, epoch *board.Epoch, now time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	t := &transfer{cancel: cancel, Collection: keyhome.Collection{
		Epoch: epoch, Answers: map[board.InstanceID]keyhome.Answer{}, Started: now,
	}}
	s.transfer = t
	for _, m := range epoch.FormerMembers {
		c.workers.Go(func() { c.fetch(ctx, s, t, m) })
	}
}

// fetch asks one member until it has sent its records, its life has ended or
// the next epoch replaces this one.
func (c *Controller) fetch(ctx context.Context, s *service, t *transfer, from board.EpochMember) {
	pause := firstFetchPause
	for ctx.Err() == nil {
		answer, err := c.keys.Fetch(ctx, t.Epoch, from)
		if err == nil {
			c.deliver(ctx, func() { c.collect(s, t, from.Instance, answer) })
			return
		}
		c.log.Debug().Err(err).Str("peer", from.PeerAddr).Uint64("epoch", t.Epoch.Number).Msg("transfer is not complete")
		sleep(ctx, pause)
		pause = min(2*pause, lastFetchPause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (c *Controller) deliver(ctx context.Context, apply func()) {
	select {
	case c.results <- apply:
	case <-ctx.Done():
	}
}

func (c *Controller) collect(s *service, t *transfer, from board.InstanceID, answer keyhome.Answer) {
	if s.transfer != t {
		return
	}
	now := time.Now()
	t.Answers[from] = answer
	if t.MajorityAt.IsZero() && t.HasMajority() {
		t.MajorityAt = now
	}
	c.updateTransfer(s, now)
}

// updateTransfer publishes the sources of a service when one has changed.
func (c *Controller) updateTransfer(s *service, now time.Time) {
	t := s.transfer
	if t == nil {
		return
	}
	c.markEnded(t)
	view := c.writer.Load().Get(s.name)
	next := maps.Clone(view.Sources)
	changed := false
	limits := c.board.Config.Load().AtMostOnce
	for home, old := range view.Sources {
		source := t.Source(home, now, limits)
		if source == old || !improves(old, source) {
			continue
		}
		next[home] = source
		changed = true
	}
	if !changed {
		return
	}
	update := *view
	update.Sources = next
	c.publish(s.name, &update)
	c.logTransfer(&update)
}

// improves keeps a horizon that was set when the transfer was given up: it
// only falls when the records arrive after all.
func improves(old, next board.EpochSource) bool {
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

// markEnded notes the lives of instances that the membership knows to be over:
// they left, or the instance runs with a higher incarnation.
func (c *Controller) markEnded(t *transfer) {
	members := c.board.Members.Load()
	for _, m := range t.Epoch.FormerMembers {
		answer := t.Answers[m.Instance]
		record, known := members.Get(m.Instance)
		if answer.Answered || answer.Ended || !known {
			continue
		}
		left := record.Incarnation == m.Incarnation && record.State == board.MemberLeft
		if left || record.Incarnation > m.Incarnation {
			t.Answers[m.Instance] = keyhome.Answer{Ended: true}
		}
	}
}
