package metrics

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Guards against lost counts when the first calls of a service are concurrent,
// against label values that differ from the names of outcomes and instances,
// and against two nodes in one process that share a registry.
func TestCallsAreCountedByServiceAndOutcome(t *testing.T) {
	scope, handler, closer := New(map[string]string{"node": "atelier-1"})
	_, otherHandler, otherCloser := New(map[string]string{"node": "atelier-2"})
	calls := NewCallMetrics(scope)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			calls.CallFinished("atelier-suivi", board.OutcomeSucceeded, time.Millisecond)
			calls.CallFinished("atelier-suivi", board.OutcomeNotRun, 0)
		})
	}
	wg.Wait()
	require.NoError(t, closer.Close())
	require.NoError(t, otherCloser.Close())
	text := scrape(handler)
	require.Contains(t, text, `mangostand_calls_total{node="atelier-1",outcome="succeeded",service="atelier-suivi"} 8`)
	require.Contains(t, text, `mangostand_calls_total{node="atelier-1",outcome="not-run",service="atelier-suivi"} 8`)
	require.Contains(t, text, `mangostand_call_latency_seconds_count{node="atelier-1",service="atelier-suivi"} 8`)
	require.NotContains(t, scrape(otherHandler), "mangostand_calls_total")
}

func scrape(handler http.Handler) string {
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}
