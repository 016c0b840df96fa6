package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

var now = time.Unix(1000, 0)

func heartbeat(id string, born, sequence int64, state board.ServerState) board.ServerEvent {
	return board.ServerEvent{Kind: board.ServerEventHeartbeat, Server: board.BackendServer{ID: id, StartMillis: born, Sequence: sequence, State: state, Service: "desk", Slots: 4}}
}

// Each case is a series of announcements and the state after it. Guards against
// late announcements that bring a leaving or a former backend server back.
func TestApply(t *testing.T) {
	leave := func(id string, born int64) board.ServerEvent {
		return board.ServerEvent{Kind: board.ServerEventLeaving, Server: board.BackendServer{ID: id, StartMillis: born, State: board.ServerGone}}
	}
	for name, c := range map[string]struct {
		events  []board.ServerEvent
		id      string
		state   board.ServerState
		verdict Result
	}{
		"first":                        {[]board.ServerEvent{heartbeat("a", 1, 1, board.ServerReady)}, "a", board.ServerReady, Applied},
		"late ready after draining":    {[]board.ServerEvent{heartbeat("a", 1, 5, board.ServerDraining), heartbeat("a", 1, 4, board.ServerReady)}, "a", board.ServerDraining, Unchanged},
		"later ready after draining":   {[]board.ServerEvent{heartbeat("a", 1, 5, board.ServerDraining), heartbeat("a", 1, 6, board.ServerReady)}, "a", board.ServerDraining, Stale},
		"heartbeat after leaving":      {[]board.ServerEvent{heartbeat("a", 1, 5, board.ServerReady), leave("a", 1), heartbeat("a", 1, 6, board.ServerReady)}, "a", board.ServerGone, Stale},
		"same id, new life":            {[]board.ServerEvent{heartbeat("a", 1, 5, board.ServerReady), leave("a", 1), heartbeat("a", 2, 1, board.ServerReady)}, "a", board.ServerReady, Applied},
		"former life after a new one":  {[]board.ServerEvent{heartbeat("b", 2, 1, board.ServerReady), heartbeat("a", 1, 9, board.ServerReady)}, "b", board.ServerReady, Stale},
		"leaving of a former life":     {[]board.ServerEvent{heartbeat("a", 2, 1, board.ServerReady), leave("a", 1)}, "a", board.ServerReady, Stale},
		"leaving of another":           {[]board.ServerEvent{heartbeat("b", 2, 1, board.ServerReady), leave("a", 1)}, "b", board.ServerReady, Stale},
		"leaving twice":                {[]board.ServerEvent{heartbeat("a", 1, 1, board.ServerReady), leave("a", 1), leave("a", 1)}, "a", board.ServerGone, Unchanged},
		"leaving unknown":              {[]board.ServerEvent{leave("a", 1)}, "a", board.ServerGone, Applied},
		"heartbeat without its birth":  {[]board.ServerEvent{heartbeat("a", 1, 1, board.ServerReady), heartbeat("a", 0, 2, board.ServerDraining)}, "a", board.ServerDraining, Applied},
		"found, then heard as leaving": {[]board.ServerEvent{{Kind: board.ServerEventHealthResponse, Server: board.BackendServer{ID: "a", State: board.ServerReady}}, heartbeat("a", 1, 3, board.ServerDraining)}, "a", board.ServerDraining, Applied},
		"found after heard":            {[]board.ServerEvent{heartbeat("a", 1, 3, board.ServerDraining), {Kind: board.ServerEventHealthResponse, Server: board.BackendServer{ID: "a", State: board.ServerReady}}}, "a", board.ServerDraining, Unchanged},
	} {
		t.Run(name, func(t *testing.T) {
			var state board.BackendServer
			var verdict Result
			for _, event := range c.events {
				state, verdict = Apply(state, event, now)
			}
			require.Equal(t, c.id, state.ID)
			require.Equal(t, c.state, state.State)
			require.Equal(t, c.verdict, verdict)
		})
	}
}

// Guards against a crashed backend server that stays in use or stays out.
func TestCrashedServerIsUnavailableUntilRestart(t *testing.T) {
	state, _ := Apply(board.BackendServer{}, heartbeat("a", 2, 1, board.ServerReady), now)
	_, verdict := Apply(state, board.ServerEvent{Kind: board.ServerEventUnreachable, Server: board.BackendServer{ID: "a", StartMillis: 1}}, now)
	require.Equal(t, Stale, verdict)
	state, verdict = Apply(state, board.ServerEvent{Kind: board.ServerEventUnreachable, Server: state}, now)
	require.Equal(t, Applied, verdict)
	require.False(t, state.AcceptsCalls())
	state, _ = Apply(state, heartbeat("a", 2, 2, board.ServerReady), now)
	require.True(t, state.AcceptsCalls())
}
