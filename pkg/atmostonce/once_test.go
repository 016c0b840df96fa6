package atmostonce_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

// bubble runs a test with a fake clock.
func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

func requireRecorded(t *testing.T, v atmostonce.Result, request string) {
	t.Helper()
	require.Equal(t, board.OutcomeSucceeded, v.Outcome, v.Reason)
	require.NotNil(t, v.Record)
	require.Equal(t, request, string(v.Record.Response.Body))
}

func requireVerdict(t *testing.T, v atmostonce.Result, outcome board.Outcome, reason board.Reason) {
	t.Helper()
	require.Equal(t, outcome.String(), v.Outcome.String(), v.Reason)
	require.Equal(t, reason, v.Reason)
}

// Guards against a second run when a caller repeats a key, at any node.
func TestRepeatedKeyGetsTheRecordedAnswer(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(4)...)
		key := newKey()
		first, request := f.nodes["n0"].carry(attempt{key: key})
		require.Equal(t, board.OutcomeSucceeded, first.Outcome, first.Reason)
		for _, n := range names(4) {
			again, _ := f.nodes[n].carry(attempt{key: key})
			requireRecorded(t, again, request)
		}
		require.Len(t, f.runsOf(key), 1)
	})
}

// Guards against two runs, and against a caller left without an answer, when
// the same key arrives at two nodes at the same moment.
func TestSameKeyAtTwoNodesAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(4)...)
		for range 20 {
			// The home is none of the entries, so that claims and calls travel alike.
			key := f.keyAt("n0", "n3")
			var verdicts [3]atmostonce.Result
			var calls sync.WaitGroup
			for i, n := range names(3) {
				calls.Go(func() { verdicts[i], _ = f.nodes[n].carry(attempt{key: key}) })
			}
			calls.Wait()
			for _, v := range verdicts {
				require.Equal(t, board.OutcomeSucceeded, v.Outcome, v.Reason)
			}
			require.Len(t, f.runsOf(key), 1)
		}
		records := 0
		for _, n := range f.nodes {
			records += n.board.Keys.ExecutorRecords.Len()
		}
		require.Equal(t, 20, records, "no call is sealed while it is on its way")
	})
}

// Guards against a key that is reused for another request.
func TestKeyIsBoundToItsDigest(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(3)...)
		key := newKey()
		f.nodes["n0"].carry(attempt{key: key, digest: "a"})
		v, _ := f.nodes["n1"].carry(attempt{key: key, digest: "b"})
		requireVerdict(t, v, board.OutcomeNotRun, board.ReasonKeyConflict)
		require.Len(t, f.runsOf(key), 1)
	})
}

// Guards against a run after the records of a key were dropped, and against a
// key from the future that would outlive its records.
func TestKeyAge(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(3)...)
		key := newKey()
		var late *wire.Call
		f.nodes["n0"].carry(attempt{key: key, beforeSend: func(c *wire.Call) { late = c }})
		time.Sleep(f.limits.KeyRetention + f.limits.NodeClockSkew + time.Minute)
		require.Zero(t, f.nodes["n0"].board.Keys.SizeBytes(), "expired records are dropped")
		v, _ := f.nodes["n1"].carry(attempt{key: key})
		requireVerdict(t, v, board.OutcomeUnknown, board.ReasonKeyExpired)
		for _, n := range f.nodes {
			late.ExecutorIncarnation = n.self.Incarnation
			requireRefused(t, n.keeper, late, board.OutcomeNotRun, board.ReasonKeyExpired)
		}
		require.Len(t, f.runsOf(key), 1)

		future := "ffffffff-ffff-7000-8000-000000000000"
		v, _ = f.nodes["n1"].carry(attempt{key: future})
		requireVerdict(t, v, board.OutcomeNotRun, board.ReasonKeyTimeInFuture)
	})
}

// Guards against records that are evicted, and against a run without a record,
// when key_memory is full.
func TestMemoryFull(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t)
		f.limits.KeyMemoryBytes = 20_000
		for _, n := range names(3) {
			f.start(n)
		}
		f.settle()
		answers := map[string]string{}
		for range 200 {
			key := newKey()
			v, request := f.nodes["n0"].carry(attempt{key: key})
			if v.Outcome == board.OutcomeNotRun {
				require.Equal(t, board.ReasonKeyMemoryFull, v.Reason)
				require.Empty(t, f.runsOf(key))
				continue
			}
			require.Equal(t, board.OutcomeSucceeded, v.Outcome, v.Reason)
			answers[key] = request
		}
		require.Less(t, len(answers), 200)
		for key := range answers {
			v, _ := f.nodes["n1"].carry(attempt{key: key})
			require.Equal(t, board.OutcomeSucceeded, v.Outcome, v.Reason)
			require.Len(t, f.runsOf(key), 1)
		}
	})
}

