package membership

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
	"mangostand.example/mangostand/pkg/wire"
)

// inState reports whether all nodes hold an instance in a state.
func inState(nodes []*testNode, id string, state board.MemberState) func() bool {
	return func() bool {
		for _, node := range nodes {
			if m, found := node.state(id); !found || m.State != state {
				return false
			}
		}
		return true
	}
}

// Guards against a crashed instance that stays in the tables, and against
// living ones that are declared dead with it.
func TestCrashIsDeclared(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		nodes := n.startFleet(16, "r")
		eventually(t, 10*time.Second, "all nodes know each other", allLive(nodes, 16))
		n.crash(nodes[5])
		others := append(nodes[:5:5], nodes[6:]...)
		took := eventually(t, 5*time.Second, "the crash is known", inState(others, "r-005", board.MemberDead))
		t.Logf("declared dead everywhere after %s", took)
		time.Sleep(10 * time.Second)
		require.True(t, allLive(others, 15)())
	})
}

// Guards against the loss of a failure domain that takes a suspicion time for
// each member.
func TestManyCrashesAreDeclaredTogether(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		nodes := n.startFleet(20, "r")
		eventually(t, 10*time.Second, "all nodes know each other", allLive(nodes, 20))
		for _, node := range nodes[10:] {
			n.crash(node)
		}
		took := eventually(t, 8*time.Second, "all crashes are known", allLive(nodes[:10], 10))
		t.Logf("10 of 20 declared dead everywhere after %s", took)
	})
}

// Guards against an instance that was frozen, was declared dead and is never
// used again after it wakes up.
func TestFrozenNodeRefutesItsDeath(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		nodes := n.startFleet(12, "r")
		eventually(t, 10*time.Second, "all nodes know each other", allLive(nodes, 12))
		before, _ := nodes[0].state("r-003")
		n.setCut(func(from, to string) bool { return from == "r-003" || to == "r-003" })
		others := append(nodes[:3:3], nodes[4:]...)
		eventually(t, 5*time.Second, "the freeze is taken for a death", inState(others, "r-003", board.MemberDead))
		n.setCut(func(string, string) bool { return false })
		took := eventually(t, 20*time.Second, "the node serves again", inState(nodes, "r-003", board.MemberServing))
		t.Logf("refuted everywhere after %s", took)
		after, _ := nodes[0].state("r-003")
		require.Equal(t, before.Incarnation, after.Incarnation)
		require.Greater(t, after.Sequence, before.Sequence)
		eventually(t, 20*time.Second, "all nodes know each other again", allLive(nodes, 12))
	})
}

// Guards against a false declaration of death that takes a living instance out
// of service before it can refute it.
func TestFalseClaimIsRefutedBeforeItTakesEffect(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		nodes := n.startFleet(12, "r")
		eventually(t, 10*time.Second, "all nodes know each other", allLive(nodes, 12))
		before, _ := nodes[0].state("r-007")
		nodes[0].board.Gossip.Post(board.GossipMessage{From: "r-001", Members: []board.Member{decide.DeclareDead(before)}})
		eventually(t, decide.RefutationWindow, "the refutation is known", func() bool {
			require.True(t, inState(nodes, "r-007", board.MemberServing)())
			for _, node := range nodes {
				if m, _ := node.state("r-007"); m.Sequence <= before.Sequence {
					return false
				}
			}
			return true
		})
		time.Sleep(time.Second)
		require.True(t, inState(nodes, "r-007", board.MemberServing)())
	})
}

// Guards against a replacement that inherits the state of the instance that
// had its address before.
func TestReplacementAtTheSameAddress(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		nodes := n.startFleet(8, "r")
		eventually(t, 10*time.Second, "all nodes know each other", allLive(nodes, 8))
		old, _ := nodes[0].state("r-004")

		n.crash(nodes[4])
		time.Sleep(100 * time.Millisecond)
		nodes[4] = n.start("r-004", "r", "r-004", "r-000")
		eventually(t, 5*time.Second, "the new incarnation is known", func() bool {
			for _, node := range nodes {
				if m, _ := node.state("r-004"); m.Incarnation <= old.Incarnation || m.State != board.MemberServing {
					return false
				}
			}
			return true
		})

		n.crash(nodes[5])
		time.Sleep(100 * time.Millisecond)
		nodes[5] = n.start("other", "r", "r-005", "r-000")
		eventually(t, 10*time.Second, "the new instance serves", inState(nodes, "other", board.MemberServing))
		eventually(t, 10*time.Second, "the old instance is dead", func() bool {
			for i, node := range nodes {
				if m, _ := node.state("r-005"); i != 5 && m.State != board.MemberDead {
					return false
				}
			}
			return true
		})
	})
}

