// Package configsync distributes the dynamic configuration and writes it to
// the Config section: the newest accepted configuration that this node has
// received from any source. A lower version never replaces a higher one.
//
// Only a few nodes of each region watch the store: those that hold a contact key
// of the region. They announce new versions by rumor, add missing audit entries,
// and write the document back when the store recovers with an older one. All
// other nodes learn of a version from the rumor or from the version numbers that
// peers advertise, and pull the document from a peer.
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

// Store is the part of the store client that the controller uses.
type Store interface {
	configstore.Store
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Entry, error)
}

// Peers sends a control message to another node and decodes the response.
type Peers interface {
	Exchange(ctx context.Context, addr string, requestType wire.MessageType, message any, responseType wire.MessageType, response any) error
}

// Options are the dependencies and settings of a controller.
type Options struct {
	Board *board.Board
	// Store is nil for a node that gets configurations only from its peers.
	Store Store
	Peers Peers
	// Site selects the overlay of the configuration. Addr is the peer address of
	// this node.
	Site string
	Addr string
	// WatchesStore reports whether this node must watch the store now. The
	// default is always.
	WatchesStore func() bool
	// PullSources returns the peers to pull from. The default is all members.
	PullSources func() []configversion.Source
	// Seed seeds the random order and the jitter of pulls.
	Seed uint64
	// Scope receives the metrics. The default discards them.
	Scope tally.Scope
	Log   zerolog.Logger
}

// Controller writes the Config and ConfigState sections.
type Controller struct {
	Options
	config *board.Writer[*dynconf.Config]
	state  *board.Writer[*board.ConfigState]
	random *rand.Rand

	// deliver passes an event to the goroutine of Run and returns when the event
	// has been handled or ctx is done. The watcher and pull goroutines call it.
	deliver func(ctx context.Context, e event)
	events  chan pendingEvent

	// pulling is set while a pull is in progress.
	pulling bool
	// wantedVersion is the version that a rumor or a peer announced and that this
	// node is searching for, 0 for none. wantedOrigin is the address of the node
	// that has it. The search ends at wantedExpiresAt.
	wantedVersion   uint64
	wantedOrigin    string
	wantedExpiresAt time.Time
}

// pendingEvent is an event that waits for Run. Run closes handled after it has
// handled the event.
type pendingEvent struct {
	event
	handled chan struct{}
}

// event is a result of the store watcher or of a pull from peers.
type event struct {
	// data is an encoded document, nil for none.
	data []byte
	// conflicting is the stamp of a peer's configuration that has the same version
	// as that of this node but different content.
	conflicting configversion.Stamp
	// fromStore is set on an event of the store watcher. The three fields after it
	// are used only then.
	fromStore      bool
	storeReachable bool
	watching       bool
	wroteBack      bool
	// pullDone is set on the result of a pull.
	pullDone bool
}

// New returns a controller and claims its sections.
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

// memberSources returns the other members, without those that have left or are
// dead, as sources with an unknown version.
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

// deliverToRun passes an event to Run and waits until it is handled.
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

// publishStoreStatus publishes whether the node watches the store and whether
// the store is reachable, and counts write-backs.
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

// handleDocument applies a document that is newer than the current one and
// refuses an older, conflicting or invalid one.
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

// refuseConflict logs and counts a configuration that has the same version as
// that of this node but different content. This happens only after the store has
// lost an accepted version. Applying a new version resolves it.
func (c *Controller) refuseConflict(offered configversion.Stamp) {
	next := *c.state.Load()
	c.Log.Error().Uint64("config_version", offered.Version).Str("change_id", next.Newest.ChangeID).Str("offered", offered.ChangeID).
		Msg("refused a configuration with the same version but other content; apply a new version to resolve the conflict")
	next.RefusedConflicts++
	c.countRefused("conflict")
	c.state.Publish(&next)
}

func (c *Controller) countRefused(reason string) {
	c.Scope.Tagged(map[string]string{"reason": reason}).Counter("config_refused").Inc(1)
}

// apply stores a newer document for peers and puts it in force. A document that
// is not valid for this site is still served to peers, while this node keeps the
// configuration that is in force.
func (c *Controller) apply(document *dynconf.Document, data []byte, next *board.ConfigState) {
	next.Newest, next.Document, next.NotAppliedReason = configstore.StampOf(document), data, ""
	// The version is advertised even if the document turns out to be invalid for
	// this site: peers of other sites may need the document.
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

// announceVersion sends a rumor about a version that this node has read from
// the store.
func (c *Controller) announceVersion(stamp configversion.Stamp) {
	payload, err := wire.EncodeConfigRumor(wire.ConfigRumor{Version: stamp.Version, ChangeID: stamp.ChangeID, Addr: c.Addr})
	if err != nil {
		c.Log.Error().Err(err).Msg("failed to encode a configuration rumor")
		return
	}
	c.Board.OutgoingRumors.Post(board.Rumor{Kind: board.RumorConfig, ID: rumorID(stamp), Payload: payload})
}

// handleRumor starts a pull if a rumor announces a newer version.
func (c *Controller) handleRumor(ctx context.Context, received board.Rumor) {
	rumor, err := wire.DecodeConfigRumor(received.Payload)
	if err != nil {
		c.Log.Debug().Err(err).Msg("refused a malformed configuration rumor")
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

// handlePeerVersion starts a pull if a peer advertises a newer version in a ping
// response or a digest. The peer is alive and has the document, so it replaces
// the origin of a rumor about the same version. Peers advertise a version
// repeatedly; only the first advertisement starts a search.
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

// startSearch pulls until this node has a version or wantedTTL has passed.
// The origin is a node known to have the version.
func (c *Controller) startSearch(ctx context.Context, version uint64, origin string) {
	c.wantedVersion, c.wantedOrigin, c.wantedExpiresAt = version, origin, time.Now().Add(wantedTTL)
	c.startPull(ctx)
}

func isNotFound(err error) bool { return errors.Is(err, platform.ErrNotFound) }
