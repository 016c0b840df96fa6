// Package server decides how announcements and health checks change the state
// of a backend server. All functions are pure.
package server

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// Result is the effect of an event on the state.
type Result uint8

// Effects of an event.
const (
	// Applied means that the event changed the state.
	Applied Result = iota
	// Unchanged means that the state already agrees with the event.
	Unchanged
	// Stale means that the event is outdated or would undo a drain.
	Stale
)

// Apply returns the state after an event and the effect of the event.
func Apply(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Result) {
	switch event.Kind {
	case board.ServerEventUnreachable:
		if current.ID == "" || current.Down {
			return current, Unchanged
		}
		if !sameIncarnation(current, event.Server) {
			return current, Stale
		}
		current.Down = true
		return current, Applied
	case board.ServerEventReachable:
		if !current.Down {
			return current, Unchanged
		}
		current.Down = false
		return current, Applied
	case board.ServerEventLeaving:
		return applyLeave(current, event, now)
	case board.ServerEventHealthResponse:
		return applyDiscovery(current, event, now)
	}
	return applyHeartbeat(current, event, now)
}

// sameIncarnation reports whether an event is about the current incarnation of
// the backend server. An event without a start time is matched by its ID
// alone.
func sameIncarnation(current board.BackendServer, announced board.BackendServer) bool {
	return current.ID == announced.ID && (current.StartMillis == announced.StartMillis || announced.StartMillis == 0 || current.StartMillis == 0)
}

// fromEarlierIncarnation reports whether an event is about an incarnation that
// started before the current one.
func fromEarlierIncarnation(current board.BackendServer, announced board.BackendServer) bool {
	return announced.StartMillis != 0 && current.StartMillis != 0 && announced.StartMillis < current.StartMillis
}

// applyHeartbeat applies a heartbeat of the backend server.
func applyHeartbeat(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Result) {
	announced := event.Server
	if current.ID == "" {
		return stateFromEvent(event, now), Applied
	}
	if fromEarlierIncarnation(current, announced) {
		return current, Stale
	}
	if !sameIncarnation(current, announced) {
		return stateFromEvent(event, now), Applied
	}
	if announced.Sequence <= current.Sequence {
		return current, lateHeartbeatResult(current, announced)
	}
	if current.State >= board.ServerDraining && announced.State < current.State {
		// An incarnation that drains or has left does not become ready again.
		return current, Stale
	}
	next := stateFromEvent(event, now)
	if current.State >= board.ServerDraining {
		next.State = max(current.State, announced.State)
		next.DrainingSince = current.DrainingSince
	}
	if next.State == current.State && next.Slots == current.Slots && next.Service == current.Service &&
		next.Addr == current.Addr && !current.Down && current.StartMillis == next.StartMillis {
		return next, Unchanged
	}
	return next, Applied
}

// lateHeartbeatResult returns the effect of a heartbeat that is not newer than
// the state.
func lateHeartbeatResult(current, announced board.BackendServer) Result {
	if announced.State <= current.State {
		return Unchanged
	}
	return Stale
}

// stateFromEvent returns the state that an event describes.
func stateFromEvent(event board.ServerEvent, now time.Time) board.BackendServer {
	next := event.Server
	next.LastHeardAt = now
	next.WarmupEndsAt = now.Add(event.Warmup)
	if next.State >= board.ServerDraining {
		next.DrainingSince = now
	}
	return next
}

// applyLeave applies the announcement that the backend server leaves.
func applyLeave(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Result) {
	announced := event.Server
	if current.ID != "" && (current.ID != announced.ID || fromEarlierIncarnation(current, announced)) {
		return current, Stale
	}
	if current.ID == announced.ID && current.State == board.ServerGone {
		return current, Unchanged
	}
	next := current
	if next.ID == "" {
		next = announced
	}
	if next.DrainingSince.IsZero() {
		next.DrainingSince = now
	}
	next.State = board.ServerGone
	next.LastHeardAt = now
	return next, Applied
}

// applyDiscovery applies the health check response of a backend server that
// has not announced itself yet.
func applyDiscovery(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Result) {
	if current.ID != "" {
		return current, Unchanged
	}
	next := stateFromEvent(event, now)
	next.Sequence = -1
	return next, Applied
}
