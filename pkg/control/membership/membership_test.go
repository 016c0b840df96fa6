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

// allInState reports whether all nodes have an instance in a state.
func allInState(nodes []*testNode, id string, state board.MemberState) func() bool {
	return func() bool {
		for _, node := range nodes {
			if m, found := node.record(id); !found || m.State != state {
				return false
			}
		}
		return true
	}
}

// Guards against a crashed instance that stays in the member tables, and
// against declaring live instances dead with it.
func TestCrashedNodeIsDeclaredDead(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		nodes := n.startFleet(16, "r")
		eventually(t, 10*time.Second, "all nodes know each other", allSeeLive(nodes, 16))
		n.crash(nodes[5])
		others := append(nodes[:5:5], nodes[6:]...)
		took := eventually(t, 5*time.Second, "the crash is known", allInState(others, "r-005", board.MemberDead))
		t.Logf("declared dead everywhere after %s", took)
		time.Sleep(10 * time.Second)
		require.True(t, allSeeLive(others, 15)())
	})
}

// Guards against detecting the crashed members of a lost failure domain one after
// the other, each after a suspicion timeout of its own.
func TestManyCrashesAreDetectedTogether(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		nodes := n.startFleet(20, "r")
		eventually(t, 10*time.Second, "all nodes know each other", allSeeLive(nodes, 20))
		for _, node := range nodes[10:] {
			n.crash(node)
		}
		took := eventually(t, 8*time.Second, "all crashes are known", allSeeLive(nodes[:10], 10))
		t.Logf("10 of 20 declared dead everywhere after %s", took)
	})
}

// Guards against an instance that was frozen, was declared dead meanwhile and
// is never used again after it resumes.
func TestFrozenNodeRefutesItsDeath(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		nodes := n.startFleet(12, "r")
		eventually(t, 10*time.Second, "all nodes know each other", allSeeLive(nodes, 12))
		before, _ := nodes[0].record("r-003")
		n.setPartition(func(from, to string) bool { return from == "r-003" || to == "r-003" })
		others := append(nodes[:3:3], nodes[4:]...)
		eventually(t, 5*time.Second, "the frozen node is declared dead", allInState(others, "r-003", board.MemberDead))
		n.setPartition(func(string, string) bool { return false })
		took := eventually(t, 20*time.Second, "the node serves again", allInState(nodes, "r-003", board.MemberServing))
		t.Logf("refuted everywhere after %s", took)
		after, _ := nodes[0].record("r-003")
		require.Equal(t, before.Incarnation, after.Incarnation)
		require.Greater(t, after.Sequence, before.Sequence)
		eventually(t, 20*time.Second, "all nodes know each other again", allSeeLive(nodes, 12))
	})
}

// Guards against a false death declaration that takes a live instance out of
// service before the instance can refute it.
func TestFalseDeathIsRefutedBeforeItTakesEffect(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		nodes := n.startFleet(12, "r")
		eventually(t, 10*time.Second, "all nodes know each other", allSeeLive(nodes, 12))
		before, _ := nodes[0].record("r-007")
		nodes[0].board.Gossip.Post(board.GossipMessage{From: "r-001", Members: []board.Member{decide.DeclareDead(before)}})
		eventually(t, decide.RefutationWindow, "the refutation is known", func() bool {
			require.True(t, allInState(nodes, "r-007", board.MemberServing)())
			for _, node := range nodes {
				if m, _ := node.record("r-007"); m.Sequence <= before.Sequence {
					return false
				}
			}
			return true
		})
		time.Sleep(time.Second)
		require.True(t, allInState(nodes, "r-007", board.MemberServing)())
	})
}

// Guards against a replacement that inherits the state of the instance that
// previously had its address.
func TestReplacementAtTheSameAddress(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		nodes := n.startFleet(8, "r")
		eventually(t, 10*time.Second, "all nodes know each other", allSeeLive(nodes, 8))
		old, _ := nodes[0].record("r-004")

		n.crash(nodes[4])
		time.Sleep(100 * time.Millisecond)
		nodes[4] = n.start("r-004", "r", "r-004", "r-000")
		eventually(t, 5*time.Second, "the new incarnation is known", func() bool {
			for _, node := range nodes {
				if m, _ := node.record("r-004"); m.Incarnation <= old.Incarnation || m.State != board.MemberServing {
					return false
				}
			}
			return true
		})

		n.crash(nodes[5])
		time.Sleep(100 * time.Millisecond)
		nodes[5] = n.start("other", "r", "r-005", "r-000")
		eventually(t, 10*time.Second, "the new instance serves", allInState(nodes, "other", board.MemberServing))
		eventually(t, 10*time.Second, "the old instance is dead", func() bool {
			for i, node := range nodes {
				if m, _ := node.record("r-005"); i != 5 && m.State != board.MemberDead {
					return false
				}
			}
			return true
		})
	})
}

