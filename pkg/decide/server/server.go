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
func Apply(current board.Server, event board.ServerEvent, now time.Time) (board.Server, Result) {
	switch event.Kind {
	case board.ServerRefused:
		if current.ID == "" || current.Down {
			return current, Unchanged
		}
		if !sameIncarnation(current, event.Server) {
			return current, Stale
		}
		current.Down = true
		return current, Applied
	case board.ServerAnswered:
		if !current.Down {
			return current, Unchanged
		}
		current.Down = false
		return current, Applied
	case board.ServerLeaves:
		return applyLeave(current, event, now)
	case board.ServerFound:
		return applyDiscovery(current, event, now)
	}
	return applyHeartbeat(current, event, now)
}

// sameIncarnation reports whether an event speaks of the life in force. An event
// without a birth time can only be told apart by its id.
func sameIncarnation(current board.Server, said board.Server) bool {
	return current.ID == said.ID && (current.Born == said.Born || said.Born == 0 || current.Born == 0)
}

// fromEarlierIncarnation reports whether an event speaks of an earlier life than that in force.
func fromEarlierIncarnation(current board.Server, said board.Server) bool {
	return said.Born != 0 && current.Born != 0 && said.Born < current.Born
}

func applyHeartbeat(current board.Server, event board.ServerEvent, now time.Time) (board.Server, Result) {
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
		next.DrainSince = current.DrainSince
	}
	if next.State == current.State && next.Slots == current.Slots && next.Service == current.Service &&
		next.Addr == current.Addr && !current.Down && current.Born == next.Born {
		return next, Unchanged
	}
	return next, Applied
}

func lateHeartbeatResult(current, said board.Server) Result {
	if said.State <= current.State {
		return Unchanged
	}
	return Stale
}

// stateFromEvent returns the state that a heartbeat describes.
func stateFromEvent(event board.ServerEvent, now time.Time) board.Server {
	next := event.Server
	next.HeardAt = now
	next.WarmUntil = now.Add(event.Warmup)
	if next.State >= board.ServerDraining {
		next.DrainSince = now
	}
	return next
}

func applyLeave(current board.Server, event board.ServerEvent, now time.Time) (board.Server, Result) {
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
	if next.DrainSince.IsZero() {
		next.DrainSince = now
	}
	next.State = board.ServerGone
	next.HeardAt = now
	return next, Applied
}

// applyDiscovery takes a health answer of a backend server that was not heard yet.
func applyDiscovery(current board.Server, event board.ServerEvent, now time.Time) (board.Server, Result) {
	if current.ID != "" {
		return current, Unchanged
	}
	next := stateFromEvent(event, now)
	next.Sequence = -1
	return next, Applied
}
