package epoch

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
	"mangostand.example/mangostand/platform"
)

// propose starts a proposal for each service of this node whose members differ
// from its epoch for long enough. Members propose one after the other.
func (c *Controller) propose(ctx context.Context, now time.Time) {
	if c.store == nil {
		return
	}
	for _, name := range c.ownServices() {
		s := c.state(name)
		epoch := c.current(name)
		wanted := c.wantedMembers(name, epoch, now)
		if len(wanted) == 0 || (epoch != nil && keyhome.SameMembers(wanted, epoch.Members)) {
			s.wanted = nil
			continue
		}
		if !keyhome.SameMembers(wanted, s.wanted) {
			s.wanted, s.wantedSince = wanted, now
		}
		rank := keyhome.ProposerRank(wanted, epoch, c.self, name)
		due := s.wantedSince.Add(debounce + time.Duration(rank)*proposerDelay)
		if s.proposing || now.Before(due) {
			continue
		}
		s.proposing = true
		// The next attempt of this node waits for a full turn again.
		s.wantedSince = now
		proposal := &keyhome.Proposal{
			Service: name, Current: epoch, Members: wanted, ID: uuid.NewString(), TransferComplete: c.settled(name),
		}
		c.spawn(ctx, func() func() { return c.writeNext(ctx, s, proposal) })
	}
}

// settled tells which former epochs of a service have ended for good.
func (c *Controller) settled(name string) func(int) bool {
	view := c.writer.Load().Get(name)
	return func(i int) bool { return view != nil && view.TransferComplete(i) }
}

// ownServices lists the services that this node may propose for: the one of
// its backend server and those whose epoch it belongs to.
func (c *Controller) ownServices() []string {
	var names []string
	if local := c.board.LocalServer.Load(); local.Announced {
		names = append(names, local.Service)
	}
	for name, view := range c.writer.Load().ByService {
		if view.Epoch.HasMember(c.self, c.incarnation) && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// wantedMembers returns the members that the next epoch should have: those
// that serve, and those of the epoch that are not known to have gone.
func (c *Controller) wantedMembers(name string, epoch *board.Epoch, now time.Time) []board.EpochMember {
	config := c.board.Config.Load().Services[name]
	if config == nil {
		return nil
	}
	members := c.board.Members.Load()
	var wanted []board.EpochMember
	for _, m := range members.ByService[name] {
		if m.State == board.MemberServing && config.AllowsInstance(string(m.Instance)) {
			wanted = append(wanted, board.EpochMember{Instance: m.Instance, Incarnation: m.Incarnation, PeerAddr: m.PeerAddr})
		}
	}
	if epoch != nil && now.Sub(c.started) < unknownGrace {
		for _, m := range epoch.Members {
			if _, known := members.Get(m.Instance); !known {
				wanted = append(wanted, m)
			}
		}
	}
	slices.SortFunc(wanted, func(a, b board.EpochMember) int { return cmp.Compare(a.Instance, b.Instance) })
	return wanted
}

// writeNext writes the epoch after the highest one known and returns the
// function that adopts what the store has then.
func (c *Controller) writeNext(ctx context.Context, s *service, proposal *keyhome.Proposal) func() {
	stored, err := c.compareAndSwapNext(ctx, proposal)
	return func() {
		s.proposing = false
		if err != nil {
			c.log.Warn().Err(err).Str("service", s.name).Msg("epoch cannot be proposed")
		}
		if stored == nil || stored.Number <= numberOf(c.current(s.name)) {
			return
		}
		c.adopt(ctx, stored, time.Now())
		c.spread(ctx, stored)
	}
}

func (c *Controller) compareAndSwapNext(ctx context.Context, proposal *keyhome.Proposal) (*board.Epoch, error) {
	name := proposal.Service
	stored, revision, err := c.read(ctx, name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if numberOf(stored) > numberOf(proposal.Current) {
		return stored, nil
	}
	// The store may have come back with an older epoch; the number still rises.
	next := proposal.NextEpoch(time.Now(), c.board.Config.Load().AtMostOnce)
	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Trace(err)
	}
	writeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = c.store.CompareAndSwap(writeCtx, KeyPrefix+name, revision, value, "")
	switch {
	case err == nil:
		return next, nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrIndeterminate):
		// Reading back shows whose proposal is in force.
		stored, _, readErr := c.read(ctx, name)
		return stored, errors.Trace(readErr)
	}
	return nil, errors.Trace(err)
}

// read returns the epoch in the store and the revision of its key, or nil and
// 0 when there is none.
func (c *Controller) read(ctx context.Context, name string) (*board.Epoch, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := c.store.Get(ctx, KeyPrefix+name)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	var epoch board.Epoch
	if err := json.Unmarshal(entry.Value, &epoch); err != nil {
		return nil, 0, errors.Annotatef(err, "epoch of %s in the store", name)
	}
	if epoch.Service != name || epoch.Number == 0 || len(epoch.Members) == 0 {
		return nil, 0, errors.Errorf("epoch of %s in the store is not valid", name)
	}
	return &epoch, entry.Revision, nil
}

// spread tells the epoch to its members, new and former, at once and to all
// other nodes by a rumor.
func (c *Controller) spread(ctx context.Context, epoch *board.Epoch) {
	c.postRumor(epoch)
	told := map[board.InstanceID]bool{c.self: true}
	for _, m := range slices.Concat(epoch.Members, formerMembers(epoch)) {
		if told[m.Instance] {
			continue
		}
		told[m.Instance] = true
		c.workers.Go(func() {
			if err := c.keys.Announce(ctx, epoch, m); err != nil {
				c.log.Debug().Err(err).Str("peer", m.PeerAddr).Msg("epoch not announced")
			}
		})
	}
}

// maxRumorMembers bounds the members in a rumor, which must fit into a control
// message of 64 KB. A larger epoch is pulled from this node.
const maxRumorMembers = 400

func (c *Controller) postRumor(epoch *board.Epoch) {
	notice := wire.EpochNotice{Service: epoch.Service, EpochNumber: epoch.Number, Epoch: epoch}
	if len(epoch.Members)+len(formerMembers(epoch)) > maxRumorMembers {
		self, _ := c.board.Members.Load().Get(c.self)
		notice.Epoch, notice.SourceAddr = nil, self.PeerAddr
	}
	rumor, err := wire.NewEpochRumor(rumorID(epoch), notice)
	if err != nil {
		c.log.Error().Err(err).Msg("epoch cannot be encoded")
		return
	}
	c.board.OutgoingRumors.Post(rumor)
}

func formerMembers(epoch *board.Epoch) []board.EpochMember {
	var members []board.EpochMember
	for _, former := range epoch.FormerEpochs {
		members = append(members, former.Members...)
	}
	return members
}

func rumorID(epoch *board.Epoch) string {
	return "epoch/" + epoch.Service + "/" + epoch.Proposal
}
