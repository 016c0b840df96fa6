// Package configsync keeps the Config section: the newest accepted
// configuration that this node has seen, from whichever source. A lower
// version never replaces it.
//
// Nodes that hold a contact key watch the store, announce new versions by
// rumor, repair missing audit entries and write the document back when the
// store returns with an older one. All other nodes learn the version from the
// rumor or from the version numbers that peers state, and pull the document
// from a peer.
package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/configstore"
	"mangostand.example/mangostand/pkg/decide/configversion"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/wire"
	"mangostand.example/mangostand/platform"
)

// Store is the part of the store client that the controller needs.
type Store interface {
	configstore.Store
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Entry, error)
}

// Peers sends a control message to a node and reads its answer.
type Peers interface {
	Exchange(ctx context.Context, addr string, send wire.MessageType, message any, receive wire.MessageType, answer any) error
}

// Options are the parts that a controller works with.
type Options struct {
	Board *board.Board
	// Store is nil for a node that runs from its peers only.
	Store Store
	Peers Peers
	// Site selects the overlay; Addr is the peer address of this node.
	Site string
	Addr string
	// WatchesStore says whether this node watches the store now; nil means always.
	WatchesStore func() bool
	// PullSources lists the peers to pull from; nil means all members.
	PullSources func() []configversion.Source
	// Seed seeds the random order of pulls.
	Seed uint64
	// Scope takes the metrics; nil means none.
	Scope tally.Scope
	Log   zerolog.Logger
}

// Controller writes the Config and ConfigState sections.
type Controller struct {
	Options
	config *board.Writer[*dynconf.Config]
	state  *board.Writer[*board.ConfigState]
	random *rand.Rand

	// deliver hands an event to the controller and returns after it was
	// handled or ctx has ended. The store and pull goroutines call it.
	deliver func(ctx context.Context, e event)
	events  chan delivery

	// pulling is set while a pull runs.
	pulling bool
	// wanted is the version that a rumor or a peer named, origin the node that
	// has it. It is forgotten after wantedUntil.
	wanted      uint64
	origin      string
	wantedUntil time.Time
}

// delivery is an event on its way to the controller.
type delivery struct {
	event
	handled chan struct{}
}

// event is a document or a change of the node's view of the store.
type event struct {
	// data is a document in its stored form, nil for none.
	data []byte
	// rival is other content under the node's version that a peer has.
	rival configversion.Stamp
	// fromStore is set for what a read of the store found.
	fromStore bool
	reachable bool
	watching  bool
	wroteBack bool
	// pulled is set at the end of a pull.
	pulled bool
}

// New claims the sections.
func New(o Options) *Controller {
	if o.WatchesStore == nil {
		o.WatchesStore = func() bool { return true }
	}
	if o.PullSources == nil {
		o.PullSources = func() []configversion.Source { return allMembers(o.Board.Members.Load()) }
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	c := &Controller{
		Options: o,
		config:  o.Board.Config.Claim("configsync"), state: o.Board.ConfigState.Claim("configsync"),
		random: rand.New(rand.NewPCG(o.Seed, o.Seed)), events: make(chan delivery),
	}
	c.deliver = c.send
	return c
}

// allMembers returns the members of which nothing is known but their address.
func allMembers(members *board.Members) []configversion.Source {
	var sources []configversion.Source
	for id, m := range members.ByInstance {
		if id != members.Self && m.State < board.MemberLeft {
			sources = append(sources, configversion.Source{Addr: m.PeerAddr})
		}
	}
	return sources
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "configsync" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	if c.Store != nil {
		w := &watcher{controller: c}
		go w.run(ctx)
	}
	timer := time.NewTimer(startInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-c.events:
			c.handle(d.event)
			close(d.handled)
			if d.pulled {
				timer.Reset(c.pullInterval())
			}
		case r := <-c.Board.ConfigRumors.Events():
			c.hear(ctx, r)
		case ahead := <-c.Board.ConfigVersions.Events():
			c.learn(ctx, ahead)
		case <-timer.C:
			c.startPull(ctx)
			timer.Reset(c.pullInterval())
		}
	}
}

// send passes an event to Run.
func (c *Controller) send(ctx context.Context, e event) {
	d := delivery{event: e, handled: make(chan struct{})}
	select {
	case c.events <- d:
	case <-ctx.Done():
		return
	}
	select {
	case <-d.handled:
	case <-ctx.Done():
	}
}

func (c *Controller) handle(e event) {
	if e.fromStore {
		c.publishStoreView(e)
	}
	if e.data != nil {
		c.accept(e.data, e.fromStore)
	}
	if e.rival.Version != 0 && e.rival.Version == c.state.Load().Newest.Version {
		c.refuseConflict(e.rival)
	}
	if !e.pulled {
		return
	}
	c.pulling = false
	if c.state.Load().Newest.Version >= c.wanted || !time.Now().Before(c.wantedUntil) {
		c.wanted, c.origin = 0, ""
	}
}

// publishStoreView stores whether the node watches the store and reaches it.
func (c *Controller) publishStoreView(e event) {
	next := *c.state.Load()
	next.Watching, next.StoreReachable = e.watching, e.reachable
	if e.wroteBack {
		next.WrittenBack++
	}
	if next.Watching != c.state.Load().Watching || next.StoreReachable != c.state.Load().StoreReachable || e.wroteBack {
		c.state.Publish(&next)
	}
}

