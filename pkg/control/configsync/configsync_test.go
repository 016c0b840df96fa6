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

// peerBoards implements Peers: it responds to pulls from the boards of other
// nodes, by address.
type peerBoards map[string]*board.Board

func (p peerBoards) Exchange(_ context.Context, addr string, _ wire.MessageType, message any, _ wire.MessageType, response any) error {
	b := p[addr]
	if b == nil {
		return errors.New("no such node")
	}
	*response.(*wire.ConfigDoc) = RespondToPull(b, message.(wire.ConfigPull))
	return nil
}

func (p peerBoards) pullSources(self string) []configversion.Source {
	var sources []configversion.Source
	for addr := range p {
		if addr == self {
			continue
		}
		sources = append(sources, configversion.Source{Addr: addr})
	}
	// Sorted so that map order does not affect a seeded test.
	slices.SortFunc(sources, func(a, b configversion.Source) int { return strings.Compare(a.Addr, b.Addr) })
	return sources
}

// newTestController returns the controller of a node. s is nil for a node that
// does not watch the store.
func newTestController(addr string, s *store.Store, peers peerBoards) *Controller {
	o := Options{
		Board: board.New(board.InstanceID(addr)), Peers: peers, Site: "site", Addr: addr,
		PullSources: func() []configversion.Source { return peers.pullSources(addr) }, Seed: 1, Log: zerolog.Nop(),
	}
	if s != nil {
		o.Store = newClient(s)
	}
	return New(o)
}

func newClient(s *store.Store) *platform.Client {
	return platform.NewClient("http://store", platform.WithTransport(s.Transport()))
}

func (c *Controller) activeVersion() uint64 { return c.Board.Config.Load().Version }

func newDocument(author string) *dynconf.Document {
	return &dynconf.Document{ChangeID: uuid.NewString(), Author: author, Base: "[service a]\nservers = " + author + "\n"}
}

// applyNextVersion applies the next version to the store as an operator does.
func applyNextVersion(t *testing.T, s *store.Store) *dynconf.Document {
	t.Helper()
	client := newClient(s)
	base, err := configstore.ReadCurrent(t.Context(), client)
	require.NoError(t, err)
	next := newDocument("operator")
	require.NoError(t, configstore.Apply(t.Context(), client, base, next))
	return next
}

// encodedDocument returns an encoded document with the given version.
func encodedDocument(t *testing.T, version uint64, author string) []byte {
	t.Helper()
	d := newDocument(author)
	d.SetParent(&dynconf.Document{Version: version - 1})
	data, err := d.Encode()
	require.NoError(t, err)
	return data
}

// startControllers runs controllers until the returned function is called.
func startControllers(t *testing.T, controllers ...*Controller) func() {
	ctx, cancel := context.WithCancel(t.Context())
	for _, c := range controllers {
		go c.Run(ctx)
	}
	return func() {
		cancel()
		synctest.Wait()
	}
}

// Guards against a node that starts while the store is down and stays without a
// configuration, or takes an older one than the newest among its peers.
func TestStartWithoutStoreTakesNewestFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(time.Now)
		s.SetFaults(store.Faults{Outage: true})
		peers := peerBoards{}
		for addr, version := range map[string]uint64{"stale": 1, "newest": 3, "older": 2} {
			c := newTestController(addr, nil, peerBoards{})
			c.handleEvent(event{data: encodedDocument(t, version, addr)})
			peers[addr] = c.Board
		}
		c := newTestController("starting", s, peers)
		stop := startControllers(t, c)
		time.Sleep(time.Second)
		require.EqualValues(t, 3, c.activeVersion())
		require.False(t, c.Board.ConfigState.Load().StoreReachable)
		stop()
	})
}

