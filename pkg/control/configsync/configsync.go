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
	Exchange(ctx context.Context, addr string, send wire.Type, message any, receive wire.Type, answer any) error
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
	events  chan pendingEvent

	// pulling is set while a pull runs.
	pulling bool
	// wantedVersion is the version that a rumor or a peer named, origin the node that
	// has it. It is forgotten after wantedUntil.
	wantedVersion   uint64
	wantedOrigin    string
	wantedExpiresAt time.Time
}

// pendingEvent is an event on its way to the controller.
type pendingEvent struct {
	event
	handled chan struct{}
}

// event is a document or a change of the node's view of the store.
type event struct {
	// data is a document in its stored form, nil for none.
	data []byte
	// conflicting is other content under the node's version that a peer has.
	conflicting configversion.Stamp
	// fromStore is set for what a read of the store found.
	fromStore      bool
	storeReachable bool
	watching       bool
	wroteBack      bool
	// pullDone is set at the end of a pull.
	pullDone bool
}

// New claims the sections.
func New(o Options) *Controller {
	if o.WatchesStore == nil {
		o.WatchesStore = func() bool { return true }
	}
	if o.PullSources == nil {
		o.PullSources = func() []configversion.Source { return memberSources(o.Board.Members.Load()) }
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	c := &Controller{
		Options: o,
		config:  o.Board.Config.Claim("configsync"), state: o.Board.ConfigState.Claim("configsync"),
		random: rand.New(rand.NewPCG(o.Seed, o.Seed)), events: make(chan pendingEvent),
	}
	c.deliver = c.deliverToRun
	return c
}

// memberSources returns the members of which nothing is known but their address.
func memberSources(members *board.Members) []configversion.Source {
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
		watcher := &storeWatcher{controller: c}
		go watcher.run(ctx)
	}
	timer := time.NewTimer(initialPullInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case pending := <-c.events:
			c.handleEvent(pending.event)
			close(pending.handled)
			if pending.pullDone {
				timer.Reset(c.pullInterval())
			}
		case rumor := <-c.Board.ConfigRumors.Events():
			c.handleRumor(ctx, rumor)
		case peerVersion := <-c.Board.ConfigVersions.Events():
			c.handlePeerVersion(ctx, peerVersion)
		case <-timer.C:
			c.startPull(ctx)
			timer.Reset(c.pullInterval())
		}
	}
}

// deliverToRun passes an event to Run.
func (c *Controller) deliverToRun(ctx context.Context, e event) {
	pending := pendingEvent{event: e, handled: make(chan struct{})}
	select {
	case c.events <- pending:
	case <-ctx.Done():
		return
	}
	select {
	case <-pending.handled:
	case <-ctx.Done():
	}
}

func (c *Controller) handleEvent(e event) {
	if e.fromStore {
		c.publishStoreStatus(e)
	}
	if e.data != nil {
		c.handleDocument(e.data, e.fromStore)
	}
	if e.conflicting.Version != 0 && e.conflicting.Version == c.state.Load().Newest.Version {
		c.refuseConflict(e.conflicting)
	}
	if !e.pullDone {
		return
	}
	c.pulling = false
	if c.state.Load().Newest.Version >= c.wantedVersion || !time.Now().Before(c.wantedExpiresAt) {
		c.wantedVersion, c.wantedOrigin = 0, ""
	}
}

// publishStoreStatus stores whether the node watches the store and reaches it.
func (c *Controller) publishStoreStatus(e event) {
	next := *c.state.Load()
	next.Watching, next.StoreReachable = e.watching, e.storeReachable
	if e.wroteBack {
		next.WrittenBack++
	}
	if next.Watching != c.state.Load().Watching || next.StoreReachable != c.state.Load().StoreReachable || e.wroteBack {
		c.state.Publish(&next)
	}
}

// handleDocument judges a document and puts it in force when it is newer.
func (c *Controller) handleDocument(data []byte, fromStore bool) {
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
		c.apply(document, data, &next)
		if fromStore {
			c.announceVersion(offered)
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

// apply keeps a newer document for peers and puts it in force. A document that
// is not valid for this site is still passed on; the site runs on with the
// version it has.
func (c *Controller) apply(document *dynconf.Document, data []byte, next *board.ConfigState) {
	next.Newest, next.Document, next.Problem = configstore.StampOf(document), data, ""
	// The Config section lags behind when the document is not valid for this
	// site, but peers of other sites need to know that it is here.
	c.Board.VersionsOut.Post(board.Version{Name: board.VersionConfig, Number: next.Newest.Version})
	config, err := document.ForSite(c.Site)
	if err != nil {
		c.Log.Error().Err(err).Msg("the newest configuration is not valid for this site")
		next.Problem = err.Error()
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

// announceVersion floods a version that this node read from the store.
func (c *Controller) announceVersion(stamp configversion.Stamp) {
	payload, err := wire.EncodeConfigRumor(wire.ConfigRumor{Version: stamp.Version, ChangeID: stamp.ChangeID, Addr: c.Addr})
	if err != nil {
		c.Log.Error().Err(err).Msg("configuration rumor not encoded")
		return
	}
	c.Board.RumorsOut.Post(board.Rumor{Kind: board.RumorConfig, ID: rumorID(stamp), Payload: payload})
}

// handleRumor starts a pull when a rumor names a newer version.
func (c *Controller) handleRumor(ctx context.Context, received board.Rumor) {
	rumor, err := wire.DecodeConfigRumor(received.Payload)
	if err != nil {
		c.Log.Debug().Err(err).Msg("refused a rumor")
		return
	}
	newest := c.state.Load().Newest
	offered := configversion.Stamp{Version: rumor.Version, ChangeID: rumor.ChangeID}
	if configversion.Decide(newest, offered) == configversion.RefuseConflict {
		c.refuseConflict(offered)
	}
	if rumor.Version <= max(c.wantedVersion, newest.Version) {
		return
	}
	c.startSearch(ctx, rumor.Version, rumor.Addr)
}

// handlePeerVersion starts a pull when a peer states a newer version on a ping answer or a
// digest. The peer lives and has the document, so it replaces the origin of a
// rumor for the same version. Peers repeat their versions.
func (c *Controller) handlePeerVersion(ctx context.Context, peerVersion board.PeerVersion) {
	if peerVersion.Number <= c.state.Load().Newest.Version || peerVersion.Number < c.wantedVersion {
		return
	}
	if peerVersion.Number == c.wantedVersion {
		c.wantedOrigin = peerVersion.Peer.Addr
		return
	}
	c.startSearch(ctx, peerVersion.Number, peerVersion.Peer.Addr)
}

// startSearch searches a version from now on, first at the node that has it.
func (c *Controller) startSearch(ctx context.Context, version uint64, origin string) {
	c.wantedVersion, c.wantedOrigin, c.wantedExpiresAt = version, origin, time.Now().Add(wantedTTL)
	c.startPull(ctx)
}

func isNotFound(err error) bool { return errors.Is(err, platform.ErrNotFound) }
