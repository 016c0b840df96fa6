package atmostonce_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/wire"
)

// singleNode is a key controller without other controllers. The test publishes
// its epochs.
type singleNode struct {
	*atmostonce.KeyController
	epochs *board.Writer[*board.Epochs]
}

// newSingleNode returns the key controller of instance n0 with incarnation 1.
func newSingleNode() *singleNode { return newSingleNodeWithPeers(nil) }

// newSingleNodeWithPeers is newSingleNode with a way to send messages.
func newSingleNodeWithPeers(peers atmostonce.Peers) *singleNode {
	b := board.New("n0")
	config := dynconf.Default()
	config.Services[service] = &dynconf.Service{Name: service, InstancePatterns: []string{"*"}}
	b.Config.Claim("test").Publish(config)
	return &singleNode{atmostonce.New("n0", 1, b, peers, zerolog.Nop()), b.Epochs.Claim("test")}
}

// publishEpoch publishes an epoch whose members have incarnation 1.
func (n *singleNode) publishEpoch(number uint64, formerEpochs []board.FormerEpoch, transfers []map[board.InstanceID]board.TransferState, members ...board.InstanceID) *board.Epoch {
	epoch := &board.Epoch{Service: service, Number: number, Members: epochMembers(members...), FormerEpochs: formerEpochs}
	view := &board.EpochView{Epoch: epoch, Transfers: transfers, ConfirmedAt: time.Now(), Superseded: make(chan struct{})}
	n.epochs.Publish(&board.Epochs{ByService: map[string]*board.EpochView{service: view}})
	return epoch
}

func epochMembers(names ...board.InstanceID) []board.EpochMember {
	var members []board.EpochMember
	for _, n := range names {
		members = append(members, board.EpochMember{Instance: n, Incarnation: 1, PeerAddr: string(n)})
	}
	return members
}

func newClaim(key string, epoch uint64, executor board.InstanceID) *wire.Claim {
	return &wire.Claim{
		ID: keyID(key), RequestDigest: "d", Epoch: epoch, Executor: executor, ExecutorIncarnation: 1,
		RequestID: newKey(), ClaimSequence: 1, MaxWaitMicros: 1e6,
	}
}

func newCall(key string, epoch, grant uint64) *wire.Call {
	return &wire.Call{
		RequestID: "r", Service: service, Caller: caller, Key: key, RequestDigest: "d", Epoch: epoch, Grant: grant, ExecutorIncarnation: 1,
	}
}

func requireRefused(t *testing.T, k *atmostonce.KeyController, call *wire.Call, outcome board.Outcome, reason board.Reason) {
	t.Helper()
	_, refusal := k.BeginExecution(context.Background(), call)
	require.NotNil(t, refusal, "the executor accepted the call")
	require.Equal(t, atmostonce.Refusal{Outcome: outcome, Reason: reason}, *refusal)
}

// Guards against a home that grants a key to itself, so that the loss of one node
// loses both records, and against a home that serves claims of an earlier epoch.
func TestHomeRefusesClaims(t *testing.T) {
	n := newSingleNode()
	epoch := n.publishEpoch(5, nil, nil, "n0", "n1")
	key := generateKeyWithHome(epoch.Members, "n0")
	response := n.HandleClaim(context.Background(), newClaim(key, 5, "n0"))
	require.Equal(t, wire.ClaimRefused, response.Status)
	response = n.HandleClaim(context.Background(), newClaim(key, 4, "n1"))
	require.Equal(t, wire.ClaimStaleEpoch, response.Status)
	require.Equal(t, epoch, response.NewerEpoch, "the entry learns the epoch from the response")
	require.Equal(t, wire.ClaimGranted, n.HandleClaim(context.Background(), newClaim(key, 5, "n1")).Status)
}

