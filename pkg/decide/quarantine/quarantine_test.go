package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangostand.example/mangostand/pkg/board"
)

var baseTime = time.Unix(1_700_000_000, 0)

func incarnation(n int) board.ServerIncarnation {
	return board.ServerIncarnation{Instance: board.InstanceID(fmt.Sprintf("i%d", n/2)), Incarnation: uint64(n % 2)}
}

// rumor is one rumor about one request.
type rumor struct {
	cleared      bool
	incarnations []board.ServerIncarnation
}

func applyRumors(steps []rumor) *board.Quarantine {
	s := State{}
	for _, st := range steps {
		if st.cleared {
			s.ClearCrashes("d", st.incarnations, baseTime.Add(time.Hour))
		} else {
			s.RecordCrashes("d", "GET /s/a", st.incarnations, baseTime.Add(time.Hour))
		}
	}
	return s.Snapshot(2)
}

// Guards against nodes that disagree on a quarantine because rumors reached
// them in another order or twice.
func TestRumorsCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) rumor {
			incarnations := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) board.ServerIncarnation {
				return incarnation(rapid.IntRange(0, 5).Draw(t, "incarnation"))
			}), 1, 3)
			return rumor{cleared: rapid.Bool().Draw(t, "cleared"), incarnations: incarnations.Draw(t, "incarnations")}
		}), 1, 6).Draw(t, "steps")
		shuffled := rapid.Permutation(append(steps[:len(steps):len(steps)], steps...)).Draw(t, "order")
		require.Equal(t, applyRumors(steps).Entries["d"].Deaths, applyRumors(shuffled).Entries["d"].Deaths)
		require.Equal(t, applyRumors(steps).IsQuarantined("d", baseTime), applyRumors(shuffled).IsQuarantined("d", baseTime))
	})
}

// Guards against a quarantine after one death that was told twice, and against
// a request that goes on crashing backend servers after two.
func TestTwoDistinctCrashesQuarantine(t *testing.T) {
	one := rumor{incarnations: []board.ServerIncarnation{incarnation(0)}}
	require.False(t, applyRumors([]rumor{one, one}).IsQuarantined("d", baseTime))
	sameInstanceRestarted := rumor{incarnations: []board.ServerIncarnation{incarnation(1)}}
	require.True(t, applyRumors([]rumor{one, sameInstanceRestarted}).IsQuarantined("d", baseTime))
	require.False(t, applyRumors([]rumor{one, sameInstanceRestarted}).IsQuarantined("d", baseTime.Add(time.Hour)))
	require.False(t, applyRumors([]rumor{one, sameInstanceRestarted}).IsQuarantined("other", baseTime))
}

// Guards against an innocent request that stays refused, and against a cleared
// request that may crash backend servers for ever.
func TestClearCoversOnlyEarlierCrashes(t *testing.T) {
	s := State{}
	until := baseTime.Add(time.Hour)
	s.RecordCrashes("d", "", []board.ServerIncarnation{incarnation(0), incarnation(1)}, until)
	require.True(t, s.Snapshot(2).IsQuarantined("d", baseTime))
	s.ClearCrashes("d", []board.ServerIncarnation{incarnation(0), incarnation(1)}, until)
	require.Empty(t, s.Snapshot(2).Entries)
	require.False(t, s.RecordCrashes("d", "", []board.ServerIncarnation{incarnation(0)}, until), "an old rumor counts again")
	require.Empty(t, s.Snapshot(2).Entries)
	s.RecordCrashes("d", "", []board.ServerIncarnation{incarnation(2), incarnation(3)}, until)
	require.True(t, s.Snapshot(2).IsQuarantined("d", baseTime))

	require.True(t, ProvesHarmless([]board.ServerIncarnation{incarnation(0)}, incarnation(1)))
	require.False(t, ProvesHarmless([]board.ServerIncarnation{incarnation(0)}, incarnation(0)))
	require.False(t, ProvesHarmless(nil, incarnation(0)))
}

// Guards against memory that grows with the number of crashes, and against a
// flood of suspects that pushes a quarantined request out.
func TestStateIsBounded(t *testing.T) {
	s := State{}
	s.RecordCrashes("poison", "", []board.ServerIncarnation{incarnation(0), incarnation(1)}, baseTime.Add(time.Minute))
	for i := range 2 * MaxEntries {
		s.RecordCrashes(fmt.Sprintf("d%d", i), "", []board.ServerIncarnation{incarnation(2)}, baseTime.Add(time.Hour))
	}
	require.Len(t, s, MaxEntries)
	require.True(t, s.Snapshot(2).IsQuarantined("poison", baseTime))
	var incarnations []board.ServerIncarnation
	for i := range 1000 {
		incarnations = append(incarnations, incarnation(i))
	}
	s.RecordCrashes("poison", "", incarnations, baseTime)
	require.Len(t, s["poison"].Crashes, maxIncarnations)
	require.True(t, s.RemoveExpired(baseTime.Add(time.Hour)))
	require.Empty(t, s)
}

// Guards against a death that goes unnoticed or is seen where there is none.
func TestEndedIncarnation(t *testing.T) {
	up := board.LocalServer{Announced: true, Service: "s", Incarnation: 1}
	down, restarted, busier := up, up, up
	down.Announced = false
	restarted.Incarnation = 2
	busier.ReportedInFlight = 4
	for name, c := range map[string]struct {
		old, next board.LocalServer
		ended     bool
	}{
		"found down":         {up, down, true},
		"restarted at once":  {up, restarted, true},
		"restarted later":    {down, restarted, true},
		"heartbeat":          {up, busier, false},
		"still down":         {down, down, false},
		"back again":         {down, up, false},
		"first announcement": {board.LocalServer{}, up, false},
	} {
		incarnation, ended := EndedIncarnation(&c.old, &c.next)
		require.Equal(t, c.ended, ended, name)
		require.True(t, !ended || incarnation == 1, name)
	}
}

// Guards against innocent suspects: calls of another incarnation, or lost long ago.
func TestSuspectExecutions(t *testing.T) {
	execution := func(digest string, incarnation uint64) board.ExecutionResult {
		return board.ExecutionResult{Digest: digest, ServerIncarnation: incarnation}
	}
	lost := []LostExecution{
		{execution("recent", 1), baseTime},
		{execution("old", 1), baseTime.Add(-SuspectWindow)},
		{execution("other incarnation", 2), baseTime},
	}
	running := []board.ExecutionResult{execution("running", 1), execution("recent", 1), execution("next incarnation", 2)}
	suspects := SuspectExecutions(1, lost, running, baseTime.Add(1))
	require.Equal(t, []board.ExecutionResult{execution("recent", 1), execution("running", 1)}, suspects)
}