// Guards against a node that cannot join while the store is down, and against
// one that never looks at the store again.
func TestJoinWithStoreDown(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		keys := newTestStore()
		keys.setDown(true)
		n.store = keys
		nodes := n.startFleet(6, "r")
		eventually(t, 15*time.Second, "nodes join through their seeds", allLive(nodes, 6))
		lone := n.start("lone", "r", "")
		time.Sleep(30 * time.Second)
		require.Equal(t, 1, lone.live())
		keys.setDown(false)
		nodes = append(nodes, lone)
		eventually(t, 15*time.Second, "the node without seeds joins through the store", allLive(nodes, 7))
	})
}

// Guards against contact keys that grow with the fleet, that a stopped or
// crashed holder keeps, or that a holder trusts after its lease has ended.
func TestContactKeys(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		keys := newTestStore()
		n.store = keys
		nodes := n.startFleet(24, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allLive(nodes, 24))
		holders := func() (held []*testNode) {
			for _, node := range nodes {
				if node.board.Neighbours.Load().HoldsContactLease(time.Now()) {
					held = append(held, node)
				}
			}
			return held
		}
		eventually(t, 30*time.Second, "8 nodes hold the contact keys", func() bool {
			return len(holders()) == contactKeys && len(keys.store.List(contactPrefix)) == contactKeys
		})
		crashed := holders()[0]
		token := crashed.board.Neighbours.Load().ContactLease.Token
		n.crash(crashed)
		eventually(t, 30*time.Second, "another node takes the key over", func() bool {
			fresh := false
			for _, node := range holders() {
				fresh = fresh || node.board.Neighbours.Load().ContactLease.Token > token+contactKeys
			}
			return len(keys.store.List(contactPrefix)) == contactKeys && (fresh || len(holders()) >= contactKeys)
		})

		keys.mu.Lock()
		keys.calls = 0
		keys.mu.Unlock()
		time.Sleep(time.Minute)
		keys.mu.Lock()
		perSecond := float64(keys.calls) / 60
		keys.mu.Unlock()
		t.Logf("store calls of the region: %.1f/s", perSecond)
		require.Less(t, perSecond, 16.0)

		keys.setDown(true)
		time.Sleep(2 * contactTTL)
		require.Empty(t, holders(), "a lease that cannot be renewed ends for its holder")
		for _, node := range nodes {
			require.True(t, node == crashed || node.board.Neighbours.Load().ContactLease.Key == "", node.addr)
		}
	})
}

// Guards against regions that were apart for minutes and do not find each
// other again, and against living members that drop out while they do.
func TestRegionsFindEachOtherAgain(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		// No node has a seed in the other region, so that only the tries of dead
		// members bring them together again.
		nodes := append(n.startFleet(8, "east"), n.startFleet(8, "west")...)
		time.Sleep(time.Second)
		bridge, _ := nodes[8].state("west-000")
		nodes[0].board.Gossip.Post(board.GossipMessage{From: "west-000", Members: []board.Member{bridge}})
		eventually(t, 15*time.Second, "all nodes know each other", allLive(nodes, 16))
		n.setCut(func(from, to string) bool { return strings.HasPrefix(from, "east") != strings.HasPrefix(to, "east") })
		eventually(t, 30*time.Second, "each region holds the other for dead", allLive(nodes, 8))
		time.Sleep(2 * time.Minute)
		require.True(t, allLive(nodes, 8)())
		n.setCut(func(string, string) bool { return false })
		took := eventually(t, 30*time.Second, "the regions find each other", func() bool {
			for _, node := range nodes {
				require.GreaterOrEqual(t, node.live(), 8, "a living member dropped out at %s", node.addr)
				self, _ := node.state(node.addr)
				require.Equal(t, board.MemberServing, self.State)
				requireOwnRegion(t, node)
			}
			return allLive(nodes, 16)()
		})
		t.Logf("healed after %s", took)
	})
}

