package opsapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

func call(b *board.Board, method, path, body string) int {
	w := httptest.NewRecorder()
	NewHandler(b, http.NotFoundHandler(), nil).ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code
}

// Guards against a node that counts as ready without a configuration or while
// it drains, and against a log level that is taken unchecked.
func TestReadinessAndLogLevel(t *testing.T) {
	b := board.New("atelier-1")
	require.Equal(t, http.StatusServiceUnavailable, call(b, "GET", "/readyz", ""))
	b.Config.Claim("test").Publish(&dynconf.Config{Version: 1})
	require.Equal(t, http.StatusOK, call(b, "GET", "/readyz", ""))
	b.LocalServer.Claim("test").Publish(&board.LocalServer{Announced: true, Draining: true})
	require.Equal(t, http.StatusServiceUnavailable, call(b, "GET", "/readyz", ""))
	require.Equal(t, http.StatusBadRequest, call(b, "PUT", "/v1/log-level", "loud"))
	require.Equal(t, http.StatusBadRequest, call(b, "PUT", "/v1/log-level", ""))
	require.Equal(t, http.StatusRequestEntityTooLarge, call(b, "PUT", "/v1/log-level", strings.Repeat("x", 5000)))
	require.Equal(t, http.StatusNoContent, call(b, "PUT", "/v1/log-level", "info"))
}
