package atmostonce_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
)

// ranKeys runs keys on a settled fabric and returns them with their requests.
func ranKeys(t *testing.T, f *fabric, count int) map[string]string {
	t.Helper()
	keys := map[string]string{}
	for range count {
		key := newKey()
		v, request := f.nodes["n0"].carry(attempt{key: key})
		require.Equal(t, board.OutcomeSucceeded, v.Outcome, v.Reason)
		keys[key] = request
	}
	// The outcomes reach the homes after the callers have their answers.
	time.Sleep(time.Second)
	return keys
}

func requireAllRecorded(t *testing.T, f *fabric, via board.InstanceID, keys map[string]string) {
	t.Helper()
	for key, request := range keys {
		v, _ := f.nodes[via].carry(attempt{key: key})
		requireRecorded(t, v, request)
		require.Len(t, f.runsOf(key), 1)
	}
}

// Guards against records that an epoch change loses, for each kind of change.
func TestEpochChangeKeepsTheRecords(t *testing.T) {
	changes := map[string]func(t *testing.T, f *fabric){
		"join": func(t *testing.T, f *fabric) {
			f.start("n9")
			f.settle()
			f.requireMembers(t, "n1", "n0", "n1", "n2", "n3", "n9")
		},
		"graceful leave": func(t *testing.T, f *fabric) {
			f.drain("n3")
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			require.True(t, f.nodes["n3"].keeper.AwaitHandOver(ctx), "the hand-over ends")
			f.crash("n3")
			f.requireMembers(t, "n1", "n0", "n1", "n2")
		},
		"death": func(t *testing.T, f *fabric) {
			f.crash("n3")
			f.detect()
			f.settle()
			f.requireMembers(t, "n1", "n0", "n1", "n2")
		},
		"restart": func(_ *testing.T, f *fabric) {
			f.crash("n3")
			f.start("n3")
			f.settle()
		},
		"lost answer of the store": func(t *testing.T, f *fabric) {
			f.store.set(false, true)
			writes := f.store.written()
			f.start("n9")
			f.settle()
			f.requireMembers(t, "n1", "n0", "n1", "n2", "n3", "n9")
			require.Equal(t, writes+1, f.store.written(), "the lost answer is settled by reading back")
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				f := newFabric(t, names(4)...)
				keys := ranKeys(t, f, 30)
				change(t, f)
				requireAllRecorded(t, f, "n1", keys)
				ranKeys(t, f, 10)
			})
		})
	}
}

// Guards against a lost home that makes its keys run again, and against one
// whose keys stay refused once the epoch has changed.
func TestHomeDies(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(4)...)
		key := f.keyAt("n0", "n3")
		_, request := f.nodes["n0"].carry(attempt{key: key})
		f.store.set(true, false)
		f.crash("n3")
		f.detect()
		v, _ := f.nodes["n0"].carry(attempt{key: key})
		requireVerdict(t, v, board.OutcomeUnknown, board.ReasonKeyHomeUnavailable)
		v, _ = f.nodes["n0"].carry(attempt{key: f.keyAt("n0", "n3"), fresh: true})
		requireVerdict(t, v, board.OutcomeNotRun, board.ReasonKeyHomeUnavailable)
		v, _ = f.nodes["n0"].carry(attempt{key: f.keyAt("n0", "n1")})
		require.Equal(t, board.OutcomeSucceeded, v.Outcome, "other keys go on without the store")
		f.store.set(false, false)
		f.settle()
		requireAllRecorded(t, f, "n1", map[string]string{key: request})
	})
}

// Guards against a second run of a key whose home and executor are lost at
// once, and against a service that stays refused after that.
func TestTwoLossesAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(5)...)
		key := f.keyAt("n0", "n3")
		v, _ := f.nodes["n0"].carry(attempt{key: key, executor: "n4"})
		require.Equal(t, board.OutcomeSucceeded, v.Outcome)
		f.crash("n3")
		f.crash("n4")
		f.detect()
		time.Sleep(time.Second)
		v, _ = f.nodes["n0"].carry(attempt{key: newKey(), fresh: true})
		require.Equal(t, board.OutcomeSucceeded, v.Outcome, "new keys of an entry are served at once")
		time.Sleep(keyhome.ConfirmationTTL + f.limits.KeyFutureSkew + f.limits.NodeClockSkew + 5*time.Second)
		v, _ = f.nodes["n1"].carry(attempt{key: key})
		requireVerdict(t, v, board.OutcomeUnknown, board.ReasonKeyRecordLost)
		require.Len(t, f.runsOf(key), 1)
		ranKeys(t, f, 20)
	})
}

