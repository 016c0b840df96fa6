package epoch

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/wire"
)

// handleRumor adopts or pulls the epoch that a rumor announces. The call path of
// this node posts the epochs that it receives as rumors, too.
func (c *Controller) handleRumor(ctx context.Context, rumor board.Rumor) {
	notice, err := wire.DecodeEpochRumor(rumor)
	if err != nil {
		c.log.Warn().Err(err).Msg("refused a malformed epoch rumor")
		return
	}
	if notice.EpochNumber <= epochNumber(c.currentEpoch(notice.Service)) {
		return
	}
	if hasValidEpoch(notice) {
		c.adoptEpoch(ctx, notice.Epoch, time.Now())
		return
	}
	if c.board.Config.Load().Services[notice.Service] == nil {
		return
	}
	var targets []board.EpochMember
	if notice.SourceAddr != "" {
		targets = append(targets, board.EpochMember{PeerAddr: notice.SourceAddr})
	}
	c.pullEpoch(ctx, notice.Service, append(targets, c.pullTargets(notice.Service)...))
}

func hasValidEpoch(notice wire.EpochNotice) bool {
	e := notice.Epoch
	return e != nil && e.Service == notice.Service && e.Number == notice.EpochNumber && len(e.Members) > 0
}

// maxPullTargets is the largest number of random nodes that one pull asks.
const maxPullTargets = 2

// pullTargets returns random members of a service to pull from, without this
// node.
func (c *Controller) pullTargets(name string) []board.EpochMember {
	var targets []board.EpochMember
	for _, m := range c.board.Members.Load().ByService[name] {
		if m.Instance != c.self {
			targets = append(targets, board.EpochMember{Instance: m.Instance, Incarnation: m.Incarnation, PeerAddr: m.PeerAddr})
		}
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(len(targets), maxPullTargets)]
}

// pullEpoch asks nodes in turn for the epoch of a service until one has a newer
// epoch, which is then adopted.
func (c *Controller) pullEpoch(ctx context.Context, name string, targets []board.EpochMember) {
	s := c.stateOf(name)
	if s.pulling || len(targets) == 0 {
		return
	}
	s.pulling = true
	known := epochNumber(c.currentEpoch(name))
	c.runAsync(ctx, func() func() {
		epoch := c.pullFirstNewer(ctx, name, known, targets)
		return func() {
			s.pulling = false
			if epoch != nil {
				c.adoptEpoch(ctx, epoch, time.Now())
			}
		}
	})
}

func (c *Controller) pullFirstNewer(ctx context.Context, name string, known uint64, targets []board.EpochMember) *board.Epoch {
	for _, target := range targets {
		page, err := c.peers.PullEpoch(ctx, name, known, target)
		if err == nil && page.NewerEpoch != nil && page.NewerEpoch.Service == name {
			return page.NewerEpoch
		}
	}
	return nil
}

// pullDueEpochs pulls the epochs that this node does not know and, once per
// antiEntropyInterval, the epoch of a random service. It then also advertises
// all epoch numbers again.
func (c *Controller) pullDueEpochs(ctx context.Context, now time.Time) {
	for name := range c.board.Config.Load().Services {
		if c.currentEpoch(name) == nil {
			c.pullUnknown(ctx, c.stateOf(name), now)
		}
	}
	if now.Before(c.nextAntiEntropy) {
		return
	}
	c.nextAntiEntropy = now.Add(antiEntropyInterval)
	for _, view := range c.writer.Load().ByService {
		c.advertiseVersion(view.Epoch)
	}
	for name := range c.writer.Load().ByService {
		// Only the first service: map iteration order is random enough to reach
		// every service over time.
		c.pullEpoch(ctx, name, c.pullTargets(name))
		return
	}
}

