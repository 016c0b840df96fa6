package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mangostand.example/mangostand/pkg/board"
)

// baseTime is the start time of the tests.
var baseTime = time.Unix(1_700_000_000, 0)

// incarnation returns the nth incarnation of the tests; each instance has two.
func incarnation(n int) board.ServerIncarnation {
	return board.ServerIncarnation{Instance: board.InstanceID(fmt.Sprintf("i%d", n/2)), Incarnation: uint64(n % 2)}
}

// rumor is a rumor about one request: crashes, or cleared crashes.
type rumor struct {
	cleared      bool
	incarnations []board.ServerIncarnation
}

// applyRumors returns the snapshot of a node that received the rumors.
func applyRumors(rumors []rumor) *board.Quarantine {
	s := State{}
	for _, r := range rumors {
		if r.cleared {
			s.ClearCrashes("d", r.incarnations, baseTime.Add(time.Hour))
		} else {
			s.RecordCrashes("d", "GET /s/a", r.incarnations, baseTime.Add(time.Hour))
		}
	}
	return s.Snapshot(2)
}

// Guards against nodes that disagree on a quarantine because rumors arrived in
// another order or twice.
func TestRumorsCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rumors := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) rumor {
			incarnations := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) board.ServerIncarnation {
				return incarnation(rapid.IntRange(0, 5).Draw(t, "incarnation"))
			}), 1, 3)
			return rumor{cleared: rapid.Bool().Draw(t, "cleared"), incarnations: incarnations.Draw(t, "incarnations")}
		}), 1, 6).Draw(t, "rumors")
		shuffled := rapid.Permutation(append(rumors[:len(rumors):len(rumors)], rumors...)).Draw(t, "order")
		require.Equal(t, applyRumors(rumors).Entries["d"].Deaths, applyRumors(shuffled).Entries["d"].Deaths)
		require.Equal(t, applyRumors(rumors).IsQuarantined("d", baseTime), applyRumors(shuffled).IsQuarantined("d", baseTime))
	})
}

// Guards against a quarantine after a single crash that was reported twice, and
// against a request that still runs after two distinct crashes.
func TestTwoDistinctCrashesQuarantine(t *testing.T) {
	one := rumor{incarnations: []board.ServerIncarnation{incarnation(0)}}
	require.False(t, applyRumors([]rumor{one, one}).IsQuarantined("d", baseTime))
	sameInstanceRestarted := rumor{incarnations: []board.ServerIncarnation{incarnation(1)}}
	require.True(t, applyRumors([]rumor{one, sameInstanceRestarted}).IsQuarantined("d", baseTime))
	require.False(t, applyRumors([]rumor{one, sameInstanceRestarted}).IsQuarantined("d", baseTime.Add(time.Hour)))
	require.False(t, applyRumors([]rumor{one, sameInstanceRestarted}).IsQuarantined("other", baseTime))
}

// Guards against a harmless request that stays refused, and against a cleared
// request that can never be quarantined again.
func TestClearCoversOnlyEarlierCrashes(t *testing.T) {
	s := State{}
	until := baseTime.Add(time.Hour)
	s.RecordCrashes("d", "", []board.ServerIncarnation{incarnation(0), incarnation(1)}, until)
	require.True(t, s.Snapshot(2).IsQuarantined("d", baseTime))
	s.ClearCrashes("d", []board.ServerIncarnation{incarnation(0), incarnation(1)}, until)
	require.Empty(t, s.Snapshot(2).Entries)
	require.False(t, s.RecordCrashes("d", "", []board.ServerIncarnation{incarnation(0)}, until), "a cleared crash counts again")
	require.Empty(t, s.Snapshot(2).Entries)
	s.RecordCrashes("d", "", []board.ServerIncarnation{incarnation(2), incarnation(3)}, until)
	require.True(t, s.Snapshot(2).IsQuarantined("d", baseTime))

	require.True(t, ProvesHarmless([]board.ServerIncarnation{incarnation(0)}, incarnation(1)))
	require.False(t, ProvesHarmless([]board.ServerIncarnation{incarnation(0)}, incarnation(0)))
	require.False(t, ProvesHarmless(nil, incarnation(0)))
}

// Guards against memory that grows with the number of crashes, and against a
// flood of suspected requests that evicts a quarantined one.
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

// Guards against crashes that go undetected, and against state changes that are
// mistaken for a crash.
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

// Guards against suspecting requests that ran on another incarnation or lost
// their connection long before the crash.
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

// Guards against a path whose bytes are no valid text, or a character that the limit
// cuts, which made other nodes refuse all exchanges of the node.
func TestRequestSummaryIsValidText(t *testing.T) {
	for _, path := range []string{"/a/\xff\xfe", "/" + strings.Repeat("ä", maxSummary), "/b" + strings.Repeat("ä", maxSummary)} {
		summary := RequestSummary("GET", "s", path)
		require.True(t, utf8.ValidString(summary), "%q", summary)
		require.LessOrEqual(t, len(summary), maxSummary)
		data, err := cbor.Marshal(board.Suspicion{Digest: "d", Summary: summary})
		require.NoError(t, err)
		var received board.Suspicion
		require.NoError(t, cbor.Unmarshal(data, &received))
	}
}
