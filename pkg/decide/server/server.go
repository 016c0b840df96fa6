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
func Apply(current board.Server, event board.ServerEvent, now time.Time) (board.Server, Verdict) {
	switch event.Kind {
	case board.ServerRefused:
		if current.ID == "" || current.Down {
			return current, Known
		}
		if !sameLife(current, event.Server) {
			return current, Stale
		}
		current.Down = true
		return current, Applied
	case board.ServerAnswered:
		if !current.Down {
			return current, Known
		}
		current.Down = false
		return current, Applied
	case board.ServerLeaves:
		return leave(current, event, now)
	case board.ServerFound:
		return found(current, event, now)
	}
	return heartbeat(current, event, now)
}

// sameLife reports whether an event speaks of the life in force. An event
// without a birth time can only be told apart by its id.
func sameLife(current board.Server, said board.Server) bool {
	return current.ID == said.ID && (current.Born == said.Born || said.Born == 0 || current.Born == 0)
}

// older reports whether an event speaks of an earlier life than that in force.
func older(current board.Server, said board.Server) bool {
	return said.Born != 0 && current.Born != 0 && said.Born < current.Born
}

func heartbeat(current board.Server, event board.ServerEvent, now time.Time) (board.Server, Verdict) {
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
		next.DrainSince = current.DrainSince
	}
	if next.State == current.State && next.Slots == current.Slots && next.Service == current.Service &&
		next.Addr == current.Addr && !current.Down && current.Born == next.Born {
		return next, Known
	}
	return next, Applied
}

func staleOrKnown(current, said board.Server) Verdict {
	if said.State <= current.State {
		return Known
	}
	return Stale
}

// begin returns the state that a heartbeat describes.
func begin(event board.ServerEvent, now time.Time) board.Server {
	next := event.Server
	next.HeardAt = now
	next.WarmUntil = now.Add(event.Warmup)
	if next.State >= board.ServerDraining {
		next.DrainSince = now
	}
	return next
}

func leave(current board.Server, event board.ServerEvent, now time.Time) (board.Server, Verdict) {
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
	if next.DrainSince.IsZero() {
		next.DrainSince = now
	}
	next.State = board.ServerGone
	next.HeardAt = now
	return next, Applied
}

// found takes a health answer of a backend server that was not heard yet.
func found(current board.Server, event board.ServerEvent, now time.Time) (board.Server, Verdict) {
	if current.ID != "" {
		return current, Known
	}
	next := begin(event, now)
	next.Sequence = -1
	return next, Applied
}
