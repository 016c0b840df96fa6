// Package server decides what an announcement of a backend server changes. All
// functions are pure.
package server

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// Verdict says what became of an announcement.
type Verdict uint8

// Verdicts.
const (
	// Applied means that the state now says what the announcement says.
	Applied Verdict = iota
	// Known means that the state says so already.
	Known
	// Stale means that a newer announcement is in force.
	Stale
)

// Apply returns the state after an event and what became of the event.
func Apply(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Verdict) {
	switch event.Kind {
	case board.ServerEventUnreachable:
		if current.ID == "" || current.Down {
			return current, Known
		}
		if !sameLife(current, event.Server) {
			return current, Stale
		}
		current.Down = true
		return current, Applied
	case board.ServerEventReachable:
		if !current.Down {
			return current, Known
		}
		current.Down = false
		return current, Applied
	case board.ServerEventLeaving:
		return leave(current, event, now)
	case board.ServerEventHealthResponse:
		return found(current, event, now)
	}
	return heartbeat(current, event, now)
}

// sameLife reports whether an event speaks of the life in force. An event
// without a birth time can only be told apart by its id.
func sameLife(current board.BackendServer, said board.BackendServer) bool {
	return current.ID == said.ID && (current.StartMillis == said.StartMillis || said.StartMillis == 0 || current.StartMillis == 0)
}

// older reports whether an event speaks of an earlier life than that in force.
func older(current board.BackendServer, said board.BackendServer) bool {
	return said.StartMillis != 0 && current.StartMillis != 0 && said.StartMillis < current.StartMillis
}

func heartbeat(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Verdict) {
	said := event.Server
	if current.ID == "" {
		return begin(event, now), Applied
	}
	if older(current, said) {
		return current, Stale
	}
	if !sameLife(current, said) {
		return begin(event, now), Applied
	}
	if said.Sequence <= current.Sequence {
		return current, staleOrKnown(current, said)
	}
	if current.State >= board.ServerDraining && said.State < current.State {
		// A life that has begun to leave does not come back.
		return current, Stale
	}
	next := begin(event, now)
	if current.State >= board.ServerDraining {
		next.State = max(current.State, said.State)
		next.DrainingSince = current.DrainingSince
	}
	if next.State == current.State && next.Slots == current.Slots && next.Service == current.Service &&
		next.Addr == current.Addr && !current.Down && current.StartMillis == next.StartMillis {
		return next, Known
	}
	return next, Applied
}

func staleOrKnown(current, said board.BackendServer) Verdict {
	if said.State <= current.State {
		return Known
	}
	return Stale
}

// begin returns the state that a heartbeat describes.
func begin(event board.ServerEvent, now time.Time) board.BackendServer {
	next := event.Server
	next.LastHeardAt = now
	next.WarmupEndsAt = now.Add(event.Warmup)
	if next.State >= board.ServerDraining {
		next.DrainingSince = now
	}
	return next
}

func leave(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Verdict) {
	said := event.Server
	if current.ID != "" && (current.ID != said.ID || older(current, said)) {
		return current, Stale
	}
	if current.ID == said.ID && current.State == board.ServerGone {
		return current, Known
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

// found takes a health answer of a backend server that was not heard yet.
func found(current board.BackendServer, event board.ServerEvent, now time.Time) (board.BackendServer, Verdict) {
	if current.ID != "" {
		return current, Known
	}
	next := begin(event, now)
	next.Sequence = -1
	return next, Applied
}
