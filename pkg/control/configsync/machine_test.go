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

const machineNodes = 3

// inBubble hides Deadline, which must not be called in a synctest bubble.
type inBubble struct{ rapid.TB }

// fixSeed makes each run check the same sequences unless a seed was given.
func fixSeed(t *testing.T) {
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == "0" {
		if err := seed.Value.Set("20261204"); err != nil {
			t.Fatal(err)
		}
	}
	t.Log("rapid.seed", seed.Value)
}

// machine drives several nodes, two operators and a faulty store one step at a
// time.
type machine struct {
	store    *store.Store
	client   *platform.Client
	peers    boards
	nodes    [machineNodes]*Controller
	watchers [machineNodes]*watcher
	// seen is the highest version of each node in its present life.
	seen [machineNodes]uint64
	// starts is what each operator's change starts from.
	starts [2]configstore.StoredDocument
	// accepted maps each version to the change that an operator was told of.
	accepted map[uint64]string
	// lost is set once the store lost an accepted version; only then may one
	// version have two contents.
	lost bool
	// documents holds what the store held at some time, for late deliveries.
	documents [][]byte
}

func newMachine() *machine {
	m := &machine{store: store.New(time.Now), peers: boards{}, accepted: map[uint64]string{}}
	m.store.SetFaults(store.Faults{})
	m.store.Snapshot("old")
	m.client = clientOf(m.store)
	for i := range m.nodes {
		m.restart(i)
	}
	return m
}

func (m *machine) restart(i int) {
	addr := fmt.Sprint(i)
	c := node(addr, m.store, m.peers)
	c.deliver = func(_ context.Context, e event) { c.handle(e) }
	m.nodes[i], m.watchers[i], m.peers[addr] = c, &watcher{controller: c}, c.Board
	m.seen[i] = 0
}

func (m *machine) begin(operator int) {
	if start, err := configstore.ReadCurrent(context.Background(), m.client); err == nil {
		m.starts[operator] = start
		if start.Encoded != nil {
			m.documents = append(m.documents, start.Encoded)
		}
	}
}

// commit applies a change that may start from a version that is no longer
// current.
func (m *machine) commit(t *rapid.T, operator int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	next := document(fmt.Sprint("operator-", operator))
	err := configstore.Apply(ctx, m.client, m.starts[operator], next)
	if err != nil && !errors.Is(err, configstore.ErrOutcomeUnknown) {
		return
	}
	if err == nil && m.accepted[next.Version] != "" && !m.lost {
		t.Fatalf("version %d was accepted twice", next.Version)
	}
	if err == nil {
		m.accepted[next.Version] = next.ChangeID
	}
}

func (m *machine) rollBack() {
	before, errBefore := m.store.Get("config/current")
	m.store.Restore("old")
	after, errAfter := m.store.Get("config/current")
	if errBefore == nil && (errAfter != nil || before.Revision != after.Revision) {
		m.lost = true
	}
}

// gossip delivers the rumors of a node to all others and lets their pulls end.
func (m *machine) gossip(i int) {
	for len(m.nodes[i].Board.OutgoingRumors.Events()) > 0 {
		rumor := <-m.nodes[i].Board.OutgoingRumors.Events()
		for j, c := range m.nodes {
			if j != i {
				c.hear(context.Background(), rumor)
				synctest.Wait()
			}
		}
	}
}

func (m *machine) check(t *rapid.T) {
	contents := map[uint64]string{}
	for i, c := range m.nodes {
		newest := c.Board.ConfigState.Load().Newest
		if newest.Version < m.seen[i] || c.version() != newest.Version {
			t.Fatalf("node %d fell from version %d to %d, in force %d", i, m.seen[i], newest.Version, c.version())
		}
		m.seen[i] = newest.Version
		m.sameContent(t, contents, newest, fmt.Sprint("node ", i))
	}
	if stored, err := configstore.ReadCurrent(context.Background(), m.client); err == nil {
		m.sameContent(t, contents, stored.Stamp(), "the store")
	}
}

