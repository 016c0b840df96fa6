package store

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/platform"
)

func send(t *testing.T, s *Store, method, path, body string) (int, string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	s.Handler().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body)))
	return recorder.Code, recorder.Body.String()
}

// Guards against a roll-back over HTTP that keeps newer data, and against
// controls that accept a misspelt fault.
func TestControls(t *testing.T) {
	s := New(time.Now)
	first, err := s.CompareAndSwap("k", 0, []byte("old"), "")
	require.NoError(t, err)
	status, _ := send(t, s, http.MethodPost, "/standin/snapshots/before", "")
	require.Equal(t, http.StatusNoContent, status)
	_, err = s.CompareAndSwap("k", first, []byte("new"), "")
	require.NoError(t, err)
	status, _ = send(t, s, http.MethodPost, "/standin/snapshots/before/restore", "")
	require.Equal(t, http.StatusNoContent, status)
	entry, err := s.Get("k")
	require.NoError(t, err)
	require.Equal(t, "old", string(entry.Value))
	require.Equal(t, first, entry.Revision)
	status, _ = send(t, s, http.MethodPut, "/standin/faults", `{"outrage":true}`)
	require.Equal(t, http.StatusBadRequest, status)
	status, _ = send(t, s, http.MethodPut, "/standin/faults", `{"outage":true}`)
	require.Equal(t, http.StatusOK, status)
	status, _ = send(t, s, http.MethodGet, platform.StoreProbePath, "")
	require.Equal(t, http.StatusServiceUnavailable, status)
	_, calls := send(t, s, http.MethodGet, "/standin/calls", "")
	require.JSONEq(t, `{"by_kind":{"list":1},"rejected":0,"waiting":0}`, calls)
}

// Guards against waiting watches that the rate of the store does not feel, and
// against an expiry that goes on while it is paused.
func TestWatchesCountAndExpiryPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(time.Now)
		s.SetFaults(Faults{ReadRate: 2, PauseExpiry: true})
		lease := s.Grant(time.Second)
		for range 4 {
			go func() { _, _ = s.Changes("missing", 0, 10*time.Second, nil) }()
		}
		time.Sleep(5 * time.Second)
		status, _ := send(t, s, http.MethodGet, platform.StoreProbePath, "")
		require.Equal(t, http.StatusTooManyRequests, status)
		require.Equal(t, 4, s.RequestStats().WaitingWatches)
		require.NoError(t, s.Renew(lease.ID))
		s.SetFaults(Faults{})
		time.Sleep(2 * time.Second)
		require.ErrorIs(t, s.Renew(lease.ID), errNotFound)
		time.Sleep(10 * time.Second)
	})
}