// Guards against an incomplete transfer that the next epoch change forgets.
func TestHorizonSurvivesTheNextEpoch(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(5)...)
		var keys []string
		for range 20 {
			key := f.keyAt("n0", "n3")
			f.nodes["n0"].carry(attempt{key: key, executor: "n4"})
			keys = append(keys, key)
		}
		f.crash("n3")
		f.crash("n4")
		f.detect()
		time.Sleep(30 * time.Second)
		f.start("n9")
		f.settle()
		f.drain("n0")
		f.settle()
		for _, key := range keys {
			v, _ := f.nodes["n1"].carry(attempt{key: key})
			require.Equal(t, board.OutcomeUnknown, v.Outcome, v.Reason)
			require.Len(t, f.runsOf(key), 1)
		}
	})
}

// Guards against a key that loses its two records one after the other: the
// executor first, so that only the home has one, and then the home.
func TestLossesOneAfterTheOther(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(5)...)
		key := f.keyAt("n0", "n3")
		f.nodes["n0"].carry(attempt{key: key, executor: "n4"})
		f.crash("n4")
		f.detect()
		f.settle()
		f.crash("n3")
		f.detect()
		f.settle()
		v, _ := f.nodes["n1"].carry(attempt{key: key})
		requireVerdict(t, v, board.OutcomeUnknown, board.ReasonKeyRecordLost)
		require.Len(t, f.runsOf(key), 1)
	})
}

// Guards against a second run of the keys of a single member, which was home
// and executor, after a second member has joined and the first is lost.
func TestSingleMemberIsLostAfterAJoin(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, "n0")
		keys := ranKeys(t, f, 20)
		f.start("n1")
		f.settle()
		f.crash("n0")
		f.detect()
		f.settle()
		for key := range keys {
			v, _ := f.nodes["n1"].carry(attempt{key: key})
			require.NotEqual(t, board.OutcomeNotRun, v.Outcome, v.Reason)
			require.Len(t, f.runsOf(key), 1)
		}
	})
}

// Guards against epochs that follow each other without a change of members,
// and against proposers that compete.
func TestOneProposalPerChange(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(6)...)
		writes := f.store.written()
		f.crash("n5")
		f.crash("n4")
		f.detect()
		time.Sleep(time.Minute)
		require.Equal(t, writes+1, f.store.written())
		f.requireMembers(t, "n0", "n0", "n1", "n2", "n3")
	})
}

// Guards against a key that runs on both sides of a partition that leaves the
// majority without the store, also after the minority's next epoch change.
func TestCutOffMajorityIsWaitedFor(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(5)...)
		f.split(1, "n1", "n2", "n3")
		f.detect()
		time.Sleep(30 * time.Second)
		f.crash("n4")
		f.start("n4")
		time.Sleep(30 * time.Second)
		f.requireMembers(t, "n0", "n0", "n4")
		key := f.keyAt("n1", "n1")
		v, _ := f.nodes["n2"].carry(attempt{key: key, executor: "n3"})
		require.Equal(t, board.OutcomeSucceeded, v.Outcome, "the majority goes on without the store")
		v, _ = f.nodes["n0"].carry(attempt{key: key})
		requireVerdict(t, v, board.OutcomeUnknown, board.ReasonKeyHomeUnavailable)
		require.Len(t, f.runsOf(key), 1)
		v, _ = f.nodes["n0"].carry(attempt{key: newKey(), fresh: true})
		require.Equal(t, board.OutcomeSucceeded, v.Outcome, "keys of an entry are served")
	})
}

// Guards against an epoch that goes back when the store returns from an outage
// with an older one.
func TestStoreReturnsWithAnOlderEpoch(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFabric(t, names(4)...)
		key := "epochs/" + service
		older, err := sidedStore{f, "n0"}.Get(context.Background(), key)
		require.NoError(t, err)
		f.start("n5")
		f.settle()
		keys := ranKeys(t, f, 10)
		number := f.epochOf("n0").Epoch.Number
		f.store.restore(key, older.Value)
		f.crash("n5")
		f.detect()
		f.settle()
		require.Equal(t, number+1, f.epochOf("n0").Epoch.Number)
		requireAllRecorded(t, f, "n1", keys)
	})
}
