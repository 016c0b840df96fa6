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

// lone is a keeper without controllers; the test publishes its epochs.
type lone struct {
	*atmostonce.KeyController
	epochs *board.Writer[*board.Epochs]
}

// newLone returns the keeper of instance n0 with incarnation 1.
func newLone() *lone {
	b := board.New("n0")
	config := dynconf.Default()
	config.Services[service] = &dynconf.Service{Name: service, InstancePatterns: []string{"*"}}
	b.Config.Claim("test").Publish(config)
	return &lone{atmostonce.New("n0", 1, b, nil, zerolog.Nop()), b.Epochs.Claim("test")}
}

// enter publishes an epoch with the members, each with incarnation 1.
func (l *lone) enter(number uint64, former []board.FormerEpoch, sources []map[board.InstanceID]board.TransferState, members ...board.InstanceID) *board.Epoch {
	e := &board.Epoch{Service: service, Number: number, Members: lives(members...), FormerEpochs: former}
	view := &board.EpochView{Epoch: e, Transfers: sources, ConfirmedAt: time.Now(), Superseded: make(chan struct{})}
	l.epochs.Publish(&board.Epochs{ByService: map[string]*board.EpochView{service: view}})
	return e
}

func lives(names ...board.InstanceID) []board.EpochMember {
	var members []board.EpochMember
	for _, n := range names {
		members = append(members, board.EpochMember{Instance: n, Incarnation: 1, PeerAddr: string(n)})
	}
	return members
}

func claimOf(key string, epoch uint64, executor board.InstanceID) *wire.Claim {
	return &wire.Claim{
		ID: idOf(key), RequestDigest: "d", Epoch: epoch, Executor: executor, ExecutorIncarnation: 1,
		RequestID: newKey(), ClaimSequence: 1, MaxWaitMicros: 1e6,
	}
}

func callOf(key string, epoch, grant uint64) *wire.Call {
	return &wire.Call{
		RequestID: "r", Service: service, Caller: caller, Key: key, RequestDigest: "d", Epoch: epoch, Grant: grant, ExecutorIncarnation: 1,
	}
}

func requireRefused(t *testing.T, k *atmostonce.KeyController, call *wire.Call, outcome board.Outcome, reason board.Reason) {
	t.Helper()
	_, refusal := k.BeginExecution(context.Background(), call)
	require.NotNil(t, refusal, "the executor has begun the call")
	require.Equal(t, atmostonce.Refusal{Outcome: outcome, Reason: reason}, *refusal)
}

// Guards against a home that grants a key to itself, so that one loss takes
// both records, and against a home that serves an epoch before its own.
func TestHomeRefusesClaims(t *testing.T) {
	l := newLone()
	e := l.enter(5, nil, nil, "n0", "n1")
	key := keyHomedAt(e.Members, "n0")
	answer := l.HandleClaim(context.Background(), claimOf(key, 5, "n0"))
	require.Equal(t, wire.ClaimRefused, answer.Status)
	answer = l.HandleClaim(context.Background(), claimOf(key, 4, "n1"))
	require.Equal(t, wire.ClaimStaleEpoch, answer.Status)
	require.Equal(t, e, answer.NewerEpoch, "the entry learns the epoch from the answer")
	require.Equal(t, wire.ClaimGranted, l.HandleClaim(context.Background(), claimOf(key, 5, "n1")).Status)
}

// Guards against a copy of a call that runs after the executor rejected it, and
// against a copy of a call that has run and is told not-run.
func TestExecutorRefusesCopies(t *testing.T) {
	l := newLone()
	l.enter(1, nil, nil, "n0", "n1")
	rejected, ran := callOf(newKey(), 1, 1<<16), callOf(newKey(), 1, 1<<16)
	l.SealRefusedCall(rejected)
	requireRefused(t, l.KeyController, rejected, board.OutcomeNotRun, board.ReasonGrantSealed)
	run, _ := l.BeginExecution(context.Background(), ran)
	require.NotNil(t, run)
	requireRefused(t, l.KeyController, ran, board.OutcomeUnknown, board.ReasonKeyInProgress)
	run.RecordOutcome(board.OutcomeSucceeded, "", nil)
	requireRefused(t, l.KeyController, ran, board.OutcomeUnknown, board.ReasonKeyInProgress)
}

