package configsync

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"mangostand.example/mangostand/pkg/configstore"
	"mangostand.example/mangostand/pkg/decide/configversion"
	"mangostand.example/mangostand/pkg/standin/store"
	"mangostand.example/mangostand/platform"
)

const simulatedNodes = 3

// noDeadlineTB hides the Deadline method, which must not be called in a synctest
// bubble.
type noDeadlineTB struct{ rapid.TB }

// setDefaultSeed makes every run check the same sequences unless a seed is given
// by the flag rapid.seed.
func setDefaultSeed(t *testing.T) {
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == "0" {
		if err := seed.Value.Set("20261204"); err != nil {
			t.Fatal(err)
		}
	}
	t.Log("rapid.seed", seed.Value)
}

// simulation drives several nodes, two operators and a faulty store, one step at
// a time.
type simulation struct {
	store    *store.Store
	client   *platform.Client
	peers    peerBoards
	nodes    [simulatedNodes]*Controller
	watchers [simulatedNodes]*storeWatcher
	// lastVersions is the version of each node at the last check, 0 after a
	// restart.
	lastVersions [simulatedNodes]uint64
	// changeBases holds, for each operator, the configuration on which the change is
	// based.
	changeBases [2]configstore.StoredDocument
	// acceptedChanges maps each version to the change ID for which Apply reported
	// success to an operator.
	acceptedChanges map[uint64]string
	// storeLostData is set once the store has lost an accepted version. Only then
	// may a version have two different contents.
	storeLostData bool
	// pastDocuments are earlier documents of the store, for delayed deliveries.
	pastDocuments [][]byte
}

func newSimulation() *simulation {
	m := &simulation{store: store.New(time.Now), peers: peerBoards{}, acceptedChanges: map[uint64]string{}}
	m.store.SetFaults(store.Faults{})
	m.store.Snapshot("old")
	m.client = newClient(m.store)
	for i := range m.nodes {
		m.restart(i)
	}
	return m
}

func (m *simulation) restart(i int) {
	addr := fmt.Sprint(i)
	c := newTestController(addr, m.store, m.peers)
	c.deliver = func(_ context.Context, e event) { c.handleEvent(e) }
	m.nodes[i], m.watchers[i], m.peers[addr] = c, &storeWatcher{controller: c}, c.Board
	m.lastVersions[i] = 0
}

func (m *simulation) beginChange(operator int) {
	if base, err := configstore.ReadCurrent(context.Background(), m.client); err == nil {
		m.changeBases[operator] = base
		if base.Encoded != nil {
			m.pastDocuments = append(m.pastDocuments, base.Encoded)
		}
	}
}

// commitChange applies a change to the base read by beginChange, which may no
// longer be current.
func (m *simulation) commitChange(t *rapid.T, operator int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	next := newDocument(fmt.Sprint("operator-", operator))
	err := configstore.Apply(ctx, m.client, m.changeBases[operator], next)
	if err != nil && !errors.Is(err, configstore.ErrOutcomeUnknown) {
		return
	}
	if err == nil && m.acceptedChanges[next.Version] != "" && !m.storeLostData {
		t.Fatalf("version %d was accepted twice", next.Version)
	}
	if err == nil {
		m.acceptedChanges[next.Version] = next.ChangeID
	}
}

func (m *simulation) restoreSnapshot() {
	before, errBefore := m.store.Get("config/current")
	m.store.Restore("old")
	after, errAfter := m.store.Get("config/current")
	if errBefore == nil && (errAfter != nil || before.Revision != after.Revision) {
		m.storeLostData = true
	}
}

// deliverRumors delivers the rumors of a node to all others and waits for the
// pulls that follow.
func (m *simulation) deliverRumors(i int) {
	for len(m.nodes[i].Board.OutgoingRumors.Events()) > 0 {
		rumor := <-m.nodes[i].Board.OutgoingRumors.Events()
		for j, c := range m.nodes {
			if j != i {
				c.handleRumor(context.Background(), rumor)
				synctest.Wait()
			}
		}
	}
}

