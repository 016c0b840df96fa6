package quarantine

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// SuspectWindow is the longest time between a lost connection and the detection
// of the crash for the request to be a suspect. A silent backend server counts
// as crashed after 3 s; a restarted one announces itself within a few seconds.
const SuspectWindow = 10 * time.Second

// MaxLostExecutions limits the remembered executions with a lost connection.
const MaxLostExecutions = 256

// LostExecution is an execution whose connection to the backend server broke.
type LostExecution struct {
	Execution board.ExecutionResult
	LostAt    time.Time
}

// EndedIncarnation returns the incarnation of the local backend server that
// ended between two states of its board section, and whether one did: it was
// found down, became silent, or was replaced by another incarnation. A backend
// server that leaves after draining has no running requests to suspect.
func EndedIncarnation(old, next *board.LocalServer) (uint64, bool) {
	if old.Service == "" {
		return 0, false
	}
	ended := old.Incarnation != next.Incarnation || (old.Announced && !next.Announced)
	return old.Incarnation, ended
}

// EndedServerIncarnation is like EndedIncarnation for the backend server of a
// mesh node, whose incarnation is its start time.
func EndedServerIncarnation(old, next *board.BackendServer) (uint64, bool) {
	if old.ID == "" || old.Down {
		return 0, false
	}
	ended := next.Down || old.ID != next.ID || (old.StartMillis != next.StartMillis && old.StartMillis != 0)
	return uint64(old.StartMillis), ended
}

// SuspectExecutions returns the executions that may have crashed an
// incarnation, one per request digest: those whose connection was lost within
// SuspectWindow, and those that are still running.
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