func (m *machine) sameContent(t *rapid.T, contents map[uint64]string, s configversion.Stamp, who string) {
	if s.Version == 0 || m.lost {
		return
	}
	if other := contents[s.Version]; other != "" && other != s.ChangeID {
		t.Fatalf("%s has other content under version %d", who, s.Version)
	}
	contents[s.Version] = s.ChangeID
}

// settle ends all faults and lets each node read the store until it agrees,
// then checks what must hold in the end.
func (m *machine) settle(t *rapid.T) {
	m.store.SetFaults(store.Faults{})
	for range 2 {
		for i := range m.watchers {
			_ = m.watchers[i].step(context.Background(), 0)
		}
	}
	m.check(t)
	current, err := configstore.ReadCurrent(context.Background(), m.client)
	if err != nil {
		t.Fatalf("store: %v", err)
	}
	for i := range m.nodes {
		if m.seen[i] != current.Stamp().Version {
			t.Fatalf("node %d has version %d, the store %d", i, m.seen[i], current.Stamp().Version)
		}
	}
	for version := uint64(1); version <= current.Stamp().Version && !m.lost; version++ {
		entry, err := configstore.ReadAuditEntry(context.Background(), m.client, version)
		if err != nil || (m.accepted[version] != "" && m.accepted[version] != entry.ChangeID) {
			t.Fatalf("audit entry of version %d: %v %v", version, entry, err)
		}
	}
}

// Guards against any order of changes by two operators, lost answers, outages,
// roll-backs of the store, rumors, pulls and restarts that takes a node to an
// older version, gives one version two contents without a loss in the store,
// or leaves an accepted change without its audit entry.
func TestVersionsNeverFall(t *testing.T) {
	fixSeed(t)
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(rt *rapid.T) {
			m := newMachine()
			anyNode := rapid.IntRange(0, machineNodes-1)
			operator := rapid.IntRange(0, 1)
			count := rapid.IntRange(0, 2)
			rt.Repeat(map[string]func(*rapid.T){
				"begin":  func(rt *rapid.T) { m.begin(operator.Draw(rt, "operator")) },
				"commit": func(rt *rapid.T) { m.commit(rt, operator.Draw(rt, "operator")) },
				"change": func(rt *rapid.T) {
					o := operator.Draw(rt, "operator")
					m.begin(o)
					m.commit(rt, o)
				},
				"watch": func(rt *rapid.T) {
					_ = m.watchers[anyNode.Draw(rt, "node")].step(context.Background(), 0)
				},
				"gossip": func(rt *rapid.T) { m.gossip(anyNode.Draw(rt, "node")) },
				"pull": func(rt *rapid.T) {
					m.nodes[anyNode.Draw(rt, "node")].startPull(context.Background())
					synctest.Wait()
				},
				"late": func(rt *rapid.T) {
					if len(m.documents) == 0 {
						rt.Skip("no document yet")
					}
					late := rapid.SampledFrom(m.documents).Draw(rt, "document")
					m.nodes[anyNode.Draw(rt, "node")].handle(event{data: late})
				},
				"restart": func(rt *rapid.T) { m.restart(anyNode.Draw(rt, "node")) },
				"faults": func(rt *rapid.T) {
					m.store.SetFaults(store.Faults{
						Outage:        rapid.Bool().Draw(rt, "outage"),
						LoseResponses: count.Draw(rt, "answers"), LoseRequests: count.Draw(rt, "requests"),
					})
				},
				"heal":     func(*rapid.T) { m.store.SetFaults(store.Faults{}) },
				"snapshot": func(*rapid.T) { m.store.Snapshot("old") },
				"rollback": func(*rapid.T) { m.rollBack() },
				"":         m.check,
			})
			m.settle(rt)
		})
	})
}
