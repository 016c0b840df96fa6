package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/standin/executionlog"
)

// Guards against a recorded input that a quickstart cannot replay.
func TestRecordedInputs(t *testing.T) {
	for _, site := range sites {
		list, err := readInput("../" + site.Name + "/requests.tsv")
		require.NoError(t, err)
		kinds := map[string]bool{}
		for _, r := range list {
			kinds[r.Kind] = true
		}
		require.Len(t, kinds, 3)
		require.True(t, kinds[site.Booking])
	}
	for _, bad := range []string{"", "1\ta\tb\tGET\t/x\t-", "-1\ta\tb\tGET\t/x/y\t-", "2000\ta\tb\tGET\t/x/y\t-"} {
		_, err := parseRecorded(bad)
		require.Error(t, err, bad)
	}
}

func testResults() *results {
	booking := Recorded{Kind: "booking", Method: http.MethodPost, Service: "atelier-suivi", Path: "/bookings/lathe-1"}
	read := Recorded{Kind: "history", Method: http.MethodGet, Service: "atelier-suivi", Path: "/histories/wheelset-1"}
	list := []Result{
		{Call: Call{Recorded: booking, Nonce: "b1"}, Outcome: "succeeded", Latency: time.Millisecond},
		{Call: Call{Recorded: read, Nonce: "h1"}, Outcome: "succeeded", Latency: time.Millisecond},
	}
	return &results{direct: list, mesh: list, faults: list, killed: &host{name: "atelier-2"}, drained: &host{name: "atelier-3"}}
}

func problems(f *fleet, r *results, executions []executionlog.Execution) []string {
	var names []string
	for _, c := range runChecks(f, r, executions) {
		if c.problem != "" {
			names = append(names, c.problem)
		}
	}
	return names
}

// Guards against checks that pass whatever happened.
func TestChecksFindFaults(t *testing.T) {
	f := &fleet{site: siteByName("thies")}
	once := []executionlog.Execution{{ID: "e1", Nonce: "b1"}}
	require.Empty(t, problems(f, testResults(), once))

	twice := append(once, executionlog.Execution{ID: "e2", Nonce: "b1"})
	require.Equal(t, []string{"1 ran more than once"}, problems(f, testResults(), twice))

	require.Len(t, problems(f, testResults(), nil), 1)

	r := testResults()
	r.faults = append(r.faults, Result{Call: Call{Recorded: Recorded{Kind: "booking", Method: http.MethodPost}, Nonce: "b2"}, Outcome: "not-run"})
	require.Empty(t, problems(f, r, once))
	require.Len(t, problems(f, r, append(once, executionlog.Execution{ID: "e2", Nonce: "b2"})), 1)

	r = testResults()
	r.direct[1].Mismatch = "answer of another request"
	require.Len(t, problems(f, r, once), 1)

	r = testResults()
	r.afterDrain = 1
	require.Equal(t, []string{"1 calls"}, problems(f, r, once))

	require.NotEmpty(t, problems(f, &results{drained: &host{}}, nil))
}

// Guards against quantiles that leave out the slowest call.
func TestQuantile(t *testing.T) {
	sorted := []time.Duration{1, 2, 3, 4}
	require.Equal(t, time.Duration(3), quantile(sorted, 0.5))
	require.Equal(t, time.Duration(4), quantile(sorted, 0.999))
	require.Zero(t, quantile(nil, 0.5))
}
