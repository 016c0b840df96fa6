package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Each case is a series of events 100 ms apart, and for how long the server is cold
// after the last one, if it stays cold for 3 s after a start and does not report
// otherwise. Guards against a server that has ended and come back and is taken for
// warm, and against a report that is lost or applied to another incarnation.
func TestWarmupState(t *testing.T) {
	born := now.UnixMilli() - 1000
	reports := func(event board.ServerEvent, left time.Duration) board.ServerEvent {
		event.Warmup, event.WarmupReported = left, true
		return event
	}
	beat := func(startMillis, sequence int64) board.ServerEvent {
		return heartbeat("a", startMillis, sequence, board.ServerReady)
	}
	response := func(startMillis int64) board.ServerEvent {
		return board.ServerEvent{Kind: board.ServerEventWarmup, Server: board.BackendServer{ID: "a", StartMillis: startMillis}}
	}
	down := board.ServerEvent{Kind: board.ServerEventUnreachable, Server: board.BackendServer{ID: "a"}}
	up := board.ServerEvent{Kind: board.ServerEventReachable, Server: board.BackendServer{ID: "a"}}
	for name, c := range map[string]struct {
		events []board.ServerEvent
		cold   time.Duration
	}{
		"start time known":                    {[]board.ServerEvent{beat(born, 1)}, 2 * time.Second},
		"start time in the future":            {[]board.ServerEvent{beat(born+5000, 1)}, 3 * time.Second},
		"start time unknown":                  {[]board.ServerEvent{beat(0, 1), beat(0, 2)}, 2900 * time.Millisecond},
		"discovered, start time later":        {[]board.ServerEvent{health("a"), beat(born, 1)}, 1900 * time.Millisecond},
		"heartbeat says warm":                 {[]board.ServerEvent{reports(beat(born, 1), 0)}, 0},
		"heartbeat says cold":                 {[]board.ServerEvent{reports(beat(born-60_000, 1), time.Second)}, time.Second},
		"heartbeat without a report":          {[]board.ServerEvent{reports(beat(born, 1), time.Second), beat(born, 2)}, 900 * time.Millisecond},
		"response says cold":                  {[]board.ServerEvent{reports(beat(born, 1), 0), reports(response(born), 4*time.Second)}, 4 * time.Second},
		"response of an earlier incarnation":  {[]board.ServerEvent{reports(beat(born, 1), 0), reports(response(born-5), 4*time.Second)}, 0},
		"discovered, response says cold":      {[]board.ServerEvent{reports(health("a"), 5*time.Second)}, 5 * time.Second},
		"ended and came back":                 {[]board.ServerEvent{reports(beat(born, 1), 0), down, up}, 3 * time.Second},
		"ended, came back and says warm":      {[]board.ServerEvent{reports(beat(born, 1), 0), down, reports(up, 0)}, 0},
		"ended, heartbeat of the same start":  {[]board.ServerEvent{reports(beat(born, 1), 0), down, beat(born, 2)}, 3 * time.Second},
		"ended, heartbeat of a new start":     {[]board.ServerEvent{reports(beat(born, 1), 0), down, beat(born+1150, 1)}, 2950 * time.Millisecond},
		"new start without a lost connection": {[]board.ServerEvent{reports(beat(born, 1), 0), beat(born+1050, 1)}, 2950 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			state, at := board.BackendServer{Earlier: board.EarlierServer{Current: true}}, now
			for i, event := range c.events {
				at = now.Add(time.Duration(i) * 100 * time.Millisecond)
				state, _ = Apply(state, event, at)
			}
			coldUntil := state.StartedAt.Add(3 * time.Second)
			if state.WarmupReported {
				coldUntil = state.WarmupEndsAt
			}
			require.Equal(t, c.cold, max(0, coldUntil.Sub(at)))
			require.True(t, state.AcceptsCalls())
		})
	}
}
