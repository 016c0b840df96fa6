package epoch

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/wire"
)

// hear handles a rumor or a notice of this node's own call path.
func (c *Controller) hear(ctx context.Context, rumor board.Rumor) {
	notice, err := wire.DecodeEpochRumor(rumor)
	if err != nil {
		c.log.Warn().Err(err).Msg("refused an epoch rumor")
		return
	}
	if notice.EpochNumber <= numberOf(c.current(notice.Service)) {
		return
	}
	if valid(notice) {
		c.adopt(ctx, notice.Epoch, time.Now())
		return
	}
	if c.board.Config.Load().Services[notice.Service] == nil {
		return
	}
	var from []board.EpochMember
	if notice.SourceAddr != "" {
		from = append(from, board.EpochMember{PeerAddr: notice.SourceAddr})
	}
	c.pull(ctx, notice.Service, append(from, c.nodesToAsk(notice.Service)...))
}

func valid(notice wire.EpochNotice) bool {
	e := notice.Epoch
	return e != nil && e.Service == notice.Service && e.Number == notice.EpochNumber && len(e.Members) > 0
}

// pullTargets is how many nodes are asked for an epoch at once.
const pullTargets = 2

// nodesToAsk returns random members of a service other than this node.
func (c *Controller) nodesToAsk(name string) []board.EpochMember {
	var nodes []board.EpochMember
	for _, m := range c.board.Members.Load().ByService[name] {
		if m.Instance != c.self {
			nodes = append(nodes, board.EpochMember{Instance: m.Instance, Incarnation: m.Incarnation, PeerAddr: m.PeerAddr})
		}
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes[:min(len(nodes), pullTargets)]
}

// pull asks nodes for the epoch of a service, one after the other, until one
// has a higher one.
func (c *Controller) pull(ctx context.Context, name string, nodes []board.EpochMember) {
	s := c.state(name)
	if s.pulling || len(nodes) == 0 {
		return
	}
	s.pulling = true
	known := numberOf(c.current(name))
	c.spawn(ctx, func() func() {
		epoch := c.firstNewer(ctx, name, known, nodes)
		return func() {
			s.pulling = false
			if epoch != nil {
				c.adopt(ctx, epoch, time.Now())
			}
		}
	})
}

func (c *Controller) firstNewer(ctx context.Context, name string, known uint64, nodes []board.EpochMember) *board.Epoch {
	for _, node := range nodes {
		page, err := c.keys.Pull(ctx, name, known, node)
		if err == nil && page.NewerEpoch != nil && page.NewerEpoch.Service == name {
			return page.NewerEpoch
		}
	}
	return nil
}

// compare asks a random node for the epoch of a service: at once for a service
// whose epoch is not known, else of a random service from time to time.
func (c *Controller) compare(ctx context.Context, now time.Time) {
	for name := range c.board.Config.Load().Services {
		if c.current(name) == nil {
			c.askUnknown(ctx, c.state(name), now)
		}
	}
	if now.Before(c.nextPull) {
		return
	}
	c.nextPull = now.Add(pullInterval)
	for _, view := range c.writer.Load().ByService {
		c.tell(view.Epoch)
	}
	for name := range c.writer.Load().ByService {
		// The order of a map is random enough to reach each service in time.
		c.pull(ctx, name, c.nodesToAsk(name))
		return
	}
}

// askUnknown asks for the epoch of a service that has none here, with growing
// pauses.
func (c *Controller) askUnknown(ctx context.Context, s *service, now time.Time) {
	if now.Before(s.nextAsk) {
		return
	}
	nodes := c.nodesToAsk(s.name)
	if len(nodes) == 0 {
		return
	}
	s.askPause = min(max(2*s.askPause, firstUnknownPause), lastUnknownPause)
	s.nextAsk = now.Add(s.askPause)
	c.pull(ctx, s.name, nodes)
}

// tell passes the number of an epoch to the membership controller, which
// states it to peers.
func (c *Controller) tell(epoch *board.Epoch) {
	c.board.OutgoingVersions.Post(board.NamedVersion{Name: board.EpochVersionPrefix + epoch.Service, Number: epoch.Number})
}

// learn pulls an epoch whose number a peer stated on a ping answer or a digest.
// Peers repeat their numbers.
func (c *Controller) learn(ctx context.Context, ahead board.PeerVersion) {
	name, isEpoch := strings.CutPrefix(ahead.Name, board.EpochVersionPrefix)
	if !isEpoch || ahead.Number <= numberOf(c.current(name)) || c.board.Config.Load().Services[name] == nil {
		return
	}
	peer := board.EpochMember{Instance: ahead.Peer.Instance, PeerAddr: ahead.Peer.Addr}
	c.pull(ctx, name, append([]board.EpochMember{peer}, c.nodesToAsk(name)...))
}

// confirm asks a majority of the members, or else the store, whether there is
// a higher epoch. Only members need it, see keyhome.ConfirmValid.
func (c *Controller) confirm(ctx context.Context, s *service, now time.Time) {
	view := c.writer.Load().Get(s.name)
	if view == nil || s.confirming || now.Before(s.nextConfirm) || !view.Epoch.HasMember(c.self, c.incarnation) {
		return
	}
	s.confirming = true
	s.nextConfirm = now.Add(confirmInterval)
	epoch := view.Epoch
	c.spawn(ctx, func() func() {
		higher, ok := c.askForHigher(ctx, epoch)
		return func() {
			s.confirming = false
			if higher != nil {
				c.adopt(ctx, higher, time.Now())
			}
			c.confirmed(s, epoch, ok, now)
		}
	})
}

// confirmed publishes a confirmation. It counts from the time at which the
// questions were sent.
func (c *Controller) confirmed(s *service, epoch *board.Epoch, ok bool, asked time.Time) {
	view := c.writer.Load().Get(s.name)
	if view.Epoch.Number != epoch.Number {
		s.nextConfirm = time.Time{}
		return
	}
	if !ok {
		c.log.Warn().Str("service", s.name).Uint64("epoch", epoch.Number).Msg("epoch not confirmed")
		return
	}
	update := *view
	update.ConfirmedAt = asked
	c.publish(s.name, &update)
}

// askForHigher returns a higher epoch when a member or the store has one, and
// whether the epoch is confirmed.
func (c *Controller) askForHigher(ctx context.Context, epoch *board.Epoch) (*board.Epoch, bool) {
	higher, ok := c.keys.AskMembers(ctx, epoch)
	if higher != nil || ok || c.store == nil {
		return higher, ok
	}
	stored, _, err := c.read(ctx, epoch.Service)
	if err != nil {
		return nil, false
	}
	if numberOf(stored) > epoch.Number {
		return stored, false
	}
	// A store that came back with an older epoch proves nothing.
	return nil, numberOf(stored) == epoch.Number
}
