package cli

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a load report whose counts differ from the responses of the node.
func TestLoadReportsOutcomes(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/s/x" {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		w.Header().Set("Mangostand-Outcome", "succeeded")
		w.Header().Set("Mangostand-Backend-Server", "n1")
	}))
	defer node.Close()
	status, stdout, stderr := runCommand("load", "--target", node.URL, "--service", "s", "--path", "/x",
		"--rate", "100", "--duration", "300ms", "--warmup", "0s")
	require.Equal(t, ExitOK, status, stderr)
	require.Contains(t, stdout, "outcome     succeeded")
	require.Contains(t, stdout, "answered    n1")
	require.NotContains(t, stdout, "unknown")
}

// Guards against a load run that starts although a flag is missing or invalid.
func TestLoadRejectsInvalidFlags(t *testing.T) {
	for _, args := range [][]string{
		{"load"},
		{"load", "--target", "http://127.0.0.1:1"},
		{"load", "--target", "http://127.0.0.1:1", "--service", "s", "--path", "x"},
		{"load", "--target", "http://127.0.0.1:1", "--service", "s", "--rate", "0"},
		{"load", "--target", "http://127.0.0.1:1", "--service", "s", "--duration", "1s", "--warmup", "2s"},
	} {
		status, _, stderr := runCommand(args...)
		require.Equal(t, ExitBadInput, status)
		require.NotEmpty(t, stderr)
	}
}
