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

func run(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	status := Run("test", args, &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

// Guards against a status that hides members or fails when nothing has
// announced itself, and against JSON that a program cannot read back.
func TestStatusAndLogLevel(t *testing.T) {
	b := board.New("atelier-1")
	member := board.Member{Instance: "atelier-2", Service: "atelier-suivi", State: board.MemberDraining, FailureDomain: "thies-sud", Slots: 10}
	b.Members.Claim("test").Publish(board.NewMembers("atelier-1", map[board.InstanceID]board.Member{"atelier-2": member}))
	node := httptest.NewServer(opsapi.NewHandler(b, http.NotFoundHandler(), nil))
	defer node.Close()

	status, out, errOut := run("status", "--node", node.URL)
	require.Equal(t, ExitOK, status, errOut)
	require.Contains(t, out, "no backend server has announced itself")
	require.Regexp(t, `atelier-2 +atelier-suivi +draining +thies-sud +10`, out)

	status, out, _ = run("status", "--json", "--node", node.URL)
	require.Equal(t, ExitOK, status)
	var read opsapi.Status
	require.NoError(t, json.NewDecoder(strings.NewReader(out)).Decode(&read))
	require.Equal(t, board.MemberDraining, read.Members[0].State)

	status, _, errOut = run("log-level", "loud", "--node", node.URL)
	require.Equal(t, ExitBadInput, status)
	require.Contains(t, errOut, "expected debug, info, warn or error")
	status, _, _ = run("log-level", "info", "--node", node.URL)
	require.Equal(t, ExitOK, status)
	node.Close()
	status, out, errOut = run("status", "--node", node.URL)
	require.Equal(t, ExitFailure, status)
	require.Empty(t, out)
	require.Contains(t, errOut, "node does not answer")
}
