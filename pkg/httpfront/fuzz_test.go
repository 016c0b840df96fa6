package httpfront

import (
	"bufio"
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/call"
	"mangostand.example/mangostand/pkg/wire"
)

// Guards against a request that crashes the node or is parsed to values out of
// range.
func FuzzParseRequest(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		req, err := ParseRequest(httptest.NewRecorder(), r)
		if err != nil {
			require.Nil(t, req)
			return
		}
		require.NotContains(t, req.Service, "/")
		require.True(t, strings.HasPrefix(req.Path, "/"))
		require.LessOrEqual(t, req.Depth, call.MaxDepth)
		require.LessOrEqual(t, len(req.Body), wire.MaxBodyBytes)
		for _, name := range replacedHeaders {
			require.Empty(t, req.Header.Values(name))
		}
	})
}

// Guards against malformed or oversized requests that are accepted, or that are
// rejected without the cause.
func TestParseRequestRejectsInvalidRequest(t *testing.T) {
	cases := []struct{ name, header, value, detail string }{
		{"deadline", "Mangostand-Deadline-Ms", "soon", "Mangostand-Deadline-Ms: expected 0 to 600000"},
		{"deadline", "Mangostand-Deadline-Ms", "-1", "Mangostand-Deadline-Ms: expected 0 to 600000"},
		{"deadline", "Mangostand-Deadline-Ms", "99999999999999999999", "Mangostand-Deadline-Ms: expected 0 to 600000"},
		{"priority", "Mangostand-Priority", "urgent", "Mangostand-Priority: unknown priority"},
		{"key", "Idempotency-Key", "1", "Idempotency-Key: expected a UUID version 7"},
		{"key version", "Idempotency-Key", "6f1c2f2e-8a52-4d0c-9c8e-0d8d6d9d7f10", "Idempotency-Key: expected a UUID version 7"},
		{"tree", "Mangostand-Tree", strings.Repeat("t", 65), "Mangostand-Tree: too long"},
		{"depth", "Mangostand-Depth", "8", "Mangostand-Depth: expected 0 to 7"},
		{"attempts", "Mangostand-Attempts", "101", "Mangostand-Attempts: expected 0 to 100"},
	}
	for _, c := range cases {
		r := httptest.NewRequest(http.MethodGet, "/atelier-suivi/histories", nil)
		r.Header.Set(c.header, c.value)
		_, err := ParseRequest(httptest.NewRecorder(), r)
		require.EqualError(t, err, c.detail, c.name)
	}
	for _, path := range []string{"/atelier-suivi/histories/../bookings", "/atelier-suivi/histories/%2e%2E/bookings", "/a/./b", "/a/b%2Fc"} {
		_, err := ParseRequest(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
		require.ErrorContains(t, err, "path: ", path)
	}
	r := httptest.NewRequest(http.MethodPost, "/atelier-suivi/bookings", bytes.NewReader(make([]byte, wire.MaxBodyBytes+1)))
	_, err := ParseRequest(httptest.NewRecorder(), r)
	require.EqualError(t, err, "request body is larger than 1048576 bytes")
}
