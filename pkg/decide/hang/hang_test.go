package hang

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

var now = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return now.Add(d) }

// Guards against a slot that is given to a new call while an abandoned one may still
// take it, and against one that stays taken after the server has dropped the call.
func TestOccupied(t *testing.T) {
	before := Abandoned{At: at(-100 * ms), EndsBy: at(50 * ms)}
	after := Abandoned{At: at(-20 * ms), EndsBy: at(50 * ms)}
	ended := Abandoned{At: at(-20 * ms), EndsBy: at(0)}
	report := func(total, sent int, age time.Duration) Report {
		return Report{Total: total, Sent: sent, RequestedAt: at(-age), ReceivedAt: at(-age)}
	}
	for name, c := range map[string]struct {
		calls  []Abandoned
		report Report
		want   int
	}{
		"nothing":                       {nil, Report{}, 0},
		"no report":                     {[]Abandoned{before, after, ended}, Report{}, 2},
		"dropped before the report":     {[]Abandoned{before}, report(3, 3, 50*ms), 0},
		"runs according to the report":  {[]Abandoned{before}, report(4, 3, 50*ms), 1},
		"abandoned after the report":    {[]Abandoned{before, after}, report(3, 3, 50*ms), 1},
		"abandoned just before it":      {[]Abandoned{{At: at(-55 * ms), EndsBy: at(50 * ms)}}, report(3, 3, 50*ms), 1},
		"both":                          {[]Abandoned{before, after}, report(4, 3, 50*ms), 2},
		"the report has newer calls":    {[]Abandoned{before}, report(7, 3, 50*ms), 1},
		"a call hangs":                  {[]Abandoned{before}, Report{Total: 3, Sent: 3, Hung: 1, RequestedAt: at(-50 * ms), ReceivedAt: at(-50 * ms)}, 1},
		"more sent than the server has": {[]Abandoned{before}, report(1, 3, 50*ms), 0},
		"old report":                    {[]Abandoned{before}, report(3, 3, 1100*ms), 1},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, Occupied(c.calls, c.report, now)) })
	}
}

// Guards against an abandoned call that counts for less than its time on a slow host,
// and against one that counts for ever.
func TestAbandon(t *testing.T) {
	require.Equal(t, at(125*ms), Abandon(100*ms, 75*ms, 1, now).EndsBy)
	require.Equal(t, at(400*ms), Abandon(100*ms, 0, 2, now).EndsBy)
	require.Equal(t, now, Abandon(100*ms, 400*ms, 1, now).EndsBy)
	require.Equal(t, at(maxAbandonedTime), Abandon(time.Minute, 0, 7, now).EndsBy)
	require.Len(t, Unfinished([]Abandoned{Abandon(100*ms, 0, 1, now), Abandon(100*ms, 100*ms, 1, now)}, at(110*ms)), 1)
}

// Guards against calls of an earlier process that are forgotten while they run, and
// against later load of the server that is taken for them.
func TestInherited(t *testing.T) {
	count := -1
	for _, step := range []struct{ total, sent, want int }{{6, 0, 6}, {7, 1, 6}, {6, 2, 4}, {9, 2, 4}, {4, 4, 0}, {8, 4, 0}} {
		count = Inherited(count, Report{Total: step.total, Active: step.sent})
		require.Equal(t, step.want, count)
	}
}

// Guards against a slow call, a call that waits for nested calls, or a report taken
// while calls were on their way, any of which is taken for a server that hangs.
func TestHangs(t *testing.T) {
	require.False(t, Overdue(100*ms, 240*ms))
	require.True(t, Overdue(100*ms, 250*ms))
	require.False(t, Overdue(0, time.Second))
	report := Report{Total: 2, RequestedAt: now}
	require.True(t, report.Covers(at(-10*ms)))
	require.False(t, report.Covers(at(-9*ms)), "the request may not have arrived")
	require.False(t, Report{}.Covers(now))
	require.Equal(t, 1, Missing(1, Report{Total: 2, Sent: 2}), "the server knows all calls")
	require.Equal(t, 2, Missing(1, Report{Total: 2, Sent: 3}))
	report = Report{Total: 2, Sent: 3, RequestedAt: now, ReceivedAt: at(ms)}
	require.Equal(t, 2, report.WithoutEnded(at(-20*ms), at(5*ms)).Sent, "the response was on its way")
	require.Equal(t, 3, report.WithoutEnded(at(-20*ms), at(30*ms)).Sent)
	require.Equal(t, 3, report.WithoutEnded(at(-5*ms), at(5*ms)).Sent, "the report does not count the call")
	require.True(t, Hangs(true, 2))
	require.False(t, Hangs(true, 1))
	require.False(t, Hangs(false, 9))
}
