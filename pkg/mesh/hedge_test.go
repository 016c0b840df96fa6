package mesh

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Guards against a call that a backend server answered with an error and that its caller
// is told was not executed, because the executor of the second attempt refused it
// afterwards. Its quota would be given back as well.
func TestServerErrorOfAHedgedCallIsNotLost(t *testing.T) {
	first := &board.MeshEndpoint{Record: board.NodeRecord{Instance: "a"}}
	second := &board.MeshEndpoint{Record: board.NodeRecord{Instance: "b"}}
	f := &forwarder{call: &Call{Idempotent: true}, offers: maxOffers}
	firstCtx, cancelFirst := context.WithCancel(t.Context())
	h := &hedgedCall{
		forwarder: f, ctx: t.Context(), results: make(chan offerResult, 2), pending: 2,
		cancels: map[*board.MeshEndpoint]context.CancelFunc{first: cancelFirst, second: func() {}},
	}
	h.results <- offerResult{&Result{Outcome: Answered, Status: http.StatusInternalServerError, Body: io.NopCloser(strings.NewReader("error"))}, first}
	h.results <- offerResult{notSent(board.ReasonOverloaded), second}
	result, endpoint := h.awaitSuccess()
	require.False(t, f.recordOutcome(result, endpoint))
	final := f.finalResult(t.Context(), result)
	require.Equal(t, Answered, final.Outcome)
	require.Equal(t, http.StatusInternalServerError, final.Status)
	require.NoError(t, firstCtx.Err(), "the rest of a long body is still read")
	body, err := io.ReadAll(final.Body)
	require.NoError(t, err)
	require.Equal(t, "error", string(body))
	require.NoError(t, final.Body.Close())
	require.Error(t, firstCtx.Err())
}

// Guards against a call that a backend server answered with an error and that its caller
// is told was not executed, because the request was quarantined before its next attempt.
func TestQuarantineDoesNotHideAServerError(t *testing.T) {
	f := &forwarder{call: &Call{Idempotent: true}}
	endpoint := &board.MeshEndpoint{Record: board.NodeRecord{Instance: "a"}}
	require.False(t, f.recordOutcome(&Result{Outcome: Answered, Status: http.StatusInternalServerError}, endpoint))
	require.False(t, f.recordOutcome(notSent(board.ReasonQuarantined), endpoint))
	require.Equal(t, Answered, f.finalResult(t.Context(), notSent(board.ReasonQuarantined)).Outcome)

	untried := &forwarder{call: &Call{Idempotent: true}}
	require.True(t, untried.recordOutcome(notSent(board.ReasonQuarantined), endpoint))
}