// pullUnknown pulls the epoch of a service that this node does not know, with
// exponential backoff.
func (c *Controller) pullUnknown(ctx context.Context, s *serviceState, now time.Time) {
	if now.Before(s.nextPull) {
		return
	}
	targets := c.pullTargets(s.name)
	if len(targets) == 0 {
		return
	}
	s.pullBackoff = min(max(2*s.pullBackoff, initialPullBackoff), maxPullBackoff)
	s.nextPull = now.Add(s.pullBackoff)
	c.pullEpoch(ctx, s.name, targets)
}

// advertiseVersion passes the number of an epoch to the membership controller,
// which advertises it to peers.
func (c *Controller) advertiseVersion(epoch *board.Epoch) {
	c.board.OutgoingVersions.Post(board.NamedVersion{Name: board.EpochVersionPrefix + epoch.Service, Number: epoch.Number})
}

// handlePeerVersion pulls an epoch if a peer advertises a higher number in a ping
// response or a digest. Peers advertise a number repeatedly.
func (c *Controller) handlePeerVersion(ctx context.Context, peerVersion board.PeerVersion) {
	name, isEpoch := strings.CutPrefix(peerVersion.Name, board.EpochVersionPrefix)
	if !isEpoch || peerVersion.Number <= epochNumber(c.currentEpoch(name)) || c.board.Config.Load().Services[name] == nil {
		return
	}
	peer := board.EpochMember{Instance: peerVersion.Peer.Instance, PeerAddr: peerVersion.Peer.Addr}
	c.pullEpoch(ctx, name, append([]board.EpochMember{peer}, c.pullTargets(name)...))
}

// confirmEpoch starts a confirmation that there is no newer epoch if one is due.
// A majority of the members or else the store confirms it. Only members need
// confirmations, see keyhome.ConfirmationTTL.
func (c *Controller) confirmEpoch(ctx context.Context, s *serviceState, now time.Time) {
	view := c.writer.Load().Get(s.name)
	if view == nil || s.confirming || now.Before(s.nextConfirm) || !view.Epoch.HasMember(c.self, c.incarnation) {
		return
	}
	s.confirming = true
	s.nextConfirm = now.Add(confirmInterval)
	epoch := view.Epoch
	c.runAsync(ctx, func() func() {
		newer, confirmed := c.checkForNewer(ctx, epoch)
		return func() {
			s.confirming = false
			if newer != nil {
				c.adoptEpoch(ctx, newer, time.Now())
			}
			c.recordConfirmation(s, epoch, confirmed, now)
		}
	})
}

// recordConfirmation publishes a confirmation, which is valid from the time at
// which the requests were sent. If another epoch has been adopted meanwhile, that
// one is confirmed on the next tick.
func (c *Controller) recordConfirmation(s *serviceState, epoch *board.Epoch, confirmed bool, askedAt time.Time) {
	view := c.writer.Load().Get(s.name)
	if view.Epoch.Number != epoch.Number {
		s.nextConfirm = time.Time{}
		return
	}
	if !confirmed {
		c.log.Warn().Str("service", s.name).Uint64("epoch", epoch.Number).Msg("epoch not confirmed")
		return
	}
	update := *view
	update.ConfirmedAt = askedAt
	c.publishView(s.name, &update)
}

// checkForNewer asks the members and, if there is neither a newer epoch nor a
// majority, the store. It returns the newer epoch, if any, and whether the given
// epoch is confirmed.
func (c *Controller) checkForNewer(ctx context.Context, epoch *board.Epoch) (*board.Epoch, bool) {
	newer, confirmed := c.peers.ConfirmEpoch(ctx, epoch)
	if newer != nil || confirmed || c.store == nil {
		return newer, confirmed
	}
	stored, _, err := c.readStoredEpoch(ctx, epoch.Service)
	if err != nil {
		return nil, false
	}
	if epochNumber(stored) > epoch.Number {
		return stored, false
	}
	// A store that has lost data and returns an older epoch confirms nothing.
	return nil, epochNumber(stored) == epoch.Number
}
