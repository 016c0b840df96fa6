package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

var now = time.Unix(1000, 0)

func heartbeat(id string, startMillis, sequence int64, state board.ServerState) board.ServerEvent {
	return board.ServerEvent{Kind: board.ServerEventHeartbeat, Server: board.BackendServer{ID: id, StartMillis: startMillis, Sequence: sequence, State: state, Service: "desk", Slots: 4}}
}

// Each case is a series of events and the state after it. Guards against late
// announcements that bring a draining or former backend server back into use.
func TestApply(t *testing.T) {
	leave := func(id string, startMillis int64) board.ServerEvent {
		return board.ServerEvent{Kind: board.ServerEventLeaving, Server: board.BackendServer{ID: id, StartMillis: startMillis, State: board.ServerGone}}
	}
	for name, c := range map[string]struct {
		events []board.ServerEvent
		id     string
		state  board.ServerState
		result Result
	}{
		"first heartbeat":              {[]board.ServerEvent{heartbeat("a", 1, 1, board.ServerReady)}, "a", board.ServerReady, Applied},
		"late ready after draining":    {[]board.ServerEvent{heartbeat("a", 1, 5, board.ServerDraining), heartbeat("a", 1, 4, board.ServerReady)}, "a", board.ServerDraining, Unchanged},
		"newer ready after draining":   {[]board.ServerEvent{heartbeat("a", 1, 5, board.ServerDraining), heartbeat("a", 1, 6, board.ServerReady)}, "a", board.ServerDraining, Stale},
		"heartbeat after leave":        {[]board.ServerEvent{heartbeat("a", 1, 5, board.ServerReady), leave("a", 1), heartbeat("a", 1, 6, board.ServerReady)}, "a", board.ServerGone, Stale},
		"same id, new incarnation":     {[]board.ServerEvent{heartbeat("a", 1, 5, board.ServerReady), leave("a", 1), heartbeat("a", 2, 1, board.ServerReady)}, "a", board.ServerReady, Applied},
		"heartbeat of former server":   {[]board.ServerEvent{heartbeat("b", 2, 1, board.ServerReady), heartbeat("a", 1, 9, board.ServerReady)}, "b", board.ServerReady, Stale},
		"leave of earlier incarnation": {[]board.ServerEvent{heartbeat("a", 2, 1, board.ServerReady), leave("a", 1)}, "a", board.ServerReady, Stale},
		"leave of another server":      {[]board.ServerEvent{heartbeat("b", 2, 1, board.ServerReady), leave("a", 1)}, "b", board.ServerReady, Stale},
		"left twice":                   {[]board.ServerEvent{heartbeat("a", 1, 1, board.ServerReady), leave("a", 1), leave("a", 1)}, "a", board.ServerGone, Unchanged},
		"leave of an unknown server":   {[]board.ServerEvent{leave("a", 1)}, "a", board.ServerGone, Applied},
		"heartbeat without start time": {[]board.ServerEvent{heartbeat("a", 1, 1, board.ServerReady), heartbeat("a", 0, 2, board.ServerDraining)}, "a", board.ServerDraining, Applied},
		"discovered, then draining":    {[]board.ServerEvent{{Kind: board.ServerEventHealthResponse, Server: board.BackendServer{ID: "a", State: board.ServerReady}}, heartbeat("a", 1, 3, board.ServerDraining)}, "a", board.ServerDraining, Applied},
		"discovered after heartbeat":   {[]board.ServerEvent{heartbeat("a", 1, 3, board.ServerDraining), {Kind: board.ServerEventHealthResponse, Server: board.BackendServer{ID: "a", State: board.ServerReady}}}, "a", board.ServerDraining, Unchanged},
	} {
		t.Run(name, func(t *testing.T) {
			var state board.BackendServer
			var result Result
			for _, event := range c.events {
				state, result = Apply(state, event, now)
			}
			require.Equal(t, c.id, state.ID)
			require.Equal(t, c.state, state.State)
			require.Equal(t, c.result, result)
		})
	}
}

// Guards against a crashed backend server that stays in use, and against one
// that stays out of use after its restart.
func TestCrashedServerIsUnavailableUntilRestart(t *testing.T) {
	state, _ := Apply(board.BackendServer{}, heartbeat("a", 2, 1, board.ServerReady), now)
	_, result := Apply(state, board.ServerEvent{Kind: board.ServerEventUnreachable, Server: board.BackendServer{ID: "a", StartMillis: 1}}, now)
	require.Equal(t, Stale, result)
	state, result = Apply(state, board.ServerEvent{Kind: board.ServerEventUnreachable, Server: state}, now)
	require.Equal(t, Applied, result)
	require.False(t, state.AcceptsCalls())
	state, _ = Apply(state, heartbeat("a", 2, 2, board.ServerReady), now)
	require.True(t, state.AcceptsCalls())
}