// Guards against a run by the late call of a paused entry whose grant was
// passed on meanwhile.
func TestLateCallIsRefusedBySeal(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(4)...)
		key := f.keyAt("n0", "n3")
		var late *wire.Call
		var calls sync.WaitGroup
		calls.Go(func() {
			f.nodes["n0"].carry(attempt{key: key, executor: "n1", beforeSend: func(c *wire.Call) {
				if late == nil {
					late = c
					time.Sleep(3 * time.Second)
				}
			}, deadline: 10 * time.Second})
		})
		time.Sleep(time.Second)
		v, _ := f.nodes["n2"].carry(attempt{key: key, executor: "n2"})
		require.Equal(t, board.OutcomeSucceeded, v.Outcome, v.Reason)
		calls.Wait()
		requireRefused(t, f.nodes["n1"].keeper, late, board.OutcomeNotRun, board.ReasonGrantSealed)
		require.Len(t, f.runsOf(key), 1)
	})
}

// Guards against a grant for a claim that arrives after a later claim of the
// same request: the later grant may be running.
func TestLateClaimOfTheSameRequestHasNoEffect(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(4)...)
		key := f.keyAt("n0", "n3")
		home, x := f.nodes["n3"], f.nodes["n1"]
		claim := &wire.Claim{
			ID: idOf(key), RequestDigest: "d", Epoch: f.epochOf("n3").Epoch.Number, Executor: "n1",
			ExecutorIncarnation: x.self.Incarnation, RequestID: "r", ClaimSequence: 2, MaxWaitMicros: 1e6,
		}
		granted := home.keeper.HandleClaim(context.Background(), claim)
		require.Equal(t, wire.ClaimGranted, granted.Status)
		late := *claim
		late.ClaimSequence, late.Executor, late.ExecutorIncarnation = 1, "n2", f.nodes["n2"].self.Incarnation
		require.Equal(t, wire.ClaimInProgress, home.keeper.HandleClaim(context.Background(), &late).Status)
		require.Equal(t, granted.Grant, home.board.Keys.HomeRecords.Get(idOf(key)).Grant)
	})
}

// Guards against a run when the executor dies before or while it runs: the
// key stays unknown, also after the instance has come back.
func TestExecutorDies(t *testing.T) {
	for name, when := range map[string]time.Duration{"before running": 0, "while running": latency + serviceTime/2} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				f := newFabric(t, names(4)...)
				key := f.keyAt("n0", "n3")
				v, _ := f.nodes["n0"].carry(attempt{key: key, executor: "n1", beforeSend: func(*wire.Call) {
					if when == 0 {
						f.crash("n1")
						return
					}
					time.AfterFunc(when, func() { f.crash("n1") })
				}})
				require.Equal(t, board.OutcomeUnknown, v.Outcome, v.Reason)
				f.detect()
				f.settle()
				v, _ = f.nodes["n2"].carry(attempt{key: key})
				require.Equal(t, board.OutcomeUnknown, v.Outcome, v.Reason)
				f.start("n1")
				f.settle()
				v, _ = f.nodes["n2"].carry(attempt{key: key})
				require.Equal(t, board.OutcomeUnknown, v.Outcome, v.Reason)
				require.LessOrEqual(t, len(f.runsOf(key)), 1)
			})
		})
	}
}

// Guards against a lost outcome when the entry dies or its answer is lost: the
// executor goes on, and a repetition at another node finds the record.
func TestEntryDies(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(4)...)
		key := f.keyAt("n0", "n3")
		_, request := f.nodes["n0"].carry(attempt{key: key, executor: "n1", beforeSend: func(*wire.Call) {
			time.AfterFunc(latency+serviceTime/2, func() { f.crash("n0") })
		}})
		v, _ := f.nodes["n2"].carry(attempt{key: key})
		requireRecorded(t, v, request)
		require.Len(t, f.runsOf(key), 1)
	})
}

// Guards against telling unknown while the recorded outcome can be had.
func TestLostAnswerIsAskedFor(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(4)...)
		key := f.keyAt("n0", "n3")
		v, request := f.nodes["n0"].carry(attempt{key: key, executor: "n1", beforeSend: func(*wire.Call) {
			time.AfterFunc(latency+serviceTime/2, func() { f.split(1, "n0") })
			time.AfterFunc(10*serviceTime, func() { f.split(0, "n0") })
		}})
		requireRecorded(t, v, request)
		require.Len(t, f.runsOf(key), 1)
	})
}

