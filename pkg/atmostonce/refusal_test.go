package atmostonce_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/wire"
)

// Guards against not-run for a key that has been executed: the entry was paused, the
// home let another request with the key execute it, and then the executor refused
// the only attempt of the paused entry.
func TestRefusalOfTheLastAttemptDoesNotProveNotRun(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		mesh := newTestMesh(t, instanceIDs(4)...)
		key := mesh.newKeyWithHome("n0", "n3")
		var calls sync.WaitGroup
		calls.Go(func() {
			result, _ := mesh.nodes["n0"].invoke(callOptions{
				key: key, executor: "n1", maxAttempts: 1, deadline: 10 * time.Second,
				beforeSend: func(*wire.Call) { time.Sleep(5 * time.Second) },
			})
			require.Equal(t, board.OutcomeSucceeded, result.Outcome, result.Reason)
			require.NotNil(t, result.Record)
		})
		time.Sleep(time.Second)
		result, _ := mesh.nodes["n2"].invoke(callOptions{key: key, executor: "n2"})
		require.Equal(t, board.OutcomeSucceeded, result.Outcome, result.Reason)
		calls.Wait()
		require.Len(t, mesh.executionsOf(key), 1)
	})
}

// Guards against not-run for a key that another request may have executed since the
// executor refused a call, while the home of the key does not respond.
func TestRefusalProvesNothingWhileTheHomeIsUnavailable(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		n := newMovedKeyNode()
		n.home.respond = granted
		result := n.Invoke(t.Context(), &atmostonce.Call{
			ID: keyID(n.key), RequestDigest: "d", RequestID: newKey(), MaxAttempts: 3,
			PickExecutor: func([]board.InstanceID) (board.InstanceID, uint64, bool) { return "n2", 1, true },
			Send: func(context.Context, uint64, uint64, int) (board.Outcome, board.Reason) {
				n.home.respond = func(*wire.Claim) (*wire.ClaimResponse, error) { return nil, errors.New("connection lost") }
				time.Sleep(time.Millisecond)
				// The majority confirms the epoch during the call.
				n.publishEpoch(1, nil, nil, "n0", "n1", "n2")
				return board.OutcomeNotRun, board.ReasonGrantSealed
			},
		})
		requireResult(t, result, board.OutcomeUnknown, board.ReasonKeyHomeUnavailable)
	})
}
