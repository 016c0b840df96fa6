package board

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/guard"
)

// Guards against two controllers that write the same section.
func TestSectionHasOneWriter(t *testing.T) {
	s := NewSection("numbers", 0)
	s.Claim("first")
	require.PanicsWithValue(t, guard.InvariantError("board: section numbers is written by first, second cannot claim it"),
		func() { s.Claim("second") })
}

// Guards against readers that see a torn value, or an older value after a newer
// one.
func TestPublishIsSeenByReadersAndSubscribers(t *testing.T) {
	s := NewSection("pairs", [2]int{})
	w := s.Claim("writer")
	updates := s.Subscribe()
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for last := 0; last < 1000; {
				pair := s.Load()
				if pair[0] != pair[1] || pair[0] < last {
					t.Errorf("read %v after %d", pair, last)
					return
				}
				last = pair[0]
			}
		})
	}
	for i := 1; i <= 1000; i++ {
		w.Publish([2]int{i, i})
	}
	readers.Wait()
	<-updates
	require.Equal(t, uint64(1000), s.Snapshot().Version)
}

// Guards against a burst of events that blocks the request path.
func TestInboxDropsWhenFull(t *testing.T) {
	inbox := NewInbox[int](2)
	require.True(t, inbox.Post(1))
	require.True(t, inbox.Post(2))
	require.False(t, inbox.Post(3))
	require.Equal(t, uint64(1), inbox.Dropped())
	require.Equal(t, 1, <-inbox.Events())
}

// Guards against a call that violates its state machine, and against an outcome
// that is overwritten.
func TestRequestRecordRejectsInvalidTransition(t *testing.T) {
	r := &RequestRecord{ID: "r1"}
	r.Advance(RequestRouted)
	r.Advance(RequestSent)
	require.Panics(t, func() { r.Advance(RequestQueued) })
	r.Finish(OutcomeSucceeded)
	r.Finish(OutcomeFailed)
	require.Equal(t, OutcomeSucceeded, r.Outcome())
	require.Equal(t, RequestDone, r.State())
}