// Guards against a node that cannot join while the store is down, and against
// one that never calls the store again.
func TestJoinWithStoreDown(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		store := newTestStore()
		store.setDown(true)
		n.store = store
		nodes := n.startFleet(6, "r")
		eventually(t, 15*time.Second, "nodes join through their seeds", allSeeLive(nodes, 6))
		seedless := n.start("lone", "r", "")
		time.Sleep(30 * time.Second)
		require.Equal(t, 1, seedless.liveMembers())
		store.setDown(false)
		nodes = append(nodes, seedless)
		eventually(t, 15*time.Second, "the node without seeds joins through the store", allSeeLive(nodes, 7))
	})
}

// Guards against a number of contact keys that grows with the fleet, against
// keys that a stopped or crashed holder keeps, and against a holder that relies
// on its key after the lease has ended.
func TestContactKeys(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		store := newTestStore()
		n.store = store
		nodes := n.startFleet(24, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allSeeLive(nodes, 24))
		holders := func() (held []*testNode) {
			for _, node := range nodes {
				if node.board.Neighbours.Load().HoldsContactLease(time.Now()) {
					held = append(held, node)
				}
			}
			return held
		}
		eventually(t, 30*time.Second, "8 nodes hold the contact keys", func() bool {
			return len(holders()) == contactKeysPerRegion && len(store.inner.List(contactPrefix)) == contactKeysPerRegion
		})
		crashed := holders()[0]
		token := crashed.board.Neighbours.Load().ContactLease.Token
		n.crash(crashed)
		eventually(t, 30*time.Second, "another node claims the key", func() bool {
			reclaimed := false
			for _, node := range holders() {
				reclaimed = reclaimed || node.board.Neighbours.Load().ContactLease.Token > token+contactKeysPerRegion
			}
			return len(store.inner.List(contactPrefix)) == contactKeysPerRegion && (reclaimed || len(holders()) >= contactKeysPerRegion)
		})

		store.mu.Lock()
		store.calls = 0
		store.mu.Unlock()
		time.Sleep(time.Minute)
		store.mu.Lock()
		perSecond := float64(store.calls) / 60
		store.mu.Unlock()
		t.Logf("store calls of the region: %.1f/s", perSecond)
		require.Less(t, perSecond, 16.0)

		store.setDown(true)
		time.Sleep(2 * contactLeaseTTL)
		require.Empty(t, holders(), "a holder relies on a lease that it could not renew")
		for _, node := range nodes {
			require.True(t, node == crashed || node.board.Neighbours.Load().ContactLease.Key == "", node.addr)
		}
	})
}

// Guards against regions that stay separated after a partition of some minutes,
// and against live members that are dropped while the regions merge.
func TestRegionsMergeAfterPartition(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		// No node has a seed in the other region, so only reconnects to dead
		// members merge the regions again.
		nodes := append(n.startFleet(8, "east"), n.startFleet(8, "west")...)
		time.Sleep(time.Second)
		west, _ := nodes[8].record("west-000")
		nodes[0].board.Gossip.Post(board.GossipMessage{From: "west-000", Members: []board.Member{west}})
		eventually(t, 15*time.Second, "all nodes know each other", allSeeLive(nodes, 16))
		n.setPartition(func(from, to string) bool { return strings.HasPrefix(from, "east") != strings.HasPrefix(to, "east") })
		eventually(t, 30*time.Second, "each region has declared the other dead", allSeeLive(nodes, 8))
		time.Sleep(2 * time.Minute)
		require.True(t, allSeeLive(nodes, 8)())
		n.setPartition(func(string, string) bool { return false })
		took := eventually(t, 30*time.Second, "the regions know each other again", func() bool {
			for _, node := range nodes {
				require.GreaterOrEqual(t, node.liveMembers(), 8, "a live member is missing at %s", node.addr)
				self, _ := node.record(node.addr)
				require.Equal(t, board.MemberServing, self.State)
				requireOwnRegionServing(t, node)
			}
			return allSeeLive(nodes, 16)()
		})
		t.Logf("healed after %s", took)
	})
}

