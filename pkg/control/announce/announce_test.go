package announce

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// runController runs a controller and calls test with a function that posts an
// announcement and returns the resulting LocalServer section.
func runController(t *testing.T, test func(t *testing.T, post func(board.AnnouncementKind, uint64) *board.LocalServer)) {
	synctest.Test(t, func(t *testing.T) {
		b := board.New("self")
		ctx, cancel := context.WithCancel(context.Background())
		go New(b, zerolog.Nop()).Run(ctx)
		test(t, func(kind board.AnnouncementKind, incarnation uint64) *board.LocalServer {
			b.Announcements.Post(board.Announcement{Kind: kind, Server: board.LocalServer{
				Announced: true, Service: "s", Addr: "a", Slots: 1, Incarnation: incarnation,
			}})
			synctest.Wait()
			return b.LocalServer.Load()
		})
		cancel()
		synctest.Wait()
	})
}

// Guards against a heartbeat that cancels a drain, a second drain that has no
// effect, and a restarted backend server that stays drained.
func TestDrainLastsUntilTheRestart(t *testing.T) {
	runController(t, func(t *testing.T, post func(board.AnnouncementKind, uint64) *board.LocalServer) {
		require.True(t, post(board.AnnounceHeartbeat, 1).Ready())
		require.False(t, post(board.AnnounceDrain, 0).Ready())
		require.False(t, post(board.AnnounceHeartbeat, 1).Ready())
		require.False(t, post(board.AnnounceDrain, 0).Ready())
		require.True(t, post(board.AnnounceHeartbeat, 2).Ready())
		require.False(t, post(board.AnnounceDrain, 0).Ready())
	})
}

// Guards against a stopping node that sends calls to a restarted backend
// server.
func TestRestartDoesNotUndoStop(t *testing.T) {
	runController(t, func(t *testing.T, post func(board.AnnouncementKind, uint64) *board.LocalServer) {
		post(board.AnnounceHeartbeat, 1)
		require.False(t, post(board.AnnounceStop, 0).Ready())
		require.False(t, post(board.AnnounceHeartbeat, 2).Ready())
		require.True(t, post(board.AnnounceStopped, 0).Stopped)
		require.True(t, post(board.AnnounceHeartbeat, 3).Stopped)
	})
}

// Guards against a late heartbeat that brings back a backend server that has
// left, against a connection failure that is attributed to the next
// incarnation, and against a backend server that stays announced without
// heartbeats.
func TestLeaveAndFailureApplyToOneIncarnation(t *testing.T) {
	runController(t, func(t *testing.T, post func(board.AnnouncementKind, uint64) *board.LocalServer) {
		post(board.AnnounceHeartbeat, 1)
		require.False(t, post(board.AnnounceLeave, 0).Announced)
		require.False(t, post(board.AnnounceHeartbeat, 1).Announced)
		require.True(t, post(board.AnnounceHeartbeat, 2).Announced)
		require.True(t, post(board.AnnounceDown, 1).Announced)
		require.False(t, post(board.AnnounceDown, 2).Announced)
		require.True(t, post(board.AnnounceHeartbeat, 2).Announced)
		time.Sleep(heartbeatTimeout + time.Second)
		require.False(t, post(board.AnnounceDown, 1).Announced, "heartbeat timeout")
	})
}
