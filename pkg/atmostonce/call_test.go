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

// runWithFakeClock runs a test in a synctest bubble, which has a fake clock.
func runWithFakeClock(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

func requireRecorded(t *testing.T, result atmostonce.Result, requestID string) {
	t.Helper()
	require.Equal(t, board.OutcomeSucceeded, result.Outcome, result.Reason)
	require.NotNil(t, result.Record)
	require.Equal(t, requestID, string(result.Record.Response.Body))
}

func requireResult(t *testing.T, result atmostonce.Result, outcome board.Outcome, reason board.Reason) {
	t.Helper()
	require.Equal(t, outcome.String(), result.Outcome.String(), result.Reason)
	require.Equal(t, reason, result.Reason)
}

// Guards against a second execution when a caller repeats a key at the same or at
// another node.
func TestRepeatedKeyGetsTheRecordedResponse(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(4)...)
		key := newKey()
		first, requestID := mesh.nodes["n0"].invoke(callOptions{key: key})
		require.Equal(t, board.OutcomeSucceeded, first.Outcome, first.Reason)
		for _, n := range instanceIDs(4) {
			repeated, _ := mesh.nodes[n].invoke(callOptions{key: key})
			requireRecorded(t, repeated, requestID)
		}
		require.Len(t, mesh.executionsOf(key), 1)
	})
}

// Guards against a second execution, and against a call that gets no response,
// when the same key arrives at several nodes at the same time.
func TestConcurrentCallsWithTheSameKeyRunOnce(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(4)...)
		for range 20 {
			// The home is none of the entries, so that the messages of all
			// entries have the same latency.
			key := mesh.newKeyWithHome("n0", "n3")
			var results [3]atmostonce.Result
			var calls sync.WaitGroup
			for i, n := range instanceIDs(3) {
				calls.Go(func() { results[i], _ = mesh.nodes[n].invoke(callOptions{key: key}) })
			}
			calls.Wait()
			for _, result := range results {
				require.Equal(t, board.OutcomeSucceeded, result.Outcome, result.Reason)
			}
			require.Len(t, mesh.executionsOf(key), 1)
		}
		records := 0
		for _, n := range mesh.nodes {
			records += n.board.Keys.ExecutorRecords.Len()
		}
		require.Equal(t, 20, records, "no call is sealed while it is in transit")
	})
}

// Guards against the use of a key for a second request with different content.
func TestKeyIsRefusedForAnotherRequest(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(3)...)
		key := newKey()
		mesh.nodes["n0"].invoke(callOptions{key: key, digest: "a"})
		result, _ := mesh.nodes["n1"].invoke(callOptions{key: key, digest: "b"})
		requireResult(t, result, board.OutcomeNotRun, board.ReasonKeyConflict)
		require.Len(t, mesh.executionsOf(key), 1)
	})
}

// Guards against an execution after the records of a key were removed, and
// against a key with a timestamp in the future, which would outlive its records.
func TestExpiredAndFutureKeysAreRefused(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(3)...)
		key := newKey()
		var delayed *wire.Call
		mesh.nodes["n0"].invoke(callOptions{key: key, beforeSend: func(c *wire.Call) { delayed = c }})
		time.Sleep(mesh.limits.KeyRetention + mesh.limits.NodeClockSkew + time.Minute)
		require.Zero(t, mesh.nodes["n0"].board.Keys.SizeBytes(), "expired records are dropped")
		result, _ := mesh.nodes["n1"].invoke(callOptions{key: key})
		requireResult(t, result, board.OutcomeUnknown, board.ReasonKeyExpired)
		for _, n := range mesh.nodes {
			delayed.ExecutorIncarnation = n.member.Incarnation
			requireRefused(t, n.controller, delayed, board.OutcomeNotRun, board.ReasonKeyExpired)
		}
		require.Len(t, mesh.executionsOf(key), 1)

		future := "ffffffff-ffff-7000-8000-000000000000"
		result, _ = mesh.nodes["n1"].invoke(callOptions{key: future})
		requireResult(t, result, board.OutcomeNotRun, board.ReasonKeyTimeInFuture)
	})
}

// Guards against the eviction of records, and against an execution without a
// record, when key_memory is full.
func TestMemoryFull(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t)
		mesh.limits.KeyMemoryBytes = 20_000
		for _, n := range instanceIDs(3) {
			mesh.start(n)
		}
		mesh.awaitEpochChange()
		requestIDs := map[string]string{}
		for range 200 {
			key := newKey()
			result, requestID := mesh.nodes["n0"].invoke(callOptions{key: key})
			if result.Outcome == board.OutcomeNotRun {
				require.Equal(t, board.ReasonKeyMemoryFull, result.Reason)
				require.Empty(t, mesh.executionsOf(key))
				continue
			}
			require.Equal(t, board.OutcomeSucceeded, result.Outcome, result.Reason)
			requestIDs[key] = requestID
		}
		require.Less(t, len(requestIDs), 200)
		for key := range requestIDs {
			result, _ := mesh.nodes["n1"].invoke(callOptions{key: key})
			require.Equal(t, board.OutcomeSucceeded, result.Outcome, result.Reason)
			require.Len(t, mesh.executionsOf(key), 1)
		}
	})
}

