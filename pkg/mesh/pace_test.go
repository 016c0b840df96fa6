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

func zeroBody(n int) io.ReadCloser { return io.NopCloser(bytes.NewReader(make([]byte, n))) }

// Guards against large responses that fill a slow link and delay short ones,
// and against a link backlog that remains after a response was truncated.
func TestLargeResponsesDoNotDelayShortOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rate := pacing.UsableRate(14)
		link := board.NewLinkPacer(rate)
		started := time.Now()
		durations := make(chan time.Duration, 2)
		for range 2 {
			body := paceBody(link, zeroBody(200_000), 200_000)
			go func() {
				n, err := io.Copy(io.Discard, body)
				if n != 200_000 || err != nil {
					t.Errorf("read %d bytes: %v", n, err)
				}
				_ = body.Close()
				durations <- time.Since(started)
			}()
		}
		synctest.Wait()
		time.Sleep(50 * time.Millisecond)
		require.Less(t, link.Reserve(1000, time.Now()), 10*time.Millisecond, "a short response waits for a few chunks only")
		require.Greater(t, link.Backlog(time.Now()), 150*time.Millisecond)
		first, second := <-durations, <-durations
		require.GreaterOrEqual(t, max(first, second), pacing.TransferTime(390_000, rate))
		require.Less(t, max(first, second), pacing.TransferTime(420_000, rate))

		truncated := paceBody(link, zeroBody(1000), 500_000)
		_, _ = io.Copy(io.Discard, truncated)
		_ = truncated.Close()
		time.Sleep(time.Second)
		require.Zero(t, link.Backlog(time.Now()))
	})
}
