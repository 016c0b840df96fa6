package quarantine

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/quarantine"
)

// tracker keeps the suspected requests of one node. It belongs to the goroutine
// of its controller.
type tracker struct {
	self  board.InstanceID
	log   zerolog.Logger
	state decide.State
	lost  []decide.LostExecution
	// ended are the incarnations of the backend server that ended lately. Calls that
	// notice the death later than the controller are suspects too.
	ended map[uint64]time.Time
}

func newTracker(self board.InstanceID, log zerolog.Logger) tracker {
	return tracker{self: self, log: log, state: decide.State{}, ended: map[uint64]time.Time{}}
}

// lose notes an execution whose connection broke. It reports whether the
// incarnation it ran on is known to have ended.
func (t *tracker) lose(e board.ExecutionResult, now time.Time) bool {
	if _, found := t.ended[e.ServerIncarnation]; found {
		return true
	}
	t.lost = append(t.lost, decide.LostExecution{Execution: e, LostAt: now})
	if len(t.lost) > decide.MaxLostExecutions {
		t.lost = slices.Delete(t.lost, 0, len(t.lost)-decide.MaxLostExecutions)
	}
	return false
}

func (t *tracker) incarnationOf(e board.ExecutionResult) board.ServerIncarnation {
	return board.ServerIncarnation{Instance: t.self, Incarnation: e.ServerIncarnation}
}

// died records the death of the backend server under the suspects and returns
// what is new.
func (t *tracker) died(suspects []board.ExecutionResult, until time.Time) []board.Suspicion {
	var news []board.Suspicion
	for _, e := range suspects {
		deaths := []board.ServerIncarnation{t.incarnationOf(e)}
		if !t.state.RecordCrashes(e.Digest, e.Summary, deaths, until) {
			continue
		}
		news = append(news, board.Suspicion{Digest: e.Digest, Summary: e.Summary, Deaths: deaths})
		t.log.Warn().Str("event", "crash_suspect").Str("digest", e.Digest).Str("request", e.Summary).
			Uint64("server_incarnation", e.ServerIncarnation).Msg("backend server died under a request")
	}
	return news
}

// harmless returns the entry of a suspect that has completed on another backend
// server than those that died under it.
func (t *tracker) harmless(q *board.Quarantine, e board.ExecutionResult) (board.QuarantineEntry, bool) {
	entry, found := q.Entries[e.Digest]
	return entry, found && decide.ProvesHarmless(entry.Deaths, t.incarnationOf(e))
}

// logChanges logs the requests that are refused from now on, and no longer.
func (t *tracker) logChanges(old, next *board.Quarantine) {
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

// expire drops what has ended. It reports whether a suspect was dropped.
func (t *tracker) expire(now time.Time) bool {
	t.lost = slices.DeleteFunc(t.lost, func(l decide.LostExecution) bool { return now.Sub(l.LostAt) > decide.SuspectWindow })
	for incarnation, at := range t.ended {
		if now.Sub(at) > decide.SuspectWindow {
			delete(t.ended, incarnation)
		}
	}
	return t.state.RemoveExpired(now)
}