// Guards against the execution of a delayed call: its entry was paused, and
// meanwhile another request got the next grant of the key.
func TestDelayedCallIsRefusedAfterSeal(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(4)...)
		key := mesh.newKeyWithHome("n0", "n3")
		var delayed *wire.Call
		var calls sync.WaitGroup
		calls.Go(func() {
			mesh.nodes["n0"].invoke(callOptions{key: key, executor: "n1", beforeSend: func(c *wire.Call) {
				if delayed == nil {
					delayed = c
					time.Sleep(3 * time.Second)
				}
			}, deadline: 10 * time.Second})
		})
		time.Sleep(time.Second)
		result, _ := mesh.nodes["n2"].invoke(callOptions{key: key, executor: "n2"})
		require.Equal(t, board.OutcomeSucceeded, result.Outcome, result.Reason)
		calls.Wait()
		requireRefused(t, mesh.nodes["n1"].controller, delayed, board.OutcomeNotRun, board.ReasonGrantSealed)
		require.Len(t, mesh.executionsOf(key), 1)
	})
}

// Guards against a grant for a claim that arrives after a later claim of the same
// request. The call of the later grant may be running.
func TestReorderedClaimOfARequestHasNoEffect(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(4)...)
		key := mesh.newKeyWithHome("n0", "n3")
		home, executor := mesh.nodes["n3"], mesh.nodes["n1"]
		claim := &wire.Claim{
			ID: keyID(key), RequestDigest: "d", Epoch: mesh.epochView("n3").Epoch.Number, Executor: "n1",
			ExecutorIncarnation: executor.member.Incarnation, RequestID: "r", ClaimSequence: 2, MaxWaitMicros: 1e6,
		}
		granted := home.controller.HandleClaim(context.Background(), claim)
		require.Equal(t, wire.ClaimGranted, granted.Status)
		delayed := *claim
		delayed.ClaimSequence, delayed.Executor, delayed.ExecutorIncarnation = 1, "n2", mesh.nodes["n2"].member.Incarnation
		require.Equal(t, wire.ClaimInProgress, home.controller.HandleClaim(context.Background(), &delayed).Status)
		require.Equal(t, granted.Grant, home.board.Keys.HomeRecords.Get(keyID(key)).Grant)
	})
}

// Guards against a second execution when the executor crashes before or during
// the execution. The outcome stays unknown, also after the instance has
// restarted.
func TestExecutorCrash(t *testing.T) {
	for name, when := range map[string]time.Duration{"before running": 0, "while running": messageLatency + serviceTime/2} {
		t.Run(name, func(t *testing.T) {
			runWithFakeClock(t, func(t *testing.T) {
				mesh := newTestMesh(t, instanceIDs(4)...)
				key := mesh.newKeyWithHome("n0", "n3")
				result, _ := mesh.nodes["n0"].invoke(callOptions{key: key, executor: "n1", beforeSend: func(*wire.Call) {
					if when == 0 {
						mesh.crash("n1")
						return
					}
					time.AfterFunc(when, func() { mesh.crash("n1") })
				}})
				require.Equal(t, board.OutcomeUnknown, result.Outcome, result.Reason)
				mesh.publishMembership()
				mesh.awaitEpochChange()
				result, _ = mesh.nodes["n2"].invoke(callOptions{key: key})
				require.Equal(t, board.OutcomeUnknown, result.Outcome, result.Reason)
				mesh.start("n1")
				mesh.awaitEpochChange()
				result, _ = mesh.nodes["n2"].invoke(callOptions{key: key})
				require.Equal(t, board.OutcomeUnknown, result.Outcome, result.Reason)
				require.LessOrEqual(t, len(mesh.executionsOf(key)), 1)
			})
		})
	}
}

// Guards against the loss of an outcome when the entry crashes. The executor
// continues, and a retry at another node finds the record.
func TestEntryCrash(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(4)...)
		key := mesh.newKeyWithHome("n0", "n3")
		_, requestID := mesh.nodes["n0"].invoke(callOptions{key: key, executor: "n1", beforeSend: func(*wire.Call) {
			time.AfterFunc(messageLatency+serviceTime/2, func() { mesh.crash("n0") })
		}})
		result, _ := mesh.nodes["n2"].invoke(callOptions{key: key})
		requireRecorded(t, result, requestID)
		require.Len(t, mesh.executionsOf(key), 1)
	})
}

// Guards against reporting the outcome as unknown when the response is lost but
// the recorded outcome can be read.
func TestLostResponseIsReadFromTheRecord(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(4)...)
		key := mesh.newKeyWithHome("n0", "n3")
		result, requestID := mesh.nodes["n0"].invoke(callOptions{key: key, executor: "n1", beforeSend: func(*wire.Call) {
			time.AfterFunc(messageLatency+serviceTime/2, func() { mesh.setPartition(1, "n0") })
			time.AfterFunc(10*serviceTime, func() { mesh.setPartition(0, "n0") })
		}})
		requireRecorded(t, result, requestID)
		require.Len(t, mesh.executionsOf(key), 1)
	})
}

