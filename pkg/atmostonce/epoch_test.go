package atmostonce_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
)

// executeKeys runs keys on a settled fabric and returns them with their requests.
func executeKeys(t *testing.T, mesh *testMesh, count int) map[string]string {
	t.Helper()
	keys := map[string]string{}
	for range count {
		key := newKey()
		result, requestID := mesh.nodes["n0"].invoke(callOptions{key: key})
		require.Equal(t, board.OutcomeSucceeded, result.Outcome, result.Reason)
		keys[key] = requestID
	}
	// The outcomes reach the homes after the callers have their answers.
	time.Sleep(time.Second)
	return keys
}

func requireAllRecorded(t *testing.T, mesh *testMesh, instance board.InstanceID, keys map[string]string) {
	t.Helper()
	for key, requestID := range keys {
		result, _ := mesh.nodes[instance].invoke(callOptions{key: key})
		requireRecorded(t, result, requestID)
		require.Len(t, mesh.executionsOf(key), 1)
	}
}

// Guards against records that an epoch change loses, for each kind of change.
func TestEpochChangeKeepsTheRecords(t *testing.T) {
	changes := map[string]func(t *testing.T, mesh *testMesh){
		"join": func(t *testing.T, mesh *testMesh) {
			mesh.start("n9")
			mesh.awaitEpochChange()
			mesh.requireEpochMembers(t, "n1", "n0", "n1", "n2", "n3", "n9")
		},
		"graceful leave": func(t *testing.T, mesh *testMesh) {
			mesh.drain("n3")
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			require.True(t, mesh.nodes["n3"].controller.AwaitHandOver(ctx), "the hand-over ends")
			mesh.crash("n3")
			mesh.requireEpochMembers(t, "n1", "n0", "n1", "n2")
		},
		"death": func(t *testing.T, mesh *testMesh) {
			mesh.crash("n3")
			mesh.publishMembership()
			mesh.awaitEpochChange()
			mesh.requireEpochMembers(t, "n1", "n0", "n1", "n2")
		},
		"restart": func(_ *testing.T, mesh *testMesh) {
			mesh.crash("n3")
			mesh.start("n3")
			mesh.awaitEpochChange()
		},
		"lost answer of the store": func(t *testing.T, mesh *testMesh) {
			mesh.store.setFaults(false, true)
			writesBefore := mesh.store.writeCount()
			mesh.start("n9")
			mesh.awaitEpochChange()
			mesh.requireEpochMembers(t, "n1", "n0", "n1", "n2", "n3", "n9")
			require.Equal(t, writesBefore+1, mesh.store.writeCount(), "the lost answer is settled by reading back")
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			runWithFakeClock(t, func(t *testing.T) {
				mesh := newTestMesh(t, instanceIDs(4)...)
				keys := executeKeys(t, mesh, 30)
				change(t, mesh)
				requireAllRecorded(t, mesh, "n1", keys)
				executeKeys(t, mesh, 10)
			})
		})
	}
}

// Guards against a lost home that makes its keys run again, and against one
// whose keys stay refused once the epoch has changed.
func TestHomeCrash(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(4)...)
		key := mesh.newKeyWithHome("n0", "n3")
		_, requestID := mesh.nodes["n0"].invoke(callOptions{key: key})
		mesh.store.setFaults(true, false)
		mesh.crash("n3")
		mesh.publishMembership()
		result, _ := mesh.nodes["n0"].invoke(callOptions{key: key})
		requireResult(t, result, board.OutcomeUnknown, board.ReasonKeyHomeUnavailable)
		result, _ = mesh.nodes["n0"].invoke(callOptions{key: mesh.newKeyWithHome("n0", "n3"), keyGenerated: true})
		requireResult(t, result, board.OutcomeNotRun, board.ReasonKeyHomeUnavailable)
		result, _ = mesh.nodes["n0"].invoke(callOptions{key: mesh.newKeyWithHome("n0", "n1")})
		require.Equal(t, board.OutcomeSucceeded, result.Outcome, "other keys go on without the store")
		mesh.store.setFaults(false, false)
		mesh.awaitEpochChange()
		requireAllRecorded(t, mesh, "n1", map[string]string{key: requestID})
	})
}

// Guards against a second run of a key whose home and executor are lost at
// once, and against a service that stays refused after that.
func TestHomeAndExecutorCrashTogether(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(5)...)
		key := mesh.newKeyWithHome("n0", "n3")
		result, _ := mesh.nodes["n0"].invoke(callOptions{key: key, executor: "n4"})
		require.Equal(t, board.OutcomeSucceeded, result.Outcome)
		mesh.crash("n3")
		mesh.crash("n4")
		mesh.publishMembership()
		time.Sleep(time.Second)
		result, _ = mesh.nodes["n0"].invoke(callOptions{key: newKey(), keyGenerated: true})
		require.Equal(t, board.OutcomeSucceeded, result.Outcome, "new keys of an entry are served at once")
		time.Sleep(keyhome.ConfirmationTTL + mesh.limits.FutureSkew + mesh.limits.ClockSkew + 5*time.Second)
		result, _ = mesh.nodes["n1"].invoke(callOptions{key: key})
		requireResult(t, result, board.OutcomeUnknown, board.ReasonKeyRecordLost)
		require.Len(t, mesh.executionsOf(key), 1)
		executeKeys(t, mesh, 20)
	})
}