// requireOwnRegion fails when a node holds a member of its own region for dead.
func requireOwnRegion(t *testing.T, node *testNode) {
	t.Helper()
	members := node.board.Members.Load()
	self := members.ByInstance[members.Self]
	for id, m := range members.ByInstance {
		if m.Region == self.Region {
			require.Equal(t, board.MemberServing, m.State, "%s at %s", id, node.addr)
		}
	}
}

// Guards against changes and rumors that a lossy network swallows, and against
// duplicates that are handed on twice.
func TestLostAndDuplicatedMessages(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		nodes := n.startFleet(12, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allLive(nodes, 12))
		n.mu.Lock()
		n.loss, n.twice = 0.2, 0.2
		n.mu.Unlock()
		rumor := board.Rumor{Kind: board.RumorQuarantine, ID: "one", Payload: []byte{1}, ExpiresAtMillis: time.Now().Add(10 * time.Minute).UnixMilli()}
		nodes[2].board.OutgoingRumors.Post(rumor)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		for i, node := range nodes {
			if i == 2 {
				require.Empty(t, node.board.QuarantineRumors.Events())
				continue
			}
			require.Len(t, node.board.QuarantineRumors.Events(), 1, node.addr)
			require.Equal(t, rumor, <-node.board.QuarantineRumors.Events())
		}
		n.mu.Lock()
		n.loss, n.twice = 0, 0
		n.mu.Unlock()
		eventually(t, 30*time.Second, "all nodes know each other again", allLive(nodes, 12))
	})
}

// Guards against a node that joins late and misses a rumor that still counts.
func TestLateNodeGetsKeptRumors(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		nodes := n.startFleet(4, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allLive(nodes, 4))
		kept := board.Rumor{Kind: board.RumorQuarantine, ID: "kept", ExpiresAtMillis: time.Now().Add(time.Minute).UnixMilli()}
		nodes[0].board.OutgoingRumors.Post(kept)
		nodes[0].board.OutgoingRumors.Post(board.Rumor{Kind: board.RumorConfig, ID: "passing"})
		time.Sleep(5 * time.Second)
		late := n.start("late", "r", "", "r-000")
		eventually(t, 15*time.Second, "the rumor arrives", func() bool { return len(late.board.QuarantineRumors.Events()) == 1 })
		require.Empty(t, late.board.ConfigRumors.Events())
		time.Sleep(time.Minute)
		require.Empty(t, late.board.Digest.Load().RetainedRumors, "an obsolete rumor is kept")
	})
}

// Guards against old records that bring a left, dead or dropped instance back.
func TestStaleRecordsStayOut(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		nodes := n.startFleet(6, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allLive(nodes, 6))
		stale, _ := nodes[0].state("r-005")
		n.crash(nodes[5])
		nodes = nodes[:5]
		eventually(t, 10*time.Second, "the crash is known", inState(nodes, "r-005", board.MemberDead))
		replay := func() { nodes[0].board.Gossip.Post(board.GossipMessage{From: "r-001", Members: []board.Member{stale}}) }
		replay()
		time.Sleep(time.Second)
		require.True(t, allLive(nodes, 5)())
		time.Sleep(tombstoneTime)
		for _, node := range nodes {
			_, found := node.state("r-005")
			require.False(t, found, "the tombstone is kept for good")
		}
		replay()
		time.Sleep(time.Second)
		require.True(t, allLive(nodes, 5)(), "a dropped record came back")
	})
}

// Guards against a living instance that stays locked out after its dead record
// was dropped.
func TestReturnAfterTombstone(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		nodes := n.startFleet(6, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allLive(nodes, 6))
		n.setCut(func(from, to string) bool { return from == "r-004" || to == "r-004" })
		time.Sleep(tombstoneTime + time.Minute)
		n.setCut(func(string, string) bool { return false })
		eventually(t, time.Minute, "all nodes know each other again", allLive(nodes, 6))
	})
}

