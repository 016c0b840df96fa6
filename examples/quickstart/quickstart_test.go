package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/standin/executionlog"
)

// Guards against a recording that the quickstart cannot replay, and against a
// parser that accepts an invalid line.
func TestRecordingsAreValid(t *testing.T) {
	for _, site := range sites {
		list, err := readRecording("../" + site.Name + "/requests.tsv")
		require.NoError(t, err)
		kinds := map[string]bool{}
		for _, r := range list {
			kinds[r.Kind] = true
		}
		require.Len(t, kinds, 3)
		require.True(t, kinds[site.BookingKind])
	}
	for _, invalid := range []string{"", "1\ta\tb\tGET\t/x\t-", "-1\ta\tb\tGET\t/x/y\t-", "2000\ta\tb\tGET\t/x/y\t-"} {
		_, err := parseRecordedCall(invalid)
		require.Error(t, err, invalid)
	}
}

// newTestResults returns the results of a run that passes all checks.
func newTestResults() *results {
	booking := RecordedCall{Kind: "booking", Method: http.MethodPost, Service: "atelier-suivi", Path: "/bookings/lathe-1"}
	read := RecordedCall{Kind: "history", Method: http.MethodGet, Service: "atelier-suivi", Path: "/histories/wheelset-1"}
	list := []Result{
		{Call: Call{RecordedCall: booking, Nonce: "b1"}, Outcome: "succeeded", Latency: time.Millisecond},
		{Call: Call{RecordedCall: read, Nonce: "h1"}, Outcome: "succeeded", Latency: time.Millisecond},
	}
	return &results{direct: list, mesh: list, duringFaults: list, killed: &instance{name: "atelier-2"}, drained: &instance{name: "atelier-3"}}
}

// failures returns the messages of the failed checks.
func failures(f *fleet, r *results, executions []executionlog.Execution) []string {
	var messages []string
	for _, c := range runChecks(f, r, executions) {
		if c.failure != "" {
			messages = append(messages, c.failure)
		}
	}
	return messages
}

// Guards against checks that pass although their guarantee was violated.
func TestChecksDetectViolations(t *testing.T) {
	f := &fleet{site: siteByName("thies")}
	once := []executionlog.Execution{{ID: "e1", Nonce: "b1"}}
	require.Empty(t, failures(f, newTestResults(), once))

	twice := append(once, executionlog.Execution{ID: "e2", Nonce: "b1"})
	require.Equal(t, []string{"1 ran more than once"}, failures(f, newTestResults(), twice))

	require.Len(t, failures(f, newTestResults(), nil), 1)

	r := newTestResults()
	r.duringFaults = append(r.duringFaults, Result{Call: Call{RecordedCall: RecordedCall{Kind: "booking", Method: http.MethodPost}, Nonce: "b2"}, Outcome: "not-run"})
	require.Empty(t, failures(f, r, once))
	require.Len(t, failures(f, r, append(once, executionlog.Execution{ID: "e2", Nonce: "b2"})), 1)

	r = newTestResults()
	r.direct[1].Mismatch = "answer of another request"
	require.Len(t, failures(f, r, once), 1)

	r = newTestResults()
	r.completedAfterDrain = 1
	require.Equal(t, []string{"1 calls"}, failures(f, r, once))

	require.NotEmpty(t, failures(f, &results{drained: &instance{}}, nil))
}

// Guards against quantiles that exclude the slowest call.
func TestQuantileIncludesSlowestCall(t *testing.T) {
	sorted := []time.Duration{1, 2, 3, 4}
	require.Equal(t, time.Duration(3), quantile(sorted, 0.5))
	require.Equal(t, time.Duration(4), quantile(sorted, 0.999))
	require.Zero(t, quantile(nil, 0.5))
}
