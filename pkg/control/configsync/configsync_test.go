package configsync

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/configstore"
	"mangostand.example/mangostand/pkg/decide/configversion"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/standin/store"
	"mangostand.example/mangostand/pkg/wire"
	"mangostand.example/mangostand/platform"
)

// boards answers pulls in process from the boards of other nodes.
type boards map[string]*board.Board

func (p boards) Exchange(_ context.Context, addr string, _ wire.MessageType, message any, _ wire.MessageType, answer any) error {
	b := p[addr]
	if b == nil {
		return errors.New("no such node")
	}
	*answer.(*wire.ConfigDoc) = Answer(b, message.(wire.ConfigPull))
	return nil
}

func (p boards) sources(self string) []configversion.Source {
	var sources []configversion.Source
	for addr := range p {
		if addr == self {
			continue
		}
		sources = append(sources, configversion.Source{Addr: addr})
	}
	// The order of the map must not decide what a seeded test does.
	slices.SortFunc(sources, func(a, b configversion.Source) int { return strings.Compare(a.Addr, b.Addr) })
	return sources
}

// node builds a controller; s is nil for a node that does not watch.
func node(addr string, s *store.Store, peers boards) *Controller {
	o := Options{
		Board: board.New(board.InstanceID(addr)), Peers: peers, Site: "site", Addr: addr,
		PullSources: func() []configversion.Source { return peers.sources(addr) }, Seed: 1, Log: zerolog.Nop(),
	}
	if s != nil {
		o.Store = clientOf(s)
	}
	return New(o)
}

func clientOf(s *store.Store) *platform.Client {
	return platform.NewClient("http://store", platform.WithTransport(s.Transport()))
}

func (c *Controller) version() uint64 { return c.Board.Config.Load().Version }

func document(author string) *dynconf.Document {
	return &dynconf.Document{ChangeID: uuid.NewString(), Author: author, Base: "[service a]\nservers = " + author + "\n"}
}

// apply puts the next version into the store.
func apply(t *testing.T, s *store.Store) *dynconf.Document {
	t.Helper()
	client := clientOf(s)
	start, err := configstore.ReadCurrent(t.Context(), client)
	require.NoError(t, err)
	next := document("operator")
	require.NoError(t, configstore.Apply(t.Context(), client, start, next))
	return next
}

// versionDocument returns the stored form of a version.
func versionDocument(t *testing.T, version uint64, author string) []byte {
	t.Helper()
	d := document(author)
	d.SetParent(&dynconf.Document{Version: version - 1})
	data, err := d.Encode()
	require.NoError(t, err)
	return data
}

// start runs controllers until the returned function is called.
func start(t *testing.T, controllers ...*Controller) func() {
	ctx, cancel := context.WithCancel(t.Context())
	for _, c := range controllers {
		go c.Run(ctx)
	}
	return func() {
		cancel()
		synctest.Wait()
	}
}

// Guards against a node that stays without a configuration because the store
// is down when it starts, and against one that settles for a stale peer.
func TestStartWithoutStoreTakesNewestFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(time.Now)
		s.SetFaults(store.Faults{Outage: true})
		peers := boards{}
		for addr, version := range map[string]uint64{"stale": 1, "newest": 3, "older": 2} {
			c := node(addr, nil, boards{})
			c.handle(event{data: versionDocument(t, version, addr)})
			peers[addr] = c.Board
		}
		c := node("starting", s, peers)
		stop := start(t, c)
		time.Sleep(time.Second)
		require.EqualValues(t, 3, c.version())
		require.False(t, c.Board.ConfigState.Load().StoreReachable)
		stop()
	})
}

// Guards against a version that reaches only the nodes that watch the store:
// the others hear the rumor and pull, also when the store goes down at once
// after the acceptance.
func TestRumorBringsVersionToAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(time.Now)
		peers := boards{}
		watcher := node("watcher", s, peers)
		reader := node("reader", nil, peers)
		peers["watcher"], peers["reader"] = watcher.Board, reader.Board
		stop := start(t, watcher, reader)
		// The change falls between two pulls of the reader.
		time.Sleep(20*time.Second + startInterval/2)
		apply(t, s)
		synctest.Wait()
		require.EqualValues(t, 1, watcher.version())
		s.SetFaults(store.Faults{Outage: true})
		require.EqualValues(t, 0, reader.version())
		reader.Board.ConfigRumors.Post(<-watcher.Board.OutgoingRumors.Events())
		synctest.Wait()
		require.EqualValues(t, 1, reader.version())
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, watcher.version())
		stop()
	})
}

// Guards against a lost rumor that leaves a node behind for good.
func TestExchangeMakesUpForLostRumor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := boards{}
		ahead, behind := node("ahead", nil, peers), node("behind", nil, peers)
		peers["ahead"], peers["behind"] = ahead.Board, behind.Board
		first := versionDocument(t, 1, "a")
		ahead.handle(event{data: first})
		behind.handle(event{data: first})
		ahead.handle(event{data: versionDocument(t, 2, "a")})
		stop := start(t, behind)
		time.Sleep(exchangeInterval * 2)
		require.EqualValues(t, 2, behind.version())
		stop()
	})
}

