package board

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/decide/pacing"
)

// Guards against uploads that are offered at the same time and are all accepted, so that
// the last ones arrive too late.
func TestConcurrentUploadsCountForEachOther(t *testing.T) {
	rate := pacing.BodyRate(pacing.UsableRate(15))
	link := NewLinkPacer(rate)
	now := time.Now()
	upload := pacing.Upload{Bytes: 60_000, ServiceTime: 80 * time.Millisecond, TimeLeft: 600 * time.Millisecond}
	var accepted atomic.Int64
	var longest atomic.Int64
	var wait sync.WaitGroup
	for range 200 {
		wait.Go(func() {
			delay, ok := link.ReserveUpload(upload, now)
			if !ok {
				return
			}
			accepted.Add(1)
			for old := longest.Load(); int64(delay) > old && !longest.CompareAndSwap(old, int64(delay)); old = longest.Load() {
			}
		})
	}
	wait.Wait()
	transfer := pacing.TransferTime(upload.Bytes, rate)
	require.LessOrEqual(t, time.Duration(longest.Load())+transfer+upload.ServiceTime, upload.TimeLeft)
	require.EqualValues(t, (upload.TimeLeft-upload.ServiceTime)/transfer, accepted.Load(), "the link is used as far as it goes")
}
