package mesh

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/pacing"
	"mangostand.example/mangostand/pkg/decide/queueing"
)

// Guards against time on the link that stays reserved for bodies of canceled calls, which
// are never sent: later uploads would be refused for want of it.
func TestCanceledUploadGivesItsTimeOnTheLinkBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &Executor{Board: board.NewMeshBoard(board.NodeIdentity{Instance: "n", LinkRate: pacing.UsableRate(10)})}
		link := x.Board.InboundLink
		now := time.Now()
		const bytes = 100_000
		transfer := pacing.TransferTime(bytes, link.Rate)
		upload := &Call{BodyBytes: bytes, Received: now, Objective: now.Add(time.Minute)}
		require.Empty(t, x.awaitLink(t.Context(), upload, queueing.Job{}, waitingSender{}))
		ctx, cancel := context.WithCancel(t.Context())
		reasons := make(chan board.Reason, 1)
		go func() { reasons <- x.awaitLink(ctx, upload, queueing.Job{}, waitingSender{}) }()
		synctest.Wait()
		require.Equal(t, 2*transfer, link.Backlog(now))
		cancel()
		require.Equal(t, board.ReasonCanceledByCaller, <-reasons)
		require.Equal(t, transfer, link.Backlog(now))

		ctx, cancel = context.WithCancel(t.Context())
		go func() { reasons <- x.awaitLink(ctx, upload, queueing.Job{}, waitingSender{}) }()
		synctest.Wait()
		later := link.Reserve(bytes, now)
		cancel()
		<-reasons
		require.Equal(t, 2*transfer, later)
		require.Equal(t, 3*transfer, link.Backlog(now), "the time of a later body does not change")
	})
}

// waitingSender is the entry of another node that waits for its turn.
type waitingSender struct{}

func (waitingSender) Accept(context.Context, time.Duration) ([]byte, error) { return nil, nil }
func (waitingSender) NotifyQueued()                                         {}
func (waitingSender) NotifySlow()                                           {}
