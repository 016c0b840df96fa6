package call_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/call"
)

// Guards against a node without a configuration, which has just started, that
// reports not-run for a key that has run on another node.
func TestNodeWithoutConfigurationReportsUnknown(t *testing.T) {
	entry := &call.Entry{Board: board.New("n0")}
	req := &call.Request{Service: "bookings", Method: http.MethodPost, Path: "/", Caller: "atelier", Key: "019bb1e2-0000-7000-8000-000000000000"}
	result := entry.Serve(context.Background(), req)
	require.Equal(t, board.OutcomeUnknown, result.Outcome)
	require.Equal(t, http.StatusServiceUnavailable, result.Status)
	req.Key = ""
	require.Equal(t, board.OutcomeNotRun, entry.Serve(context.Background(), req).Outcome)
}