// requireOwnRegionServing fails if a node has a member of its own region in
// another state than serving.
func requireOwnRegionServing(t *testing.T, node *testNode) {
	t.Helper()
	members := node.board.Members.Load()
	self := members.ByInstance[members.Self]
	for id, m := range members.ByInstance {
		if m.Region == self.Region {
			require.Equal(t, board.MemberServing, m.State, "%s at %s", id, node.addr)
		}
	}
}

// Guards against losing changes and rumors in a lossy network, and against
// delivering a duplicated rumor twice.
func TestLostAndDuplicatedMessages(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		nodes := n.startFleet(12, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allSeeLive(nodes, 12))
		n.mu.Lock()
		n.lossRate, n.duplicateRate = 0.2, 0.2
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
		n.lossRate, n.duplicateRate = 0, 0
		n.mu.Unlock()
		eventually(t, 30*time.Second, "all nodes know each other again", allSeeLive(nodes, 12))
	})
}

// Guards against a node that joins late and misses a rumor that has not
// expired.
func TestJoiningNodeGetsRetainedRumors(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		nodes := n.startFleet(4, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allSeeLive(nodes, 4))
		unexpired := board.Rumor{Kind: board.RumorQuarantine, ID: "kept", ExpiresAtMillis: time.Now().Add(time.Minute).UnixMilli()}
		nodes[0].board.OutgoingRumors.Post(unexpired)
		nodes[0].board.OutgoingRumors.Post(board.Rumor{Kind: board.RumorConfig, ID: "passing"})
		time.Sleep(5 * time.Second)
		late := n.start("late", "r", "", "r-000")
		eventually(t, 15*time.Second, "the rumor arrives", func() bool { return len(late.board.QuarantineRumors.Events()) == 1 })
		require.Empty(t, late.board.ConfigRumors.Events())
		time.Sleep(time.Minute)
		require.Empty(t, late.board.Digest.Load().RetainedRumors, "an expired rumor is retained")
	})
}

// Guards against stale records that bring back an instance that is dead or
// whose record was dropped.
func TestStaleRecordsAreIgnored(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		nodes := n.startFleet(6, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allSeeLive(nodes, 6))
		stale, _ := nodes[0].record("r-005")
		n.crash(nodes[5])
		nodes = nodes[:5]
		eventually(t, 10*time.Second, "the crash is known", allInState(nodes, "r-005", board.MemberDead))
		replay := func() { nodes[0].board.Gossip.Post(board.GossipMessage{From: "r-001", Members: []board.Member{stale}}) }
		replay()
		time.Sleep(time.Second)
		require.True(t, allSeeLive(nodes, 5)())
		time.Sleep(testTombstoneTTL)
		for _, node := range nodes {
			_, found := node.record("r-005")
			require.False(t, found, "the tombstone was not dropped")
		}
		replay()
		time.Sleep(time.Second)
		require.True(t, allSeeLive(nodes, 5)(), "a stale copy of a dropped record was accepted")
	})
}

// Guards against a live instance that cannot rejoin after its dead record was
// dropped.
func TestRejoinAfterTombstoneIsDropped(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		nodes := n.startFleet(6, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allSeeLive(nodes, 6))
		n.setPartition(func(from, to string) bool { return from == "r-004" || to == "r-004" })
		time.Sleep(testTombstoneTTL + time.Minute)
		n.setPartition(func(string, string) bool { return false })
		eventually(t, time.Minute, "all nodes know each other again", allSeeLive(nodes, 6))
	})
}

// Guards against a graceful stop that is taken for a crash or is announced
// late.
func TestGracefulLeaveIsFlooded(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		nodes := n.startFleet(10, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allSeeLive(nodes, 10))
		leaving, draining := nodes[3], nodes[4]
		draining.setServer(&board.LocalServer{Announced: true, Draining: true, Service: "s", Slots: 10, Incarnation: 7})
		eventually(t, time.Second, "the drain is known", allInState(nodes, "r-004", board.MemberDraining))
		leaving.setServer(&board.LocalServer{Announced: true, Draining: true, Stopping: true, Stopped: true, Service: "s", Slots: 10, Incarnation: 7})
		eventually(t, time.Second, "the node has sent the leave to its neighbours", func() bool { return leaving.board.Neighbours.Load().LeftSent })
		eventually(t, time.Second, "the leave is known", allInState(nodes, "r-003", board.MemberLeft))
		n.crash(leaving)
		others := append(nodes[:3:3], nodes[4:]...)
		time.Sleep(20 * time.Second)
		require.True(t, allInState(others, "r-003", board.MemberLeft)())
	})
}