// Guards against a graceful stop that is taken for a crash or is announced late.
func TestLeftIsFlooded(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		nodes := n.startFleet(10, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allLive(nodes, 10))
		leaver, drainer := nodes[3], nodes[4]
		drainer.setLocal(&board.LocalServer{Announced: true, Draining: true, Service: "s", Slots: 10, Incarnation: 7})
		eventually(t, time.Second, "the drain is known", inState(nodes, "r-004", board.MemberDraining))
		leaver.setLocal(&board.LocalServer{Announced: true, Draining: true, Stopping: true, Stopped: true, Service: "s", Slots: 10, Incarnation: 7})
		eventually(t, time.Second, "the node has told its neighbours", func() bool { return leaver.board.Neighbours.Load().LeftSent })
		eventually(t, time.Second, "the end is known", inState(nodes, "r-003", board.MemberLeft))
		n.crash(leaver)
		others := append(nodes[:3:3], nodes[4:]...)
		time.Sleep(20 * time.Second)
		require.True(t, inState(others, "r-003", board.MemberLeft)())
	})
}

// Guards against a controller that never learns of a version it missed.
func TestVersionsAheadAreReported(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		nodes := n.startFleet(4, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allLive(nodes, 4))
		nodes[1].board.OutgoingVersions.Post(board.NamedVersion{Name: board.EpochVersionPrefix + "s", Number: 9})
		nodes[1].board.OutgoingVersions.Post(board.NamedVersion{Name: board.ConfigVersionName, Number: 3})
		eventually(t, 15*time.Second, "some node learns of both", func() bool {
			return len(nodes[0].board.EpochVersions.Events()) > 0 && len(nodes[0].board.ConfigVersions.Events()) > 0
		})
		ahead := <-nodes[0].board.EpochVersions.Events()
		require.Equal(t, board.PeerVersion{Name: "epoch/s", Number: 9, Peer: board.Neighbour{Instance: "r-001", Addr: "r-001"}}, ahead)
		require.Empty(t, nodes[1].board.EpochVersions.Events())
	})
}

// Guards against a node that is taken over by a second process of its name
// and fights it.
func TestReplacedProcessDoesNotFight(t *testing.T) {
	self := board.Member{Instance: "i", Incarnation: 1, Sequence: 4, PeerAddr: "a"}
	table := newTable(self, tombstoneTime)
	newer := self
	newer.Incarnation, newer.State = 2, board.MemberDead
	require.Equal(t, replaced, table.receive(newer, time.Now()))
	require.Equal(t, self, table.self())
	require.Equal(t, known, table.receive(newer, time.Now()))
}

// Guards against a ping answer that hides from its sender that it is held for
// dead, and from an old record that the target has moved on.
func TestPingAnswerCarriesNews(t *testing.T) {
	inNetwork(t, func(t *testing.T, n *network) {
		node := n.start("a", "r", "")
		other := board.Member{Instance: "b", Incarnation: 5, Sequence: 2, State: board.MemberDead, PeerAddr: "b"}
		node.board.Gossip.Post(board.GossipMessage{Members: []board.Member{{Instance: "b", Incarnation: 5, Sequence: 2, PeerAddr: "b"}}})
		synctest.Wait()
		node.board.Gossip.Post(board.GossipMessage{Members: []board.Member{other}})
		time.Sleep(decide.RefutationWindow + time.Second)
		self, _ := node.state("a")
		ping := wire.Ping{From: "b", FromIncarnation: 5, FromSequence: 2, Target: "a", TargetIncarnation: self.Incarnation, TargetSequence: self.Sequence}
		require.Equal(t, []board.Member{other}, node.responder.Ping(ping).Members)
		ping.FromSequence, ping.TargetSequence = 3, 0
		require.Equal(t, []board.Member{self}, node.responder.Ping(ping).Members)
	})
}

// Guards against control traffic that grows with the fleet.
func TestTrafficIsFlat(t *testing.T) {
	perNode := func(t *testing.T, size int) (rate float64) {
		inBubble(t, func(t *testing.T) {
			n := newNetwork(t)
			defer n.stopAll()
			nodes := n.startFleet(size, "r")
			eventually(t, 30*time.Second, "all nodes know each other", allLive(nodes, size))
			time.Sleep(5 * time.Second)
			n.takeBytes()
			time.Sleep(20 * time.Second)
			rate = float64(n.takeBytes()) / 20 / float64(size)
		})
		return rate
	}
	small, large := perNode(t, 16), perNode(t, 64)
	t.Logf("bytes/s sent per node: %.0f at 16 nodes, %.0f at 64 nodes", small, large)
	require.Less(t, large, 1.2*small)
	require.Less(t, large, 2000.0)
}
