package evacuation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

func state(era, revision uint64, settled bool, domains ...string) *board.Evacuation {
	return &board.Evacuation{Era: era, Revision: revision, Settled: settled, Domains: domains}
}

// Guards against an evacuation that ends because of an older state, of a read while the
// store was unstable, or of a node that has just started, and against one that outlives
// a settled read without its key.
func TestMerge(t *testing.T) {
	for name, test := range map[string]struct{ a, b, want *board.Evacuation }{
		"first state":                             {state(0, 0, false), state(0, 5, true, "a"), state(0, 5, true, "a")},
		"higher revision":                         {state(1, 5, true, "a"), state(1, 6, true, "b"), state(1, 6, true, "b")},
		"removed":                                 {state(1, 5, true, "a"), state(1, 6, true), state(1, 6, true)},
		"higher era with a lower revision":        {state(1, 90, true, "a"), state(2, 6, true, "b"), state(2, 6, true, "b")},
		"missing in an unsettled read":            {state(1, 5, true, "a"), state(1, 6, false, "b"), state(1, 6, false, "a", "b")},
		"missing in an older copy, unsettled":     {state(1, 90, true, "a"), state(2, 6, false), state(2, 6, false, "a")},
		"missing in an older copy, settled":       {state(1, 90, true, "a"), state(2, 6, true), state(2, 6, true)},
		"settled after unsettled, same revision":  {state(2, 6, false, "a"), state(2, 6, true), state(2, 6, true)},
		"new node without knowledge of an older":  {state(2, 6, false), state(1, 90, true, "a"), state(2, 6, false, "a")},
		"unsettled after a settled removal":       {state(2, 7, true), state(2, 6, false, "a"), state(2, 7, true)},
		"equal revision, different sets":          {state(1, 5, true, "a"), state(1, 5, true, "b"), state(1, 5, true, "a", "b")},
		"equal states":                            {state(1, 5, true, "a"), state(1, 5, true, "a"), state(1, 5, true, "a")},
		"unsettled state contains the earlier":    {state(1, 5, false, "a", "b"), state(1, 4, true, "b"), state(1, 5, false, "a", "b")},
		"store that never came back, no era":      {state(0, 5, true, "a"), state(0, 9, false), state(0, 9, false, "a")},
		"store that gets an era by its operators": {state(0, 900, true, "a"), state(1, 3, true), state(1, 3, true)},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, Merge(test.a, test.b))
			require.Equal(t, test.want, Merge(test.b, test.a), "the order of arrival does not matter")
			require.Equal(t, test.want, Merge(test.want, test.a), "a message that arrives again changes nothing")
		})
	}
}

// Guards against a section that is published, and messages that are sent, although a
// read says nothing new, in particular in a deployment that never evacuates.
func TestApplyPublishesOnlyChanges(t *testing.T) {
	for name, test := range map[string]struct {
		current, read *board.Evacuation
		changed       bool
	}{
		"never used":                   {state(0, 0, false), state(0, 70, true), false},
		"never used, unsettled":        {state(0, 0, false), state(0, 70, false), false},
		"first era":                    {state(0, 0, false), state(1, 70, false), true},
		"first era, settled":           {state(1, 70, false), state(1, 71, true), true},
		"unchanged set":                {state(1, 70, true, "a"), state(1, 99, true, "a"), false},
		"unchanged set, unsettled":     {state(1, 70, false, "a"), state(1, 99, false, "a"), false},
		"evacuated":                    {state(0, 0, false), state(0, 70, false, "a"), true},
		"removed, unsettled":           {state(0, 70, true, "a"), state(0, 75, false), true},
		"removed":                      {state(0, 70, true, "a"), state(0, 75, true), true},
		"older read of another node":   {state(0, 75, true), state(0, 70, true, "a"), false},
		"older copy without the key":   {state(1, 75, true, "a"), state(2, 60, false), true},
		"another evacuation is behind": {state(1, 75, false, "a"), state(1, 80, true, "a", "b"), true},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.changed, Apply(test.current, test.read) != test.current)
		})
	}
	kept := Apply(state(0, 70, true, "a"), state(0, 75, false))
	require.Equal(t, []string{"a"}, kept.Domains, "a missing key in an unsettled read is kept")
}

// Guards against a missing key that counts as removed although the store failed or came
// back from an older copy less than 2 s before the read.
func TestStability(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, test := range map[string]struct {
		era            func(s Stability) Stability
		readAt         time.Time
		reachableSince time.Time
		settled        bool
		eraSettled     bool
	}{
		"no response yet":            {func(s Stability) Stability { return s }, at(10), time.Time{}, false, true},
		"first response":             {func(s Stability) Stability { return s.AfterResponse(0, at(10)) }, at(10), time.Time{}, false, true},
		"two seconds later":          {func(s Stability) Stability { return s.AfterResponse(0, at(8)).AfterResponse(0, at(9)) }, at(10), time.Time{}, true, true},
		"failure in between":         {func(s Stability) Stability { return s.AfterResponse(0, at(1)).AfterFailure().AfterResponse(0, at(9)) }, at(10), time.Time{}, false, true},
		"other controller failed":    {func(s Stability) Stability { return s.AfterResponse(0, at(1)) }, at(10), at(9), false, true},
		"other controller succeeded": {func(s Stability) Stability { return s.AfterResponse(0, at(1)) }, at(10), at(8), true, true},
		"first era":                  {func(s Stability) Stability { return s.AfterResponse(4, at(9)) }, at(10), time.Time{}, false, false},
		"era rose":                   {func(s Stability) Stability { return s.AfterResponse(1, at(1)).AfterResponse(2, at(8.5)) }, at(10), time.Time{}, false, false},
		"era rose two seconds ago":   {func(s Stability) Stability { return s.AfterResponse(1, at(1)).AfterResponse(2, at(8)) }, at(10), time.Time{}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := test.era(Stability{})
			require.Equal(t, test.settled, s.Settled(test.readAt, test.reachableSince))
			require.Equal(t, test.eraSettled, s.EraSettled(test.readAt))
		})
	}
}

// Guards against keys of unknown failure domains that crowd out existing ones in the
// headers of calls, whose size is limited.
func TestBoundKeepsExistingDomains(t *testing.T) {
	var domains []string
	for i := range 100 {
		domains = append(domains, fmt.Sprintf("d%03d", i))
	}
	kept, dropped := Bound(domains, func(d string) bool { return d >= "d095" })
	require.Len(t, kept, maxDomains)
	require.Equal(t, 100-maxDomains, dropped)
	require.Equal(t, domains[95:], kept[maxDomains-5:])
	require.Equal(t, domains[:maxDomains-5], kept[:maxDomains-5])
	kept, dropped = Bound(domains[:3], func(string) bool { return false })
	require.Equal(t, domains[:3], kept)
	require.Zero(t, dropped)
}

// Guards against a restarted executor that runs calls of an entry which lost contact
// with the store, and so may not know of an evacuation, before it knows itself.
func TestAcceptsBeforeConfiguration(t *testing.T) {
	require.True(t, AcceptsBeforeConfiguration(1500*time.Millisecond, 5*time.Second, false))
	require.False(t, AcceptsBeforeConfiguration(2600*time.Millisecond, 5*time.Second, false))
	require.False(t, AcceptsBeforeConfiguration(time.Hour, 5*time.Second, false))
	require.True(t, AcceptsBeforeConfiguration(time.Hour, 5*time.Second, true), "calls go on while the store is away")
	require.True(t, AcceptsBeforeConfiguration(time.Hour, 0, false))
}