// Guards against a version that reaches only the nodes that watch the store.
// The others must pull it from a peer after its rumor, even if the store goes
// down right after it accepted the version.
func TestRumorTriggersPull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(time.Now)
		peers := peerBoards{}
		watcher := newTestController("watcher", s, peers)
		reader := newTestController("reader", nil, peers)
		peers["watcher"], peers["reader"] = watcher.Board, reader.Board
		stop := startControllers(t, watcher, reader)
		// The change comes between two pulls of the reader.
		time.Sleep(20*time.Second + initialPullInterval/2)
		applyNextVersion(t, s)
		synctest.Wait()
		require.EqualValues(t, 1, watcher.activeVersion())
		s.SetFaults(store.Faults{Outage: true})
		require.EqualValues(t, 0, reader.activeVersion())
		reader.Board.ConfigRumors.Post(<-watcher.Board.OutgoingRumors.Events())
		synctest.Wait()
		require.EqualValues(t, 1, reader.activeVersion())
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, watcher.activeVersion())
		stop()
	})
}

// Guards against a node that never gets a version because it missed the rumor.
func TestAntiEntropyRecoversLostRumor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := peerBoards{}
		ahead, behind := newTestController("ahead", nil, peers), newTestController("behind", nil, peers)
		peers["ahead"], peers["behind"] = ahead.Board, behind.Board
		first := encodedDocument(t, 1, "a")
		ahead.handleEvent(event{data: first})
		behind.handleEvent(event{data: first})
		ahead.handleEvent(event{data: encodedDocument(t, 2, "a")})
		stop := startControllers(t, behind)
		time.Sleep(antiEntropyInterval * 2)
		require.EqualValues(t, 2, behind.activeVersion())
		stop()
	})
}

// Guards against a store that loses data and reverts nodes to an older version,
// and against one that is not brought up to date by write-back.
func TestWriteBackToOlderStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(time.Now)
		applyNextVersion(t, s)
		s.Snapshot("old")
		newest := applyNextVersion(t, s)
		c := newTestController("watcher", s, peerBoards{})
		stop := startControllers(t, c)
		synctest.Wait()
		require.EqualValues(t, 2, c.activeVersion())
		s.SetFaults(store.Faults{Outage: true})
		s.Restore("old")
		time.Sleep(30 * time.Second)
		s.SetFaults(store.Faults{})
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 2, c.activeVersion())
		current, err := configstore.ReadCurrent(t.Context(), newClient(s))
		require.NoError(t, err)
		require.Equal(t, configstore.StampOf(newest), current.Stamp())
		require.EqualValues(t, 1, c.Board.ConfigState.Load().WrittenBack)
		stop()
	})
}

// Guards against conflicting content in the store that replaces that of a node
// with the same version, or that goes undetected because the store, after its
// data loss, used the same revision again.
func TestConflictingStoreContentIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(time.Now)
		s.Snapshot("empty")
		revision, err := s.CompareAndSwap(dynconf.CurrentKey, 0, encodedDocument(t, 1, "other"), "")
		require.NoError(t, err)
		s.Snapshot("other")
		s.Restore("empty")
		first := applyNextVersion(t, s)
		c := newTestController("watcher", s, peerBoards{})
		stop := startControllers(t, c)
		synctest.Wait()
		before, err := s.Get(dynconf.CurrentKey)
		require.NoError(t, err)
		require.Equal(t, before.Revision, revision)
		s.Restore("other")
		time.Sleep(maxWatchWait + time.Second)
		state := c.Board.ConfigState.Load()
		require.Equal(t, configstore.StampOf(first), state.Newest)
		require.Positive(t, state.RefusedConflicts)
		require.Equal(t, first.ChangeID, c.Board.Config.Load().ChangeID)
		stop()
	})
}

// Guards against an undetected conflict with a peer or a rumor: the same version
// with different content.
func TestConflictingPeerIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := newTestController("rival", nil, peerBoards{})
		peer.handleEvent(event{data: encodedDocument(t, 1, "rival")})
		c := newTestController("a", nil, peerBoards{"rival": peer.Board})
		c.handleEvent(event{data: encodedDocument(t, 1, "a")})
		stop := startControllers(t, c)
		time.Sleep(2 * antiEntropyInterval)
		require.Positive(t, c.Board.ConfigState.Load().RefusedConflicts)
		conflicts := c.Board.ConfigState.Load().RefusedConflicts
		postConfigRumor(c.Board, wire.ConfigPull{Version: 1, ChangeID: "rumored"})
		synctest.Wait()
		require.Equal(t, conflicts+1, c.Board.ConfigState.Load().RefusedConflicts)
		stop()
	})
}