// Guards against a controller that never learns of a version that it missed.
func TestNewerPeerVersionsAreReported(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		nodes := n.startFleet(4, "r")
		eventually(t, 15*time.Second, "all nodes know each other", allSeeLive(nodes, 4))
		nodes[1].board.OutgoingVersions.Post(board.NamedVersion{Name: board.EpochVersionPrefix + "s", Number: 9})
		nodes[1].board.OutgoingVersions.Post(board.NamedVersion{Name: board.ConfigVersionName, Number: 3})
		eventually(t, 15*time.Second, "a peer learns of both versions", func() bool {
			return len(nodes[0].board.EpochVersions.Events()) > 0 && len(nodes[0].board.ConfigVersions.Events()) > 0
		})
		newer := <-nodes[0].board.EpochVersions.Events()
		require.Equal(t, board.PeerVersion{Name: "epoch/s", Number: 9, Peer: board.Neighbour{Instance: "r-001", Addr: "r-001"}}, newer)
		require.Empty(t, nodes[1].board.EpochVersions.Events())
	})
}

// Guards against a process that refutes the record of a newer process with its
// instance ID.
func TestReplacedProcessDoesNotRefute(t *testing.T) {
	self := board.Member{Instance: "i", Incarnation: 1, Sequence: 4, PeerAddr: "a"}
	members := newMemberTable(self, testTombstoneTTL)
	newer := self
	newer.Incarnation, newer.State = 2, board.MemberDead
	require.Equal(t, mergeSelfReplaced, members.merge(newer, time.Now()))
	require.Equal(t, self, members.self())
	require.Equal(t, mergeIgnored, members.merge(newer, time.Now()))
}

// Guards against ping responses that do not tell the sender that it was declared
// dead, or that its record of the target is outdated.
func TestPingResponseCarriesRecords(t *testing.T) {
	runWithNetwork(t, func(t *testing.T, n *fakeNetwork) {
		node := n.start("a", "r", "")
		other := board.Member{Instance: "b", Incarnation: 5, Sequence: 2, State: board.MemberDead, PeerAddr: "b"}
		node.board.Gossip.Post(board.GossipMessage{Members: []board.Member{{Instance: "b", Incarnation: 5, Sequence: 2, PeerAddr: "b"}}})
		synctest.Wait()
		node.board.Gossip.Post(board.GossipMessage{Members: []board.Member{other}})
		time.Sleep(decide.RefutationWindow + time.Second)
		self, _ := node.record("a")
		ping := wire.Ping{From: "b", FromIncarnation: 5, FromSequence: 2, Target: "a", TargetIncarnation: self.Incarnation, TargetSequence: self.Sequence}
		require.Equal(t, []board.Member{other}, node.responder.Ping(ping).Members)
		ping.FromSequence, ping.TargetSequence = 3, 0
		require.Equal(t, []board.Member{self}, node.responder.Ping(ping).Members)
	})
}

// Guards against control traffic per node that grows with the fleet.
func TestTrafficPerNodeIsConstant(t *testing.T) {
	perNode := func(t *testing.T, size int) (rate float64) {
		runWithFakeClock(t, func(t *testing.T) {
			n := newFakeNetwork(t)
			defer n.stopAll()
			nodes := n.startFleet(size, "r")
			eventually(t, 30*time.Second, "all nodes know each other", allSeeLive(nodes, size))
			time.Sleep(5 * time.Second)
			n.takeSentBytes()
			time.Sleep(20 * time.Second)
			rate = float64(n.takeSentBytes()) / 20 / float64(size)
		})
		return rate
	}
	small, large := perNode(t, 16), perNode(t, 64)
	t.Logf("bytes/s sent per node: %.0f at 16 nodes, %.0f at 64 nodes", small, large)
	require.Less(t, large, 1.2*small)
	require.Less(t, large, 2000.0)
}
