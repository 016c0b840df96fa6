package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	now    = time.Unix(1000, 0)
	policy = Policy{Duration: 3 * time.Second, Rate: 12, Overshoot: 1.5, Slack: 8}
)

// Guards against an allowance below what a cold server bears, above the bound, or far
// above the rate, and against one that lets a whole second's calls through at once.
func TestAllowance(t *testing.T) {
	for name, c := range map[string]struct {
		policy Policy
		want   Allowance
	}{
		"first deployment":        {policy, Allowance{PerSecond: 14, PerBurst: 4}},
		"high rate":               {Policy{Rate: 201, Overshoot: 1.5, Slack: 8}, Allowance{PerSecond: 222, PerBurst: 48}},
		"less than one a second":  {Policy{Rate: 0.3, Overshoot: 1.5, Slack: 8}, Allowance{PerSecond: 1, PerBurst: 1}},
		"no overshoot":            {Policy{Rate: 10, Overshoot: 1}, Allowance{PerSecond: 8, PerBurst: 3}},
		"bound permits no call":   {Policy{Rate: 0.5, Overshoot: 1}, Allowance{}},
		"bound far below its own": {Policy{Rate: 100, Overshoot: 0.1, Slack: 2}, Allowance{PerSecond: 10, PerBurst: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, c.policy.Allowance())
			require.LessOrEqual(t, float64(c.want.PerSecond), c.policy.Bound())
		})
	}
}

// Guards against a server that is taken for warm while it is cold, and against a limit
// that the configuration does not ask for.
func TestDecide(t *testing.T) {
	full := History{CurrentEndsIn: BucketWidth}
	full.Counts[0], full.Counts[10] = 7, 7
	for name, c := range map[string]struct {
		policy Policy
		server ServerState
		sender Sender
		ahead  int
		want   Decision
	}{
		"no limit":                    {Policy{Duration: time.Hour}, ServerState{StartedAt: now}, Sender{History: full}, 0, Decision{}},
		"just started":                {policy, ServerState{StartedAt: now.Add(-time.Second)}, Sender{}, 0, Decision{Cold: true, ColdFor: 2 * time.Second}},
		"started long ago":            {policy, ServerState{StartedAt: now.Add(-3 * time.Second)}, Sender{History: full}, 0, Decision{}},
		"no server":                   {policy, ServerState{}, Sender{History: full}, 0, Decision{}},
		"reports that it is warm":     {policy, ServerState{Reported: true, ReportedEnd: now, StartedAt: now}, Sender{History: full}, 0, Decision{}},
		"reports that it is cold":     {policy, ServerState{Reported: true, ReportedEnd: now.Add(time.Second), StartedAt: now.Add(-time.Hour)}, Sender{}, 0, Decision{Cold: true, ColdFor: time.Second}},
		"window full":                 {policy, ServerState{StartedAt: now}, Sender{History: full}, 0, Decision{Cold: true, Wait: BucketWidth, ColdFor: 3 * time.Second}},
		"window full, calls ahead":    {policy, ServerState{StartedAt: now}, Sender{History: full}, 7, Decision{Cold: true, Wait: 12 * BucketWidth, ColdFor: 3 * time.Second}},
		"calls ahead for a second":    {policy, ServerState{StartedAt: now}, Sender{History: full}, 14, Decision{Cold: true, Wait: 53 * BucketWidth, ColdFor: 3 * time.Second}},
		"warm before there is room":   {policy, ServerState{StartedAt: now.Add(-2990 * time.Millisecond)}, Sender{History: full}, 0, Decision{Cold: true, Wait: 10 * time.Millisecond, ColdFor: 10 * time.Millisecond}},
		"node has just started":       {policy, ServerState{StartedAt: now}, Sender{UnknownUntil: now.Add(time.Second)}, 0, Decision{Cold: true, Wait: time.Second, ColdFor: 3 * time.Second}},
		"node started, server warm":   {policy, ServerState{Reported: true, ReportedEnd: now}, Sender{UnknownUntil: now.Add(time.Second)}, 0, Decision{}},
		"the bound permits no call":   {Policy{Duration: 3 * time.Second, Rate: 0.5, Overshoot: 1}, ServerState{StartedAt: now}, Sender{}, 0, Decision{Cold: true, Wait: Buckets * BucketWidth, ColdFor: 3 * time.Second}},
		"many calls in a short burst": {policy, ServerState{StartedAt: now}, Sender{History: burst(4)}, 0, Decision{Cold: true, Wait: 11 * BucketWidth, ColdFor: 3 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, c.policy.Decide(c.server, c.sender, c.ahead, now))
		})
	}
}

