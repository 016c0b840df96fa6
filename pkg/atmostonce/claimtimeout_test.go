package atmostonce_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/wire"
)

// slowPeers responds to the first claims from a list and to no other message
// before the context ends.
type slowPeers struct {
	atmostonce.Peers
	claimResponses []*wire.ClaimResponse
}

func (p *slowPeers) Claim(ctx context.Context, _ board.EpochMember, _ *wire.Claim) (*wire.ClaimResponse, error) {
	if len(p.claimResponses) > 0 {
		response := p.claimResponses[0]
		p.claimResponses = p.claimResponses[1:]
		return response, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (p *slowPeers) Seal(ctx context.Context, _ board.EpochMember, _ *wire.Seal) (*wire.SealResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// newNodeWithPeers returns n0 of an epoch with n0 and n1, which knows n1 as a
// live member.
func newNodeWithPeers(peers atmostonce.Peers) (*singleNode, *board.Epoch) {
	n := newSingleNodeWithPeers(peers)
	n1 := board.Member{Instance: "n1", Incarnation: 1, Service: service, PeerAddr: "n1", State: board.MemberServing}
	n.Board.Members.Claim("test").Publish(board.NewMembers("n0", map[board.InstanceID]board.Member{"n1": n1}))
	return n, n.publishEpoch(1, nil, nil, "n0", "n1")
}

// Guards against a home that takes an executor for lost because the claim had
// too little time left to wait for its response.
func TestClaimWithLittleTimeLeftDoesNotLoseTheExecutor(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		n, epoch := newNodeWithPeers(&slowPeers{})
		key := generateKeyWithHome(epoch.Members, "n0")
		granted := n.HandleClaim(t.Context(), newClaim(key, 1, "n1"))
		require.Equal(t, wire.ClaimGranted, granted.Status)
		time.Sleep(time.Second)

		for _, lookupOnly := range []bool{true, false} {
			claim := newClaim(key, 1, "n1")
			claim.LookupOnly, claim.MaxWaitMicros = lookupOnly, 100_000
			response := n.HandleClaim(t.Context(), claim)
			require.Equal(t, wire.ClaimInProgress, response.Status, response.Reason)
			require.Equal(t, board.KeyGranted, n.Board.Keys.HomeRecords.Get(keyID(key)).State)
		}
		response := n.HandleClaim(t.Context(), newClaim(key, 1, "n1"))
		require.Equal(t, wire.ClaimOutcomeUnknown, response.Status)
		require.Equal(t, board.ReasonExecutorLost, response.Reason, "an executor that stays silent is lost")
	})
}

// Guards against a call that reports its home as unavailable because its own time
// ended during a claim, although the home has said that the key is in progress.
func TestCallThatEndsDuringAClaimKeepsTheLastReason(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		inProgress := &wire.ClaimResponse{Status: wire.ClaimInProgress, Reason: board.ReasonKeyInProgress, Epoch: 1}
		n, epoch := newNodeWithPeers(&slowPeers{claimResponses: []*wire.ClaimResponse{inProgress}})
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		result := n.Invoke(ctx, &atmostonce.Call{
			ID: keyID(generateKeyWithHome(epoch.Members, "n1")), RequestDigest: "d", RequestID: newKey(), MaxAttempts: 1,
			PickExecutor: func([]board.InstanceID) (board.InstanceID, uint64, bool) { return "", 0, false },
		})
		requireResult(t, result, board.OutcomeUnknown, board.ReasonKeyInProgress)
	})
}