func (m *simulation) checkInvariants(t *rapid.T) {
	contents := map[uint64]string{}
	for i, c := range m.nodes {
		newest := c.Board.ConfigState.Load().Newest
		if newest.Version < m.lastVersions[i] || c.activeVersion() != newest.Version {
			t.Fatalf("node %d went from version %d to %d, in force %d", i, m.lastVersions[i], newest.Version, c.activeVersion())
		}
		m.lastVersions[i] = newest.Version
		m.checkSameContent(t, contents, newest, fmt.Sprint("node ", i))
	}
	if stored, err := configstore.ReadCurrent(context.Background(), m.client); err == nil {
		m.checkSameContent(t, contents, stored.Stamp(), "the store")
	}
}

func (m *simulation) checkSameContent(t *rapid.T, contents map[uint64]string, s configversion.Stamp, holder string) {
	if s.Version == 0 || m.storeLostData {
		return
	}
	if other := contents[s.Version]; other != "" && other != s.ChangeID {
		t.Fatalf("%s has other content with version %d", holder, s.Version)
	}
	contents[s.Version] = s.ChangeID
}

// checkConvergence ends all faults, lets each node read the store twice, and
// checks that the nodes and the store have the same version and that every
// version has its audit entry.
func (m *simulation) checkConvergence(t *rapid.T) {
	m.store.SetFaults(store.Faults{})
	for range 2 {
		for i := range m.watchers {
			_ = m.watchers[i].syncOnce(context.Background(), 0)
		}
	}
	m.checkInvariants(t)
	current, err := configstore.ReadCurrent(context.Background(), m.client)
	if err != nil {
		t.Fatalf("store: %v", err)
	}
	for i := range m.nodes {
		if m.lastVersions[i] != current.Stamp().Version {
			t.Fatalf("node %d has version %d, the store %d", i, m.lastVersions[i], current.Stamp().Version)
		}
	}
	for version := uint64(1); version <= current.Stamp().Version && !m.storeLostData; version++ {
		entry, err := configstore.ReadAuditEntry(context.Background(), m.client, version)
		if err != nil || (m.acceptedChanges[version] != "" && m.acceptedChanges[version] != entry.ChangeID) {
			t.Fatalf("audit entry of version %d: %v %v", version, entry, err)
		}
	}
}

// Guards against any sequence of changes by two operators, lost responses,
// outages, store rollbacks, rumors, pulls and restarts that takes a node to an
// older version, gives one version two contents without data loss in the store,
// or leaves an accepted change without its audit entry.
func TestVersionsNeverDecrease(t *testing.T) {
	setDefaultSeed(t)
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(rt *rapid.T) {
			m := newSimulation()
			anyNode := rapid.IntRange(0, simulatedNodes-1)
			operator := rapid.IntRange(0, 1)
			count := rapid.IntRange(0, 2)
			rt.Repeat(map[string]func(*rapid.T){
				"begin":  func(rt *rapid.T) { m.beginChange(operator.Draw(rt, "operator")) },
				"commit": func(rt *rapid.T) { m.commitChange(rt, operator.Draw(rt, "operator")) },
				"change": func(rt *rapid.T) {
					o := operator.Draw(rt, "operator")
					m.beginChange(o)
					m.commitChange(rt, o)
				},
				"watch": func(rt *rapid.T) {
					_ = m.watchers[anyNode.Draw(rt, "node")].syncOnce(context.Background(), 0)
				},
				"gossip": func(rt *rapid.T) { m.deliverRumors(anyNode.Draw(rt, "node")) },
				"pull": func(rt *rapid.T) {
					m.nodes[anyNode.Draw(rt, "node")].startPull(context.Background())
					synctest.Wait()
				},
				"late": func(rt *rapid.T) {
					if len(m.pastDocuments) == 0 {
						rt.Skip("no document yet")
					}
					delayed := rapid.SampledFrom(m.pastDocuments).Draw(rt, "document")
					m.nodes[anyNode.Draw(rt, "node")].handleEvent(event{data: delayed})
				},
				"restart": func(rt *rapid.T) { m.restart(anyNode.Draw(rt, "node")) },
				"faults": func(rt *rapid.T) {
					m.store.SetFaults(store.Faults{
						Outage:        rapid.Bool().Draw(rt, "outage"),
						LoseResponses: count.Draw(rt, "responses"), LoseRequests: count.Draw(rt, "requests"),
					})
				},
				"heal":     func(*rapid.T) { m.store.SetFaults(store.Faults{}) },
				"snapshot": func(*rapid.T) { m.store.Snapshot("old") },
				"rollback": func(*rapid.T) { m.restoreSnapshot() },
				"":         m.checkInvariants,
			})
			m.checkConvergence(rt)
		})
	})
}