// burst returns a history in which all calls are in the current bucket.
func burst(calls int) History {
	h := History{CurrentEndsIn: BucketWidth}
	h.Counts[Buckets-1] = calls
	return h
}

// historyAt returns the history of sent calls at a time.
func historyAt(sent []time.Duration, at time.Duration) History {
	h := History{CurrentEndsIn: BucketWidth - at%BucketWidth}
	for _, s := range sent {
		if age := int(at/BucketWidth) - int(s/BucketWidth); age < Buckets {
			h.Counts[Buckets-1-age]++
		}
	}
	return h
}

// Calls arrive at random times and are sent when Wait says so. Guards against more calls
// in any second than the bound, against a wait that is too short, and against one that
// is longer than needed.
func TestWaitKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{
			Rate: rapid.Float64Range(0.1, 60).Draw(t, "rate"), Overshoot: rapid.Float64Range(1, 2).Draw(t, "overshoot"),
			Slack: rapid.Float64Range(2, 10).Draw(t, "slack"),
		}
		a := p.Allowance()
		var sent []time.Duration
		at := time.Duration(0)
		for range 150 {
			at += time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond
			wait := a.Wait(historyAt(sent, at), 0)
			if wait > 0 {
				early := historyAt(append(sent, at), at)
				require.True(t, a.Exceeded(early), "the wait is longer than needed")
			}
			at += wait
			sent = append(sent, at)
			require.False(t, a.Exceeded(historyAt(sent, at)), "the wait is too short")
		}
		first := 0
		for i := range sent {
			for sent[i]-sent[first] >= time.Second {
				first++
			}
			require.LessOrEqual(t, float64(i-first+1), p.Bound())
		}
	})
}

// Guards against an update of the board for each of many equal reports, and against a
// longer warm-up that is not noticed.
func TestChangedBy(t *testing.T) {
	cold := ServerState{Reported: true, ReportedEnd: now.Add(time.Second)}
	warm := ServerState{Reported: true, ReportedEnd: now.Add(-time.Minute)}
	require.True(t, ServerState{}.ChangedBy(0, now))
	require.False(t, cold.ChangedBy(time.Second, now))
	require.False(t, cold.ChangedBy(950*time.Millisecond, now))
	require.True(t, cold.ChangedBy(0, now))
	require.True(t, cold.ChangedBy(1100*time.Millisecond, now))
	require.False(t, warm.ChangedBy(0, now))
	require.True(t, warm.ChangedBy(3*time.Second, now))
}

// Guards against refused callers that all return at the same time, and against one that
// is told to wait for far longer than the servers stay cold.
func TestRetryAfterIsSpread(t *testing.T) {
	var reservedUntil time.Time
	var all []time.Duration
	for range 30 {
		var retryAfter time.Duration
		retryAfter, reservedUntil = RetryAfter(100*time.Millisecond, reservedUntil, 10, now)
		all = append(all, retryAfter)
	}
	require.Equal(t, 100*time.Millisecond, all[0])
	require.Equal(t, 300*time.Millisecond, all[2])
	require.Equal(t, maxRetryAfter, all[29])
	later, _ := RetryAfter(50*time.Millisecond, reservedUntil, 10, now.Add(time.Minute))
	require.Equal(t, 50*time.Millisecond, later)
}
