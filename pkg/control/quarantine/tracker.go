package quarantine

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/quarantine"
)

// suspectTracker tracks the suspect requests that one node knows. Only the
// goroutine of its controller uses it.
type suspectTracker struct {
	self            board.InstanceID
	log             zerolog.Logger
	suspectRequests decide.State
	lostExecutions  []decide.LostExecution
	// endedIncarnations maps the recently ended incarnations of the local backend
	// server to the time when their end was detected. An execution that reports its
	// lost connection only after that is a suspect, too.
	endedIncarnations map[uint64]time.Time
}

func newSuspectTracker(self board.InstanceID, log zerolog.Logger) suspectTracker {
	return suspectTracker{self: self, log: log, suspectRequests: decide.State{}, endedIncarnations: map[uint64]time.Time{}}
}

// recordLostConnection handles an execution whose connection to the backend server
// was lost. It returns true if the incarnation is known to have ended. Otherwise
// it remembers the execution in case the end is detected later.
func (t *suspectTracker) recordLostConnection(e board.ExecutionResult, now time.Time) bool {
	if _, found := t.endedIncarnations[e.ServerIncarnation]; found {
		return true
	}
	t.lostExecutions = append(t.lostExecutions, decide.LostExecution{Execution: e, LostAt: now})
	if len(t.lostExecutions) > decide.MaxLostExecutions {
		t.lostExecutions = slices.Delete(t.lostExecutions, 0, len(t.lostExecutions)-decide.MaxLostExecutions)
	}
	return false
}

func (t *suspectTracker) incarnationOf(e board.ExecutionResult) board.ServerIncarnation {
	return board.ServerIncarnation{Instance: t.self, Incarnation: e.ServerIncarnation}
}

// recordCrashes records a crash of the backend server for each suspect execution
// and returns the crashes that were not known yet.
func (t *suspectTracker) recordCrashes(suspects []board.ExecutionResult, until time.Time) []board.Suspicion {
	var added []board.Suspicion
	for _, e := range suspects {
		deaths := []board.ServerIncarnation{t.incarnationOf(e)}
		if !t.suspectRequests.RecordCrashes(e.Digest, e.Summary, deaths, until) {
			continue
		}
		added = append(added, board.Suspicion{Digest: e.Digest, Summary: e.Summary, Deaths: deaths})
		t.log.Warn().Str("event", "crash_suspect").Str("digest", e.Digest).Str("request", e.Summary).
			Uint64("server_incarnation", e.ServerIncarnation).Msg("backend server crashed while executing a request")
	}
	return added
}

// harmlessEntry returns the entry of a completed execution, and whether the
// completion proves that the request is harmless, because it ran on an
// incarnation other than those that crashed.
func (t *suspectTracker) harmlessEntry(q *board.Quarantine, e board.ExecutionResult) (board.QuarantineEntry, bool) {
	entry, found := q.Entries[e.Digest]
	return entry, found && decide.ProvesHarmless(entry.Deaths, t.incarnationOf(e))
}

// logChanges logs the requests whose quarantine starts or ends.
func (t *suspectTracker) logChanges(old, next *board.Quarantine) {
	for digest, entry := range next.Entries {
		if entry.Quarantined && !old.Entries[digest].Quarantined {
			t.log.Warn().Str("event", "quarantined").Str("digest", digest).Str("request", entry.Summary).
				Int("deaths", len(entry.Deaths)).Time("until", entry.ExpiresAt).Msg("request quarantined")
		}
	}
	for digest, entry := range old.Entries {
		if entry.Quarantined && !next.Entries[digest].Quarantined {
			t.log.Info().Str("event", "quarantine_ended").Str("digest", digest).Str("request", entry.Summary).
				Msg("quarantine ended")
		}
	}
}

// removeExpired removes lost executions and ended incarnations after
// decide.SuspectWindow, and expired suspect requests. It reports whether there
// were any of the latter.
func (t *suspectTracker) removeExpired(now time.Time) bool {
	t.lostExecutions = slices.DeleteFunc(t.lostExecutions, func(l decide.LostExecution) bool { return now.Sub(l.LostAt) > decide.SuspectWindow })
	for incarnation, at := range t.endedIncarnations {
		if now.Sub(at) > decide.SuspectWindow {
			delete(t.endedIncarnations, incarnation)
		}
	}
	return t.suspectRequests.RemoveExpired(now)
}
