package quarantine

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// SuspectWindow is how long a lost connection may precede the proof of death.
// A backend server that is silent counts as dead after 3 s; one that restarts
// announces itself within a few seconds.
const SuspectWindow = 10 * time.Second

// MaxLostExecutions bounds the remembered lost executions of one incarnation.
const MaxLostExecutions = 256

// LostExecution is an execution whose connection broke.
type LostExecution struct {
	Execution board.ExecutionResult
	LostAt    time.Time
}

// EndedIncarnation returns the incarnation of the backend server that ended between
// two states of the Local section, and whether one did: it was found down or
// fell silent, or another incarnation took its place. A backend server that
// withdraws after its drain has no request left that could be suspected.
func EndedIncarnation(old, next *board.LocalServer) (uint64, bool) {
	if old.Service == "" {
		return 0, false
	}
	ended := old.Incarnation != next.Incarnation || (old.Announced && !next.Announced)
	return old.Incarnation, ended
}

// EndedServerIncarnation is Ended for the backend server of a node on the platform, whose
// incarnation is the time of its start.
func EndedServerIncarnation(old, next *board.BackendServer) (uint64, bool) {
	if old.ID == "" || old.Down {
		return 0, false
	}
	ended := next.Down || old.ID != next.ID || (old.StartMillis != next.StartMillis && old.StartMillis != 0)
	return uint64(old.StartMillis), ended
}

// SuspectExecutions returns the executions that ended with an incarnation: those lost
// within SuspectWindow and those still running, each digest once.
func SuspectExecutions(incarnation uint64, lost []LostExecution, running []board.ExecutionResult, now time.Time) []board.ExecutionResult {
	var suspects []board.ExecutionResult
	seen := map[string]bool{}
	add := func(e board.ExecutionResult) {
		if e.ServerIncarnation == incarnation && e.Digest != "" && !seen[e.Digest] {
			seen[e.Digest] = true
			suspects = append(suspects, e)
		}
	}
	for _, l := range lost {
		if now.Sub(l.LostAt) <= SuspectWindow {
			add(l.Execution)
		}
	}
	for _, e := range running {
		add(e)
	}
	return suspects
}
