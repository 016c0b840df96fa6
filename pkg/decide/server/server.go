// Package server decides what an announcement of a backend server changes. All
// functions are pure.
package server

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// Result says what became of an announcement.
type Result uint8

// Verdicts.
const (
	// Applied means that the state now says what the announcement says.
	Applied Result = iota
	// Unchanged means that the state says so already.
	Unchanged
	// Stale means that a newer announcement is in force.
	Stale
)

// Apply returns the state after an event and what became of the event.
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

// sameIncarnation reports whether an event speaks of the life in force. An event
// without a birth time can only be told apart by its id.
func sameIncarnation(current board.BackendServer, said board.BackendServer) bool {
	return current.ID == said.ID && (current.StartMillis == said.StartMillis || said.StartMillis == 0 || current.StartMillis == 0)
}

// fromEarlierIncarnation reports whether an event speaks of an earlier life than that in force.
func fromEarlierIncarnation(current board.BackendServer, said board.BackendServer) bool {
	return said.StartMillis != 0 && current.StartMillis != 0 && said.StartMillis < current.StartMillis
}

func applyHeartbeat(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Result) {
	said := event.Server
	if current.ID == "" {
		return stateFromEvent(event, now), Applied
	}
	if fromEarlierIncarnation(current, said) {
		return current, Stale
	}
	if !sameIncarnation(current, said) {
		return stateFromEvent(event, now), Applied
	}
	if said.Sequence <= current.Sequence {
		return current, lateHeartbeatResult(current, said)
	}
	if current.State >= board.ServerDraining && said.State < current.State {
		// A life that has begun to leave does not come back.
		return current, Stale
	}
	next := stateFromEvent(event, now)
	if current.State >= board.ServerDraining {
		next.State = max(current.State, said.State)
		next.DrainingSince = current.DrainingSince
	}
	if next.State == current.State && next.Slots == current.Slots && next.Service == current.Service &&
		next.Addr == current.Addr && !current.Down && current.StartMillis == next.StartMillis {
		return next, Unchanged
	}
	return next, Applied
}

func lateHeartbeatResult(current, said board.BackendServer) Result {
	if said.State <= current.State {
		return Unchanged
	}
	return Stale
}

// stateFromEvent returns the state that a heartbeat describes.
func stateFromEvent(event board.ServerEvent, now time.Time) board.BackendServer {
	next := event.Server
	next.LastHeardAt = now
	next.WarmupEndsAt = now.Add(event.Warmup)
	if next.State >= board.ServerDraining {
		next.DrainingSince = now
	}
	return next
}

func applyLeave(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Result) {
	said := event.Server
	if current.ID != "" && (current.ID != said.ID || fromEarlierIncarnation(current, said)) {
		return current, Stale
	}
	if current.ID == said.ID && current.State == board.ServerGone {
		return current, Unchanged
	}
	next := current
	if next.ID == "" {
		next = said
	}
	if next.DrainingSince.IsZero() {
		next.DrainingSince = now
	}
	next.State = board.ServerGone
	next.LastHeardAt = now
	return next, Applied
}

// applyDiscovery takes a health answer of a backend server that was not heard yet.
func applyDiscovery(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Result) {
	if current.ID != "" {
		return current, Unchanged
	}
	next := stateFromEvent(event, now)
	next.Sequence = -1
	return next, Applied
}