// Guards against the use of a grant that was issued to an earlier incarnation of
// an executor, and against claims served by a restarted home whose records are
// gone.
func TestRestartedNodeRefusesEarlierGrants(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(4)...)
		key := mesh.newKeyWithHome("n0", "n3")
		var call *wire.Call
		mesh.nodes["n0"].invoke(callOptions{key: key, executor: "n1", beforeSend: func(c *wire.Call) { call = c }})
		mesh.crash("n1")
		n1 := mesh.start("n1")
		requireRefused(t, n1.controller, call, board.OutcomeNotRun, board.ReasonWrongIncarnation)

		mesh.store.setFaults(true, false)
		mesh.crash("n3")
		n3 := mesh.start("n3")
		time.Sleep(time.Second)
		require.NotNil(t, mesh.epochView("n3"), "the restarted node has pulled the epoch from a peer")
		response := n3.controller.HandleClaim(context.Background(), &wire.Claim{
			ID: keyID(key), RequestDigest: "digest", Epoch: mesh.epochView("n3").Epoch.Number, RequestID: "r", ClaimSequence: 1,
			Executor: "n2", ExecutorIncarnation: mesh.nodes["n2"].member.Incarnation, MaxWaitMicros: 1e6,
		})
		require.Equal(t, wire.ClaimRefused, response.Status)
		require.Equal(t, board.ReasonKeyHomeUnavailable, response.Reason)
		require.Len(t, mesh.executionsOf(key), 1)
	})
}

// Guards against a home or an executor that acts in an epoch that has ended.
func TestEndedEpochIsRefused(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(4)...)
		key := mesh.newKeyWithHome("n0", "n3")
		endedEpoch := mesh.epochView("n3").Epoch.Number
		mesh.setPartition(1, "n3")
		mesh.publishMembership()
		mesh.awaitEpochChange()
		mesh.requireEpochMembers(t, "n0", "n0", "n1", "n2")
		n3, n1 := mesh.nodes["n3"], mesh.nodes["n1"]
		response := n3.controller.HandleClaim(context.Background(), &wire.Claim{
			ID: keyID(key), RequestDigest: "d", Epoch: endedEpoch, RequestID: "r", ClaimSequence: 1,
			Executor: "n1", ExecutorIncarnation: n1.member.Incarnation, MaxWaitMicros: 1e6,
		})
		require.Equal(t, wire.ClaimGranted, response.Status, "the partitioned home still issues grants")
		call := newCall(key, endedEpoch, response.Grant)
		call.ExecutorIncarnation = n1.member.Incarnation
		requireRefused(t, n1.controller, call, board.OutcomeNotRun, board.ReasonStaleEpoch)
	})
}

// Guards against a call that is refused because all its attempts fall into an
// epoch change. node.TestGracefulStopUnderLoadInterruptsNoCalls failed for this reason.
func TestStaleEpochRefusalsUseNoAttempt(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(4)...)
		stale := 5
		result := mesh.nodes["n0"].controller.Invoke(t.Context(), &atmostonce.Call{
			ID: keyID(newKey()), RequestDigest: "digest", RequestID: "request", KeyGenerated: true, MaxAttempts: 3,
			// The executor must not be the home of the key, which may be any
			// node.
			PickExecutor: func(exclude []board.InstanceID) (board.InstanceID, uint64, bool) {
				id := board.InstanceID("n1")
				if slices.Contains(exclude, id) {
					id = "n2"
				}
				return id, mesh.nodes[id].member.Incarnation, true
			},
			Send: func(context.Context, uint64, uint64, int) (board.Outcome, board.Reason) {
				if stale--; stale >= 0 {
					return board.OutcomeNotRun, board.ReasonStaleEpoch
				}
				return board.OutcomeSucceeded, ""
			},
		})
		requireResult(t, result, board.OutcomeSucceeded, "")
		require.Equal(t, -1, stale)
	})
}

// Guards against executions on both sides of a partition. A minority without
// access to the store stops executing calls when the confirmation of its epoch
// expires.
func TestPartitionedMinorityStops(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(5)...)
		mesh.setPartition(1, "n3", "n4")
		mesh.publishMembership()
		time.Sleep(keyhome.ConfirmationTTL + 3*time.Second)
		key := mesh.newKeyWithHome("n3", "n3")
		result, _ := mesh.nodes["n4"].invoke(callOptions{key: key, executor: "n4"})
		require.NotEqual(t, board.OutcomeSucceeded, result.Outcome)
		require.Empty(t, mesh.executionsOf(key))
		time.Sleep(keyhome.ConfirmationTTL)
		result, _ = mesh.nodes["n0"].invoke(callOptions{key: newKey(), keyGenerated: true})
		require.Equal(t, board.OutcomeSucceeded, result.Outcome, "the majority continues")
	})
}
