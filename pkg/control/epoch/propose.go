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

// proposeEpochs starts a proposal for each service of this node whose desired
// members have differed from its epoch for long enough. The delay grows with the
// rank of this node among the proposers.
func (c *Controller) proposeEpochs(ctx context.Context, now time.Time) {
	if c.store == nil {
		return
	}
	for _, name := range c.proposableServices() {
		s := c.stateOf(name)
		epoch := c.currentEpoch(name)
		desired := c.desiredMembers(name, epoch, now)
		if len(desired) == 0 || (epoch != nil && keyhome.SameMembers(desired, epoch.Members)) {
			s.desiredMembers = nil
			continue
		}
		if !keyhome.SameMembers(desired, s.desiredMembers) {
			s.desiredMembers, s.desiredSince = desired, now
		}
		rank := keyhome.ProposerRank(desired, epoch, c.self, name)
		due := s.desiredSince.Add(membershipDebounce + time.Duration(rank)*proposerDelay)
		if s.proposing || now.Before(due) {
			continue
		}
		s.proposing = true
		// The next attempt of this node waits for the full delay again.
		s.desiredSince = now
		proposal := &keyhome.Proposal{
			Service: name, Current: epoch, Members: desired, ID: uuid.NewString(), TransferComplete: c.transferComplete(name),
		}
		c.runAsync(ctx, func() func() { return c.submitProposal(ctx, s, proposal) })
	}
}

// transferComplete returns a function that reports whether no transfer from the
// i-th former epoch of a service is pending.
func (c *Controller) transferComplete(name string) func(int) bool {
	view := c.writer.Load().Get(name)
	return func(i int) bool { return view != nil && view.TransferComplete(i) }
}

// proposableServices returns the services for which this node may propose epochs:
// that of its backend server and those whose epoch it is a member of.
func (c *Controller) proposableServices() []string {
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

// desiredMembers returns the members that the next epoch should have: those that
// are serving and allowed by the configuration and, for unknownMemberGrace after
// the start of this node, the members of the epoch that it does not know yet.
func (c *Controller) desiredMembers(name string, epoch *board.Epoch, now time.Time) []board.EpochMember {
	config := c.board.Config.Load().Services[name]
	if config == nil {
		return nil
	}
	members := c.board.Members.Load()
	var desired []board.EpochMember
	for _, m := range members.ByService[name] {
		if m.State == board.MemberServing && config.AllowsInstance(string(m.Instance)) {
			desired = append(desired, board.EpochMember{Instance: m.Instance, Incarnation: m.Incarnation, PeerAddr: m.PeerAddr})
		}
	}
	if epoch != nil && now.Sub(c.startedAt) < unknownMemberGrace {
		for _, m := range epoch.Members {
			if _, known := members.Get(m.Instance); !known {
				desired = append(desired, m)
			}
		}
	}
	slices.SortFunc(desired, func(a, b board.EpochMember) int { return cmp.Compare(a.Instance, b.Instance) })
	return desired
}

// submitProposal writes a proposal to the store. It returns a function that adopts
// and announces the epoch in the store if that is newer than the current one.
func (c *Controller) submitProposal(ctx context.Context, s *serviceState, proposal *keyhome.Proposal) func() {
	stored, err := c.writeProposal(ctx, proposal)
	return func() {
		s.proposing = false
		if err != nil {
			c.log.Warn().Err(err).Str("service", s.name).Msg("epoch proposal failed")
		}
		if stored == nil || stored.Number <= epochNumber(c.currentEpoch(s.name)) {
			return
		}
		c.adoptEpoch(ctx, stored, time.Now())
		c.announceEpoch(ctx, stored)
	}
}

// writeProposal writes the proposed epoch unless the store already has a newer
// epoch than the one that the proposal replaces. It returns the epoch in the
// store.
func (c *Controller) writeProposal(ctx context.Context, proposal *keyhome.Proposal) (*board.Epoch, error) {
	name := proposal.Service
	stored, revision, err := c.readStoredEpoch(ctx, name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if epochNumber(stored) > epochNumber(proposal.Current) {
		return stored, nil
	}
	// The number follows that of the current epoch, even if the store has lost data
	// and holds an older one.
	next := proposal.NextEpoch(time.Now(), c.board.Config.Load().AtMostOnce)
	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Trace(err)
	}
	writeCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err = c.store.CompareAndSwap(writeCtx, StoreKeyPrefix+name, revision, value, "")
	switch {
	case err == nil:
		return next, nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrIndeterminate):
		// Reading the key shows whose proposal was accepted.
		stored, _, readErr := c.readStoredEpoch(ctx, name)
		return stored, errors.Trace(readErr)
	}
	return nil, errors.Trace(err)
}

// readStoredEpoch returns the epoch in the store and the revision of its key, or
// nil and 0 if there is none.
func (c *Controller) readStoredEpoch(ctx context.Context, name string) (*board.Epoch, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entry, err := c.store.Get(ctx, StoreKeyPrefix+name)
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

// announceEpoch sends an epoch directly to its members and former members, and to
// all other nodes by a rumor.
func (c *Controller) announceEpoch(ctx context.Context, epoch *board.Epoch) {
	c.postRumor(epoch)
	announced := map[board.InstanceID]bool{c.self: true}
	for _, m := range slices.Concat(epoch.Members, formerMembers(epoch)) {
		if announced[m.Instance] {
			continue
		}
		announced[m.Instance] = true
		c.workers.Go(func() {
			if err := c.peers.AnnounceEpoch(ctx, epoch, m); err != nil {
				c.log.Debug().Err(err).Str("peer", m.PeerAddr).Msg("epoch announcement failed")
			}
		})
	}
}

// maxRumorMembers bounds the members and former members in a rumor, which must
// fit into a control message of 64 KB. The rumor of a larger epoch contains only
// its number and the address of this node, from which other nodes pull it.
const maxRumorMembers = 400

func (c *Controller) postRumor(epoch *board.Epoch) {
	notice := wire.EpochNotice{Service: epoch.Service, EpochNumber: epoch.Number, Epoch: epoch}
	if len(epoch.Members)+len(formerMembers(epoch)) > maxRumorMembers {
		self, _ := c.board.Members.Load().Get(c.self)
		notice.Epoch, notice.SourceAddr = nil, self.PeerAddr
	}
	rumor, err := wire.NewEpochRumor(rumorID(epoch), notice)
	if err != nil {
		c.log.Error().Err(err).Msg("failed to encode an epoch rumor")
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