// Guards against a home that takes its own old record for the latest one: the
// key moved away and back, and the home in between was lost with a later grant.
func TestOutdatedGrantIsNotPassedOn(t *testing.T) {
	bubble(t, func(t *testing.T) {
		l := newLone()
		l.enter(1, nil, nil, "n0")
		key := keyHomedAt(lives("n0", "n1", "n2"), "n1")
		granted := l.HandleClaim(context.Background(), claimOf(key, 1, "n0"))
		require.Equal(t, wire.ClaimGranted, granted.Status)
		l.SealRefusedCall(callOf(key, 1, granted.Grant))
		between := board.FormerEpoch{Members: lives("n0", "n1", "n2")}
		lost := map[board.InstanceID]board.TransferState{"n1": {Horizon: time.Now().Add(10 * time.Second)}}
		l.enter(3, []board.FormerEpoch{between}, []map[board.InstanceID]board.TransferState{lost}, "n0")
		time.Sleep(time.Second)
		answer := l.HandleClaim(context.Background(), claimOf(key, 3, "n0"))
		require.Equal(t, wire.ClaimOutcomeUnknown, answer.Status)
		require.Equal(t, board.ReasonKeyRecordLost, answer.Reason)
	})
}

// raceRounds is enough for a removed check to fail within a second on two or
// more processors; with the checks in place no interleaving fails.
const raceRounds = 3000

// Guards against a record that a transfer misses although its call runs: the
// epoch changes between the check of the epoch and the record.
func TestEpochChangesWhileRecording(t *testing.T) {
	members := lives("n0", "n1")
	key := keyHomedAt(members, "n0")
	steps := map[string]func(l *lone) bool{
		"at the executor": func(l *lone) bool {
			run, _ := l.BeginExecution(context.Background(), callOf(key, 1, 1<<16))
			return run != nil
		},
		"at the home": func(l *lone) bool {
			return l.HandleClaim(context.Background(), claimOf(key, 1, "n1")).Status == wire.ClaimGranted
		},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			for range raceRounds {
				l := newLone()
				l.enter(1, nil, nil, "n0", "n1")
				start := make(chan struct{})
				var begun bool
				var both sync.WaitGroup
				both.Go(func() {
					<-start
					begun = step(l)
				})
				var page *wire.TransferPage
				both.Go(func() {
					<-start
					next := l.enter(2, nil, nil, "n1")
					page = l.HandleTransfer(&wire.Transfer{Service: service, KnownEpoch: 2, Epoch: next, Requester: "n1"})
				})
				close(start)
				both.Wait()
				require.True(t, page.EpochAdopted)
				require.False(t, begun && len(page.Records) == 0, "the call goes on, the transfer has no record of it")
			}
		})
	}
}

// Guards against a stop that forgets its records when a second epoch change
// comes before the homes of the first have fetched them.
func TestHandOverWaitsForEarlierEpochs(t *testing.T) {
	bubble(t, func(t *testing.T) {
		l := newLone()
		former := []board.FormerEpoch{{Members: lives("n1")}, {Members: lives("n0", "n1")}}
		e := l.enter(3, former, nil, "n1", "n2")
		handOver := func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return l.AwaitHandOver(ctx)
		}
		require.False(t, handOver())
		for _, home := range e.Members {
			l.HandleTransfer(&wire.Transfer{Service: service, KnownEpoch: 3, Epoch: e, Requester: home.Instance})
		}
		require.True(t, handOver())
	})
}
