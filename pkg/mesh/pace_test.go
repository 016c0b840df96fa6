package mesh

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/pacing"
)

func bodyOf(n int) io.ReadCloser { return io.NopCloser(bytes.NewReader(make([]byte, n))) }

// Guards against large answers that fill a thin link, so that short ones wait
// behind them, and against a backlog that stays after an answer broke off.
func TestLargeAnswersLeaveRoomForShortOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rate := pacing.UsableRate(14)
		link := board.NewLinkPacer(rate)
		started := time.Now()
		took := make(chan time.Duration, 2)
		for range 2 {
			body := pace(link, bodyOf(200_000), 200_000)
			go func() {
				n, err := io.Copy(io.Discard, body)
				if n != 200_000 || err != nil {
					t.Errorf("read %d bytes: %v", n, err)
				}
				_ = body.Close()
				took <- time.Since(started)
			}()
		}
		synctest.Wait()
		time.Sleep(50 * time.Millisecond)
		require.Less(t, link.Reserve(1000, time.Now()), 10*time.Millisecond, "a short answer waits for some pieces only")
		require.Greater(t, link.Backlog(time.Now()), 150*time.Millisecond)
		first, second := <-took, <-took
		require.GreaterOrEqual(t, max(first, second), pacing.TransferTime(390_000, rate))
		require.Less(t, max(first, second), pacing.TransferTime(420_000, rate))

		broken := pace(link, bodyOf(1000), 500_000)
		_, _ = io.Copy(io.Discard, broken)
		_ = broken.Close()
		time.Sleep(time.Second)
		require.Zero(t, link.Backlog(time.Now()))
	})
}