// Guards against a grant made for an earlier incarnation of an executor or by an
// earlier life of a home.
func TestRestartWithANewIncarnation(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(4)...)
		key := f.keyAt("n0", "n3")
		var call *wire.Call
		f.nodes["n0"].carry(attempt{key: key, executor: "n1", beforeSend: func(c *wire.Call) { call = c }})
		f.crash("n1")
		n1 := f.start("n1")
		requireRefused(t, n1.keeper, call, board.OutcomeNotRun, board.ReasonWrongIncarnation)

		f.store.set(true, false)
		f.crash("n3")
		n3 := f.start("n3")
		time.Sleep(time.Second)
		require.NotNil(t, f.epochOf("n3"), "the new life has learned the epoch from a peer")
		answer := n3.keeper.HandleClaim(context.Background(), &wire.Claim{
			ID: idOf(key), RequestDigest: "digest", Epoch: f.epochOf("n3").Epoch.Number, RequestID: "r", ClaimSequence: 1,
			Executor: "n2", ExecutorIncarnation: f.nodes["n2"].self.Incarnation, MaxWaitMicros: 1e6,
		})
		require.Equal(t, wire.ClaimRefused, answer.Status)
		require.Equal(t, board.ReasonKeyHomeUnavailable, answer.Reason)
		require.Len(t, f.runsOf(key), 1)
	})
}

// Guards against a home or an executor that acts on an epoch which has ended.
func TestOldEpochIsRefused(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(4)...)
		key := f.keyAt("n0", "n3")
		old := f.epochOf("n3").Epoch.Number
		f.split(1, "n3")
		f.detect()
		f.settle()
		f.requireMembers(t, "n0", "n0", "n1", "n2")
		n3, n1 := f.nodes["n3"], f.nodes["n1"]
		answer := n3.keeper.HandleClaim(context.Background(), &wire.Claim{
			ID: idOf(key), RequestDigest: "d", Epoch: old, RequestID: "r", ClaimSequence: 1,
			Executor: "n1", ExecutorIncarnation: n1.self.Incarnation, MaxWaitMicros: 1e6,
		})
		require.Equal(t, wire.ClaimGranted, answer.Status, "the cut-off home still grants")
		call := callOf(key, old, answer.Grant)
		call.ExecutorIncarnation = n1.self.Incarnation
		requireRefused(t, n1.keeper, call, board.OutcomeNotRun, board.ReasonStaleEpoch)
	})
}

// Guards against a call that is refused because all its attempts fell into a
// change of the epoch (node.TestStopUnderLoadCutsNothing failed so once).
func TestStaleEpochsUseUpNoAttempts(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(4)...)
		stale := 5
		verdict := f.nodes["n0"].keeper.Invoke(t.Context(), &atmostonce.Call{
			ID: idOf(newKey()), RequestDigest: "digest", RequestID: "request", KeyGenerated: true, MaxAttempts: 3,
			// The home of the key is excluded, and may be any node.
			PickExecutor: func(exclude []board.InstanceID) (board.InstanceID, uint64, bool) {
				id := board.InstanceID("n1")
				if slices.Contains(exclude, id) {
					id = "n2"
				}
				return id, f.nodes[id].self.Incarnation, true
			},
			Send: func(context.Context, uint64, uint64, int) (board.Outcome, board.Reason) {
				if stale--; stale >= 0 {
					return board.OutcomeNotRun, board.ReasonStaleEpoch
				}
				return board.OutcomeSucceeded, ""
			},
		})
		requireVerdict(t, verdict, board.OutcomeSucceeded, "")
		require.Equal(t, -1, stale)
	})
}

// Guards against runs on both sides of a partition: a minority without the
// store stops after its epoch is not confirmed any more.
func TestCutOffMinorityStops(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(5)...)
		f.split(1, "n3", "n4")
		f.detect()
		time.Sleep(keyhome.ConfirmationTTL + 3*time.Second)
		key := f.keyAt("n3", "n3")
		v, _ := f.nodes["n4"].carry(attempt{key: key, executor: "n4"})
		require.NotEqual(t, board.OutcomeSucceeded, v.Outcome)
		require.Empty(t, f.runsOf(key))
		time.Sleep(keyhome.ConfirmationTTL)
		v, _ = f.nodes["n0"].carry(attempt{key: newKey(), fresh: true})
		require.Equal(t, board.OutcomeSucceeded, v.Outcome, "the majority goes on")
	})
}
