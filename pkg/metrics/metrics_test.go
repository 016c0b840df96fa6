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

// Guards against calls that are lost when two first calls of a service race,
// against label values that differ from the names of outcomes and instances,
// and against two nodes in one process that share a registry.
func TestCallsAreCounted(t *testing.T) {
	scope, handler, closer := New(map[string]string{"node": "atelier-1"})
	_, other, otherCloser := New(map[string]string{"node": "atelier-2"})
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
	require.NotContains(t, scrape(other), "mangostand_calls_total")
}

func scrape(handler http.Handler) string {
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}