// stalePeer responds to every pull with the same document, even if the requester
// has a newer one.
type stalePeer struct{ document []byte }

func (p stalePeer) Exchange(_ context.Context, _ string, _ wire.MessageType, _ any, _ wire.MessageType, response any) error {
	*response.(*wire.ConfigDoc) = wire.ConfigDoc{Version: 9, Document: p.document}
	return nil
}

// Guards against a node that reverts to an older version because of a stale peer
// or a delayed pull response.
func TestOlderVersionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController("a", nil, peerBoards{"stale": nil})
		c.Peers = stalePeer{encodedDocument(t, 1, "stale")}
		c.handleEvent(event{data: encodedDocument(t, 2, "a")})
		stop := startControllers(t, c)
		time.Sleep(2 * antiEntropyInterval)
		require.EqualValues(t, 2, c.activeVersion())
		require.Positive(t, c.Board.ConfigState.Load().RefusedOlder)
		stop()
	})
}

// Guards against a change that stays without an audit entry because its author
// crashed before writing the entry.
func TestWatcherRepairsMissingAuditEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(time.Now)
		c := newTestController("watcher", s, peerBoards{})
		stop := startControllers(t, c)
		synctest.Wait()
		accepted := applyNextVersion(t, s)
		synctest.Wait()
		entry, err := configstore.ReadAuditEntry(t.Context(), newClient(s), 1)
		require.NoError(t, err)
		require.Equal(t, accepted.ChangeID, entry.ChangeID)
		archived, err := configstore.ReadVersion(t.Context(), newClient(s), 1)
		require.NoError(t, err)
		require.Equal(t, accepted.Base, archived.Base)
		stop()
	})
}

// Guards against a document that replaces the configuration in force although it
// is invalid for this site or, coming from another release, cannot be decoded.
// Also guards against one that is withheld from peers because it is invalid for
// this site only.
func TestInvalidDocumentIsServedToPeers(t *testing.T) {
	c := newTestController("a", nil, peerBoards{})
	c.handleEvent(event{data: encodedDocument(t, 1, "a")})
	d := &dynconf.Document{ChangeID: "x", Base: "[service a]\n"}
	d.SetParent(&dynconf.Document{Version: 1})
	data, err := d.Encode()
	require.NoError(t, err)
	c.handleEvent(event{data: data})
	c.handleEvent(event{data: []byte("{")})
	state := c.Board.ConfigState.Load()
	require.EqualValues(t, 1, c.activeVersion())
	require.EqualValues(t, 2, state.RefusedInvalid)
	require.Contains(t, state.NotAppliedReason, "service a has no allowed backend server")
	require.Equal(t, data, RespondToPull(c.Board, wire.ConfigPull{Version: 1}).Document)
}

// Guards against a false rumor that makes a node search for a version forever.
func TestSearchForFalseRumorExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := peerBoards{}
		c := newTestController("a", nil, peers)
		other := newTestController("b", nil, peers)
		peers["b"] = other.Board
		c.handleEvent(event{data: encodedDocument(t, 1, "a")})
		stop := startControllers(t, c)
		postConfigRumor(c.Board, wire.ConfigPull{Version: 1 << 60, ChangeID: "x", Addr: "nowhere"})
		c.Board.ConfigRumors.Post(board.Rumor{Kind: board.RumorConfig, Payload: []byte{0xff}})
		time.Sleep(wantedTTL + 10*time.Second)
		stop()
		require.Zero(t, c.wantedVersion)
		require.EqualValues(t, 1, c.activeVersion())
	})
}