// accept judges a document and puts it in force when it is newer.
func (c *Controller) accept(data []byte, fromStore bool) {
	next := *c.state.Load()
	document, err := dynconf.DecodeDocument(data)
	if err != nil {
		c.Log.Error().Err(err).Bool("from_store", fromStore).Msg("refused a configuration document")
		next.RefusedInvalid++
		c.countRefused("invalid")
		c.state.Publish(&next)
		return
	}
	offered := configstore.StampOf(document)
	switch configversion.Decide(next.Newest, offered) {
	case configversion.Accept:
		c.adopt(document, data, &next)
		if fromStore {
			c.announce(offered)
		}
	case configversion.RefuseOlder:
		c.Log.Warn().Uint64("config_version", next.Newest.Version).Uint64("offered", offered.Version).
			Bool("from_store", fromStore).Msg("refused an older configuration")
		next.RefusedOlder++
		c.countRefused("older")
		c.state.Publish(&next)
	case configversion.RefuseConflict:
		c.refuseConflict(offered)
	}
}

// refuseConflict reports other content under the version that this node has.
// It exists only after the store lost an accepted version; a new version
// settles it.
func (c *Controller) refuseConflict(offered configversion.Stamp) {
	next := *c.state.Load()
	c.Log.Error().Uint64("config_version", offered.Version).Str("change_id", next.Newest.ChangeID).Str("offered", offered.ChangeID).
		Msg("refused other content under the same configuration version; apply a new version to settle it")
	next.RefusedConflicts++
	c.countRefused("conflict")
	c.state.Publish(&next)
}

func (c *Controller) countRefused(reason string) {
	c.Scope.Tagged(map[string]string{"reason": reason}).Counter("config_refused").Inc(1)
}

// adopt keeps a newer document for peers and puts it in force. A document that
// is not valid for this site is still passed on; the site runs on with the
// version it has.
func (c *Controller) adopt(document *dynconf.Document, data []byte, next *board.ConfigState) {
	next.Newest, next.Document, next.NotAppliedReason = configstore.StampOf(document), data, ""
	// The Config section lags behind when the document is not valid for this
	// site, but peers of other sites need to know that it is here.
	c.Board.OutgoingVersions.Post(board.NamedVersion{Name: board.ConfigVersionName, Number: next.Newest.Version})
	config, err := document.ConfigForSite(c.Site)
	if err != nil {
		c.Log.Error().Err(err).Msg("the newest configuration is not valid for this site")
		next.NotAppliedReason = err.Error()
		next.RefusedInvalid++
		c.countRefused("invalid")
		c.state.Publish(next)
		return
	}
	c.config.Publish(config)
	c.Scope.Gauge("config_version").Update(float64(config.Version))
	c.state.Publish(next)
	c.Log.Info().Uint64("config_version", config.Version).Str("author", document.Author).Msg("configuration in force")
}

// announce floods a version that this node read from the store.
func (c *Controller) announce(stamp configversion.Stamp) {
	payload, err := wire.EncodeConfigRumor(wire.ConfigRumor{Version: stamp.Version, ChangeID: stamp.ChangeID, Addr: c.Addr})
	if err != nil {
		c.Log.Error().Err(err).Msg("configuration rumor not encoded")
		return
	}
	c.Board.OutgoingRumors.Post(board.Rumor{Kind: board.RumorConfig, ID: rumorID(stamp), Payload: payload})
}

// hear starts a pull when a rumor names a newer version.
func (c *Controller) hear(ctx context.Context, r board.Rumor) {
	rumor, err := wire.DecodeConfigRumor(r.Payload)
	if err != nil {
		c.Log.Debug().Err(err).Msg("refused a rumor")
		return
	}
	newest := c.state.Load().Newest
	heard := configversion.Stamp{Version: rumor.Version, ChangeID: rumor.ChangeID}
	if configversion.Decide(newest, heard) == configversion.RefuseConflict {
		c.refuseConflict(heard)
	}
	if rumor.Version <= max(c.wanted, newest.Version) {
		return
	}
	c.want(ctx, rumor.Version, rumor.Addr)
}

// learn starts a pull when a peer states a newer version on a ping answer or a
// digest. The peer lives and has the document, so it replaces the origin of a
// rumor for the same version. Peers repeat their versions.
func (c *Controller) learn(ctx context.Context, ahead board.PeerVersion) {
	if ahead.Number <= c.state.Load().Newest.Version || ahead.Number < c.wanted {
		return
	}
	if ahead.Number == c.wanted {
		c.origin = ahead.Peer.Addr
		return
	}
	c.want(ctx, ahead.Number, ahead.Peer.Addr)
}

// want searches a version from now on, first at the node that has it.
func (c *Controller) want(ctx context.Context, version uint64, origin string) {
	c.wanted, c.origin, c.wantedUntil = version, origin, time.Now().Add(wantedFor)
	c.startPull(ctx)
}

func isMissing(err error) bool { return errors.Is(err, platform.ErrNotFound) }
