package queueing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/decide/estimate"
)

const ms = time.Millisecond

var now = time.Unix(1000, 0)

// job returns a job of 100 ms whose deadline is twice its objective.
func job(rank int, objective time.Duration) Job {
	return Job{Rank: rank, NominalTime: 100 * ms, Objective: now.Add(objective), Deadline: now.Add(2 * objective)}
}

// load returns the load of a backend server with four slots.
func load(running, waiting int, slowdown float64) estimate.Load {
	return estimate.Load{Running: running, Waiting: waiting, Slots: 4, Speed: estimate.Speed{Slowdown: slowdown}, MeanServiceTime: 100 * ms}
}

// Guards against admission of calls that can't be in time and would delay
// others, and against refusals while there is room.
func TestAdmit(t *testing.T) {
	limited := job(1, 600*ms)
	nested := job(1, 300*ms)
	nested.Nested = true
	limited.MaxResponseTime = 150 * ms
	for name, c := range map[string]struct {
		job    Job
		load   estimate.Load
		result Result
	}{
		"free":                      {job(1, 300*ms), load(0, 0, 1), Accepted},
		"free but slow":             {job(1, 300*ms), load(0, 0, 7), Accepted},
		"some slots free, slow":     {job(1, 150*ms), load(3, 0, 7), Accepted},
		"busy and slow":             {job(1, 150*ms), load(4, 0, 7), TooLate},
		"short queue":               {job(1, 300*ms), load(4, 1, 1), Accepted},
		"wait above its share":      {job(1, 300*ms), load(4, 3, 1), TooLate},
		"nested call may wait":      {nested, load(4, 3, 1), Accepted},
		"queue beyond objective":    {job(1, 300*ms), load(4, 12, 1), TooLate},
		"deadline has passed":       {job(1, 10*ms), load(0, 0, 1), TooLate},
		"another one is faster":     {limited, load(4, 3, 1), SlowerThanAlternative},
		"this one is fast enough":   {limited, load(0, 0, 1), Accepted},
		"queue is full":             {job(1, time.Minute), load(4, 32, 1), QueueFull},
		"long queue, long deadline": {job(1, time.Minute), load(4, 31, 1), Accepted},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.result, Admit(c.job, c.load, now).Result)
		})
	}
}

// Guards against giving a slot to a late call while a call that can be in time
// waits, and against serving a lower priority first.
func TestNext(t *testing.T) {
	late, urgent, lowRank := job(0, 10*ms), job(1, 500*ms), job(2, 400*ms)
	sooner := job(2, 200*ms)
	require.Equal(t, 1, Next([]Job{late, urgent, lowRank}, now))
	require.Equal(t, 1, Next([]Job{lowRank, urgent}, now))
	require.Equal(t, 1, Next([]Job{lowRank, sooner}, now))
	require.Equal(t, 0, Next([]Job{late, job(2, 20*ms)}, now))
}

// Guards against advice to retry so late that the retry can't be in time,
// although an earlier one could have been.
func TestRetryAfterLeavesTimeForTheCall(t *testing.T) {
	require.Equal(t, 50*ms, RetryAfter(50*ms, 300*ms, time.Second, 100*ms))
	require.Equal(t, 170*ms, RetryAfter(time.Second, 300*ms, time.Second, 100*ms))
	require.Equal(t, 370*ms, RetryAfter(time.Second, 100*ms, 500*ms, 100*ms))
	require.Equal(t, minRetryAfter, RetryAfter(0, 300*ms, time.Second, 100*ms))
	require.Equal(t, maxRetryAfter, RetryAfter(time.Hour, 0, time.Hour, 100*ms))
}

// Guards against admitting a call that a cold backend server can't answer in
// time.
func TestColdServerRefusesCallsThatWouldBeLate(t *testing.T) {
	call := job(1, 370*ms)
	cold := load(4, 0, 4)
	require.Equal(t, Accepted, Admit(call, cold, now).Result)
	cold.MinSlowdown, call.MinSlowdown = 2, 2
	require.Equal(t, TooLate, Admit(call, cold, now).Result)
	require.Equal(t, now.Add(250*ms), LatestStart(call))
}

// Plays a service at 1.6 times its capacity with 4 slots, calls of 100 ms and an
// objective of 500 ms. The queue must stay so short that responses come well before the
// objective, since nested calls and slow hosts add to the time, and the slots must stay
// busy.
func TestQueueStaysShortUnderOverload(t *testing.T) {
	const slots, service, objective = 4, 100 * ms, 500 * ms
	interval := time.Duration(float64(service) / (1.6 * slots))
	var ends, starts []time.Time
	served, slowest := 0, time.Duration(0)
	for i := range 2000 {
		arrival := now.Add(time.Duration(i) * interval)
		running, waiting := 0, 0
		for k, end := range ends {
			switch {
			case starts[k].After(arrival):
				waiting++
			case end.After(arrival):
				running++
			}
		}
		call := Job{NominalTime: service, Objective: arrival.Add(objective), Deadline: arrival.Add(2 * objective)}
		if Admit(call, load(running, waiting, 1), arrival).Result != Accepted {
			continue
		}
		start := arrival
		if len(ends) >= slots && ends[len(ends)-slots].After(arrival) {
			start = ends[len(ends)-slots]
		}
		starts, ends = append(starts, start), append(ends, start.Add(service))
		slowest = max(slowest, start.Add(service).Sub(arrival))
		served++
	}
	require.LessOrEqual(t, slowest, 300*ms)
	require.Greater(t, float64(served)*float64(service)/slots/float64(2000*interval), 0.97, "busy share of the slots")
}

// Guards against a slot for nested jobs that goes to another job, or to a nested job that
// is late while another one is not.
func TestNextNestedChoosesAmongNestedJobsOnly(t *testing.T) {
	now := time.Unix(0, 0)
	at := func(nested bool, objective time.Duration) Job {
		return Job{Nested: nested, NominalTime: 10 * time.Millisecond, Objective: now.Add(objective)}
	}
	require.Equal(t, -1, NextNested(nil, now))
	require.Equal(t, -1, NextNested([]Job{at(false, time.Second)}, now))
	jobs := []Job{at(false, time.Second), at(true, time.Millisecond), at(true, 3*time.Second), at(true, 2*time.Second)}
	require.Equal(t, 3, NextNested(jobs, now))
}
