package call

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Guards against a call that is reported as not-run although an earlier call
// with its key has run. This happens if the call is refused before the key is
// claimed, for example because the route has been retired.
func TestRefusedCallReturnsRecordedOutcome(t *testing.T) {
	mesh := newTestMesh(t, "", respondWith(201), respondWith(201))
	key := newKey()
	first := mesh.call(t, &Request{Method: http.MethodPost, Key: key, Caller: "c", AttemptsLeft: -1})
	require.Equal(t, board.OutcomeSucceeded, first.Outcome)

	refuse := func(method, key string) *Result {
		req := &Request{ID: "r2", Service: "s", Path: "/x", Method: method, Key: key, Caller: "c"}
		return mesh.entry.refuse(t.Context(), req, board.ReasonRetired)
	}
	repeated := refuse(http.MethodPost, key)
	require.Equal(t, board.OutcomeSucceeded, repeated.Outcome)
	require.Equal(t, 201, repeated.Status)
	unused := refuse(http.MethodPost, newKey())
	require.Equal(t, board.OutcomeNotRun, unused.Outcome, unused.Reason)
	require.Equal(t, board.OutcomeNotRun, refuse(http.MethodPost, "").Outcome)
	require.Equal(t, http.StatusGone, refuse(http.MethodPost, "").Status)
}

// Guards against a call that is reported as not-run while another call with its
// key is running.
func TestKeyInProgressIsNotReportedAsNotRun(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	block := func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	}
	mesh := newTestMesh(t, "", block, block)
	releaseOnce := sync.OnceFunc(func() { close(release) })
	defer releaseOnce()
	key := newKey()
	ch := make(chan *Result, 1)
	go func() { ch <- mesh.call(t, &Request{Method: http.MethodPost, Key: key, Caller: "c", AttemptsLeft: -1}) }()
	<-started
	repeated := mesh.entry.refuse(t.Context(), &Request{
		ID: "r2", Service: "s", Path: "/x", Method: http.MethodPost, Key: key, Caller: "c",
	}, board.ReasonRetired)
	require.Equal(t, board.OutcomeUnknown, repeated.Outcome)
	require.Equal(t, http.StatusConflict, repeated.Status)
	releaseOnce()
	require.Equal(t, board.OutcomeSucceeded, (<-ch).Outcome)
}
