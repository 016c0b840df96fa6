package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/opsapi"
)

func runCommand(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	status := Run("test", args, &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

// Guards against a status that omits members or fails when no backend server has
// announced itself, against JSON that a program cannot decode, and against a node
// that is down or an invalid log level that is not reported.
func TestStatusAndLogLevel(t *testing.T) {
	b := board.New("atelier-1")
	member := board.Member{Instance: "atelier-2", Service: "atelier-suivi", State: board.MemberDraining, FailureDomain: "thies-sud", Slots: 10}
	b.Members.Claim("test").Publish(board.NewMembers("atelier-1", map[board.InstanceID]board.Member{"atelier-2": member}))
	node := httptest.NewServer(opsapi.NewHandler(b, http.NotFoundHandler(), nil))
	defer node.Close()

	status, out, errOut := runCommand("status", "--node", node.URL)
	require.Equal(t, ExitOK, status, errOut)
	require.Contains(t, out, "no backend server has announced itself")
	require.Regexp(t, `atelier-2 +atelier-suivi +draining +thies-sud +10`, out)

	status, out, _ = runCommand("status", "--json", "--node", node.URL)
	require.Equal(t, ExitOK, status)
	var decoded opsapi.Status
	require.NoError(t, json.NewDecoder(strings.NewReader(out)).Decode(&decoded))
	require.Equal(t, board.MemberDraining, decoded.Members[0].State)

	status, _, errOut = runCommand("log-level", "loud", "--node", node.URL)
	require.Equal(t, ExitBadInput, status)
	require.Contains(t, errOut, "expected debug, info, warn or error")
	status, _, _ = runCommand("log-level", "info", "--node", node.URL)
	require.Equal(t, ExitOK, status)
	node.Close()
	status, out, errOut = runCommand("status", "--node", node.URL)
	require.Equal(t, ExitFailure, status)
	require.Empty(t, out)
	require.Contains(t, errOut, "node does not answer")
}
