package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/opsapi"
	"mangostand.example/mangostand/pkg/wire"
)

type lookup struct {
	answer *wire.ClaimResponse
	err    error
}

func (l lookup) Lookup(context.Context, board.KeyID) (*wire.ClaimResponse, error) {
	return l.answer, l.err
}

// Guards the exit status that scripts of operators rely on.
func TestOutcomeExitStatus(t *testing.T) {
	const key = "01930000-0000-7000-8000-000000000000"
	done := &board.KeyRecord{State: board.KeyDone, Outcome: board.OutcomeFailed, Response: &board.KeyResponse{Status: 500}}
	cases := []struct {
		name   string
		lookup lookup
		key    string
		status int
		output string
	}{
		{"recorded", lookup{answer: &wire.ClaimResponse{Status: wire.ClaimOutcomeRecorded, Record: done}}, key, ExitOK, `"failed"`},
		{"unknown", lookup{answer: &wire.ClaimResponse{Status: wire.ClaimOutcomeUnknown}}, key, ExitKeyUnknown, `"unknown"`},
		{"not run", lookup{answer: &wire.ClaimResponse{Status: wire.ClaimNotFound}}, key, ExitKeyNotRun, `"not-run"`},
		{"in progress", lookup{answer: &wire.ClaimResponse{Status: wire.ClaimInProgress}}, key, ExitKeyInProgress, `"in-progress"`},
		{"home lost", lookup{err: errors.New("lost")}, key, ExitFailure, `"unavailable"`},
		{"bad key", lookup{}, "slot-4", ExitBadInput, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			node := httptest.NewServer(opsapi.NewHandler(board.New("n"), http.NotFoundHandler(), c.lookup))
			defer node.Close()
			var stdout, stderr bytes.Buffer
			args := []string{"outcome", c.key, "--node", node.URL, "--service", "s", "--caller", "c"}
			require.Equal(t, c.status, Run("test", args, &stdout, &stderr), stderr.String())
			require.Contains(t, stdout.String(), c.output)
		})
	}
}