// Guards against an incomplete transfer that the next epoch change forgets.
func TestHorizonIsPassedToTheNextEpoch(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(5)...)
		var keys []string
		for range 20 {
			key := mesh.newKeyWithHome("n0", "n3")
			mesh.nodes["n0"].invoke(callOptions{key: key, executor: "n4"})
			keys = append(keys, key)
		}
		mesh.crash("n3")
		mesh.crash("n4")
		mesh.publishMembership()
		time.Sleep(30 * time.Second)
		mesh.start("n9")
		mesh.awaitEpochChange()
		mesh.drain("n0")
		mesh.awaitEpochChange()
		for _, key := range keys {
			result, _ := mesh.nodes["n1"].invoke(callOptions{key: key})
			require.Equal(t, board.OutcomeUnknown, result.Outcome, result.Reason)
			require.Len(t, mesh.executionsOf(key), 1)
		}
	})
}

// Guards against a key that loses its two records one after the other: the
// executor first, so that only the home has one, and then the home.
func TestExecutorThenHomeCrash(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(5)...)
		key := mesh.newKeyWithHome("n0", "n3")
		mesh.nodes["n0"].invoke(callOptions{key: key, executor: "n4"})
		mesh.crash("n4")
		mesh.publishMembership()
		mesh.awaitEpochChange()
		mesh.crash("n3")
		mesh.publishMembership()
		mesh.awaitEpochChange()
		result, _ := mesh.nodes["n1"].invoke(callOptions{key: key})
		requireResult(t, result, board.OutcomeUnknown, board.ReasonKeyRecordLost)
		require.Len(t, mesh.executionsOf(key), 1)
	})
}

// Guards against a second run of the keys of a single member, which was home
// and executor, after a second member has joined and the first is lost.
func TestSingleMemberIsLostAfterAJoin(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, "n0")
		keys := executeKeys(t, mesh, 20)
		mesh.start("n1")
		mesh.awaitEpochChange()
		mesh.crash("n0")
		mesh.publishMembership()
		mesh.awaitEpochChange()
		for key := range keys {
			result, _ := mesh.nodes["n1"].invoke(callOptions{key: key})
			require.NotEqual(t, board.OutcomeNotRun, result.Outcome, result.Reason)
			require.Len(t, mesh.executionsOf(key), 1)
		}
	})
}

// Guards against epochs that follow each other without a change of members,
// and against proposers that compete.
func TestOneProposalPerChange(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(6)...)
		writesBefore := mesh.store.writeCount()
		mesh.crash("n5")
		mesh.crash("n4")
		mesh.publishMembership()
		time.Sleep(time.Minute)
		require.Equal(t, writesBefore+1, mesh.store.writeCount())
		mesh.requireEpochMembers(t, "n0", "n0", "n1", "n2", "n3")
	})
}

// Guards against a key that runs on both sides of a partition that leaves the
// majority without the store, also after the minority's next epoch change.
func TestTransferWaitsForPartitionedMajority(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(5)...)
		mesh.setPartition(1, "n1", "n2", "n3")
		mesh.publishMembership()
		time.Sleep(30 * time.Second)
		mesh.crash("n4")
		mesh.start("n4")
		time.Sleep(30 * time.Second)
		mesh.requireEpochMembers(t, "n0", "n0", "n4")
		key := mesh.newKeyWithHome("n1", "n1")
		result, _ := mesh.nodes["n2"].invoke(callOptions{key: key, executor: "n3"})
		require.Equal(t, board.OutcomeSucceeded, result.Outcome, "the majority goes on without the store")
		result, _ = mesh.nodes["n0"].invoke(callOptions{key: key})
		requireResult(t, result, board.OutcomeUnknown, board.ReasonKeyHomeUnavailable)
		require.Len(t, mesh.executionsOf(key), 1)
		result, _ = mesh.nodes["n0"].invoke(callOptions{key: newKey(), keyGenerated: true})
		require.Equal(t, board.OutcomeSucceeded, result.Outcome, "keys of an entry are served")
	})
}

// Guards against an epoch that goes back when the store returns from an outage
// with an older one.
func TestStoreWithOlderEpochDoesNotLowerTheEpoch(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(4)...)
		key := "epochs/" + service
		earlier, err := partitionedStore{mesh, "n0"}.Get(context.Background(), key)
		require.NoError(t, err)
		mesh.start("n5")
		mesh.awaitEpochChange()
		keys := executeKeys(t, mesh, 10)
		numberBefore := mesh.epochView("n0").Epoch.Number
		mesh.store.restoreValue(key, earlier.Value)
		mesh.crash("n5")
		mesh.publishMembership()
		mesh.awaitEpochChange()
		require.Equal(t, numberBefore+1, mesh.epochView("n0").Epoch.Number)
		requireAllRecorded(t, mesh, "n1", keys)
	})
}
