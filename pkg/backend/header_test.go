package backend

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hop-by-hop headers that are forwarded in either direction, among
// them those that the Connection header lists (RFC 9110, 7.6.1), and against a
// caller that removes a header of the mesh by listing it there.
func TestHopByHopHeadersAreRemoved(t *testing.T) {
	var received http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Header.Clone()
		w.Header().Set("Connection", "X-Answer-Hop")
		w.Header().Set("X-Answer-Hop", "1")
		w.Header().Set("X-Answer", "1")
	}))
	defer server.Close()
	header := http.Header{
		"Connection": {"keep-alive, x-hop", "X-Other-Hop ,idempotency-key"},
		"Keep-Alive": {"timeout=5"}, "Te": {"trailers"}, "Upgrade": {"websocket"},
		"X-Hop": {"1"}, "X-Other-Hop": {"1"}, "X-Kept": {"1"},
	}
	response, err := NewClient(1).Do(t.Context(), &Request{
		Addr: server.Listener.Addr().String(), Method: http.MethodGet, Path: "/", Header: header, RequestID: "r", IdempotencyKey: "k",
	})
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	for _, name := range []string{"Connection", "Keep-Alive", "Te", "Upgrade", "X-Hop", "X-Other-Hop"} {
		require.Empty(t, received.Values(name), name)
	}
	require.Equal(t, "1", received.Get("X-Kept"))
	require.Equal(t, "k", received.Get(HeaderIdempotencyKey))
	require.Empty(t, response.Header.Values("X-Answer-Hop"))
	require.Equal(t, "1", response.Header.Get("X-Answer"))
	require.Equal(t, "1", header.Get("X-Hop"), "the caller's headers were modified")
}