// Guards against the execution of a duplicate after the executor refused the
// call, and against reporting not-run for a duplicate of a call that has been
// executed.
func TestExecutorRefusesDuplicateCalls(t *testing.T) {
	n := newSingleNode()
	n.publishEpoch(1, nil, nil, "n0", "n1")
	rejected, executed := newCall(newKey(), 1, 1<<16), newCall(newKey(), 1, 1<<16)
	n.SealRefusedCall(rejected)
	requireRefused(t, n.KeyController, rejected, board.OutcomeNotRun, board.ReasonGrantSealed)
	execution, _ := n.BeginExecution(context.Background(), executed)
	require.NotNil(t, execution)
	requireRefused(t, n.KeyController, executed, board.OutcomeUnknown, board.ReasonKeyInProgress)
	execution.RecordOutcome(board.OutcomeSucceeded, "", nil)
	requireRefused(t, n.KeyController, executed, board.OutcomeUnknown, board.ReasonKeyInProgress)
}

// Guards against a home that treats its own old record as current: the key moved
// to another home and back, and the other home was lost together with a later
// grant.
func TestOutdatedHomeRecordIsNotGrantedAgain(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		n := newSingleNode()
		n.publishEpoch(1, nil, nil, "n0")
		key := generateKeyWithHome(epochMembers("n0", "n1", "n2"), "n1")
		granted := n.HandleClaim(context.Background(), newClaim(key, 1, "n0"))
		require.Equal(t, wire.ClaimGranted, granted.Status)
		n.SealRefusedCall(newCall(key, 1, granted.Grant))
		earlierEpoch := board.FormerEpoch{Members: epochMembers("n0", "n1", "n2")}
		transfers := map[board.InstanceID]board.TransferState{"n1": {Horizon: time.Now().Add(10 * time.Second)}}
		n.publishEpoch(3, []board.FormerEpoch{earlierEpoch}, []map[board.InstanceID]board.TransferState{transfers}, "n0")
		time.Sleep(time.Second)
		response := n.HandleClaim(context.Background(), newClaim(key, 3, "n0"))
		require.Equal(t, wire.ClaimOutcomeUnknown, response.Status)
		require.Equal(t, board.ReasonKeyRecordLost, response.Reason)
	})
}

// raceIterations makes the test fail within a second on two or more processors
// when one of the checks is removed. With the checks in place, no interleaving
// fails.
const raceIterations = 3000

// Guards against a transfer that misses the record of a running call because the
// epoch changes between the check of the epoch and the storage of the record.
func TestEpochChangesWhileRecording(t *testing.T) {
	members := epochMembers("n0", "n1")
	key := generateKeyWithHome(members, "n0")
	cases := map[string]func(n *singleNode) bool{
		"at the executor": func(n *singleNode) bool {
			execution, _ := n.BeginExecution(context.Background(), newCall(key, 1, 1<<16))
			return execution != nil
		},
		"at the home": func(n *singleNode) bool {
			return n.HandleClaim(context.Background(), newClaim(key, 1, "n1")).Status == wire.ClaimGranted
		},
	}
	for name, accept := range cases {
		t.Run(name, func(t *testing.T) {
			for range raceIterations {
				n := newSingleNode()
				n.publishEpoch(1, nil, nil, "n0", "n1")
				start := make(chan struct{})
				var accepted bool
				var goroutines sync.WaitGroup
				goroutines.Go(func() {
					<-start
					accepted = accept(n)
				})
				var page *wire.TransferPage
				goroutines.Go(func() {
					<-start
					next := n.publishEpoch(2, nil, nil, "n1")
					page = n.HandleTransfer(&wire.Transfer{Service: service, KnownEpoch: 2, Epoch: next, Requester: "n1"})
				})
				close(start)
				goroutines.Wait()
				require.True(t, page.EpochAdopted)
				require.False(t, accepted && len(page.Records) == 0, "the call continues although the transfer has no record of it")
			}
		})
	}
}

// Guards against a shutdown that loses records when a second epoch change comes
// before the homes of the first one have fetched them.
func TestHandOverWaitsForEarlierEpochs(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		n := newSingleNode()
		formerEpochs := []board.FormerEpoch{{Members: epochMembers("n1")}, {Members: epochMembers("n0", "n1")}}
		epoch := n.publishEpoch(3, formerEpochs, nil, "n1", "n2")
		tryHandOver := func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return n.AwaitHandOver(ctx)
		}
		require.False(t, tryHandOver())
		for _, home := range epoch.Members {
			n.HandleTransfer(&wire.Transfer{Service: service, KnownEpoch: 3, Epoch: epoch, Requester: home.Instance})
		}
		require.True(t, tryHandOver())
	})
}