// Guards against a node that follows a store back to an older version, and
// against a store that stays there.
func TestOlderStoreIsWrittenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(time.Now)
		apply(t, s)
		s.Snapshot("old")
		newest := apply(t, s)
		c := node("watcher", s, boards{})
		stop := start(t, c)
		synctest.Wait()
		require.EqualValues(t, 2, c.version())
		s.SetFaults(store.Faults{Outage: true})
		s.Restore("old")
		time.Sleep(30 * time.Second)
		s.SetFaults(store.Faults{})
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 2, c.version())
		current, err := configstore.ReadCurrent(t.Context(), clientOf(s))
		require.NoError(t, err)
		require.Equal(t, configstore.StampOf(newest), current.Stamp())
		require.EqualValues(t, 1, c.Board.ConfigState.Load().WrittenBack)
		stop()
	})
}

// Guards against two contents under one version that replace each other or go
// unnoticed, since the store that lost the first uses its revision again.
func TestSameVersionWithOtherContentIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(time.Now)
		s.Snapshot("empty")
		revision, err := s.CompareAndSwap(dynconf.CurrentKey, 0, versionDocument(t, 1, "other"), "")
		require.NoError(t, err)
		s.Snapshot("other")
		s.Restore("empty")
		first := apply(t, s)
		c := node("watcher", s, boards{})
		stop := start(t, c)
		synctest.Wait()
		before, err := s.Get(dynconf.CurrentKey)
		require.NoError(t, err)
		require.Equal(t, before.Revision, revision)
		s.Restore("other")
		time.Sleep(watchWait + time.Second)
		state := c.Board.ConfigState.Load()
		require.Equal(t, configstore.StampOf(first), state.Newest)
		require.Positive(t, state.RefusedConflicts)
		require.Equal(t, first.ChangeID, c.Board.Config.Load().ChangeID)
		stop()
	})
}

// Guards against a peer or a rumor with other content under the same version
// that goes unnoticed.
func TestRivalPeerIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rival := node("rival", nil, boards{})
		rival.handle(event{data: versionDocument(t, 1, "rival")})
		c := node("a", nil, boards{"rival": rival.Board})
		c.handle(event{data: versionDocument(t, 1, "a")})
		stop := start(t, c)
		time.Sleep(2 * exchangeInterval)
		require.Positive(t, c.Board.ConfigState.Load().RefusedConflicts)
		counted := c.Board.ConfigState.Load().RefusedConflicts
		postRumor(c.Board, wire.ConfigPull{Version: 1, ChangeID: "rumored"})
		synctest.Wait()
		require.Equal(t, counted+1, c.Board.ConfigState.Load().RefusedConflicts)
		stop()
	})
}

// stalePeer answers each pull with one document, whatever the sender has.
type stalePeer struct{ document []byte }

func (p stalePeer) Exchange(_ context.Context, _ string, _ wire.MessageType, _ any, _ wire.MessageType, answer any) error {
	*answer.(*wire.ConfigDoc) = wire.ConfigDoc{Version: 9, Document: p.document}
	return nil
}

// Guards against a stale peer, or an answer that was overtaken by a newer
// version, that takes a node back.
func TestStalePeerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := node("a", nil, boards{"stale": nil})
		c.Peers = stalePeer{versionDocument(t, 1, "stale")}
		c.handle(event{data: versionDocument(t, 2, "a")})
		stop := start(t, c)
		time.Sleep(2 * exchangeInterval)
		require.EqualValues(t, 2, c.version())
		require.Positive(t, c.Board.ConfigState.Load().RefusedOlder)
		stop()
	})
}

// Guards against a change whose author crashed before writing its audit entry.
func TestWatcherRepairsMissingAuditEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(time.Now)
		c := node("watcher", s, boards{})
		stop := start(t, c)
		synctest.Wait()
		accepted := apply(t, s)
		synctest.Wait()
		entry, err := configstore.ReadAuditEntry(t.Context(), clientOf(s), 1)
		require.NoError(t, err)
		require.Equal(t, accepted.ChangeID, entry.ChangeID)
		kept, err := configstore.ReadVersion(t.Context(), clientOf(s), 1)
		require.NoError(t, err)
		require.Equal(t, accepted.Base, kept.Base)
		stop()
	})
}

// Guards against a document for another site or from another release that
// stops this node or keeps the document from its peers.
func TestUnusableDocumentIsPassedOn(t *testing.T) {
	c := node("a", nil, boards{})
	c.handle(event{data: versionDocument(t, 1, "a")})
	d := &dynconf.Document{ChangeID: "x", Base: "[service a]\n"}
	d.SetParent(&dynconf.Document{Version: 1})
	data, err := d.Encode()
	require.NoError(t, err)
	c.handle(event{data: data})
	c.handle(event{data: []byte("{")})
	state := c.Board.ConfigState.Load()
	require.EqualValues(t, 1, c.version())
	require.EqualValues(t, 2, state.RefusedInvalid)
	require.Contains(t, state.NotAppliedReason, "service a has no allowed backend server")
	require.Equal(t, data, Answer(c.Board, wire.ConfigPull{Version: 1}).Document)
}

// Guards against a false rumor that makes a node ask its peers for ever.
func TestFalseRumorIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := boards{}
		c := node("a", nil, peers)
		other := node("b", nil, peers)
		peers["b"] = other.Board
		c.handle(event{data: versionDocument(t, 1, "a")})
		stop := start(t, c)
		postRumor(c.Board, wire.ConfigPull{Version: 1 << 60, ChangeID: "x", Addr: "nowhere"})
		c.Board.ConfigRumors.Post(board.Rumor{Kind: board.RumorConfig, Payload: []byte{0xff}})
		time.Sleep(wantedFor + 10*time.Second)
		stop()
		require.Zero(t, c.wanted)
		require.EqualValues(t, 1, c.version())
	})
}
