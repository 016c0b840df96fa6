// Package quarantine decides which requests are refused because they crash
// backend servers. All functions are pure.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// MaxEntries bounds the suspected requests: the requests in flight, about
	// 15 each, of more than 60 backend servers that die within the TTL.
	MaxEntries = 1024
	// maxIncarnations bounds the incarnations that are kept per request.
	maxIncarnations = 32
)

// SuspectRequest is what is known about one request. Deaths and clearances are sets,
// so that all nodes agree in whatever order they hear of them.
type SuspectRequest struct {
	Summary string
	Crashes map[board.ServerIncarnation]bool
	// Cleared are the incarnations that do not count any more, because the request
	// completed elsewhere later or an operator lifted the quarantine.
	Cleared map[board.ServerIncarnation]bool
	// ExpiresAt is when the entry ends: the TTL after the last death.
	ExpiresAt time.Time
}

// State maps digests to suspects. The functions below change it in place; only
// its owner calls them.
type State map[string]*SuspectRequest

// RecordCrashes records that incarnations ended while the request ran on them; the entry lasts
// until the given time at least. It reports whether the state changed.
func (s State) RecordCrashes(digest, summary string, incarnations []board.ServerIncarnation, until time.Time) bool {
	suspect := s.getOrCreate(digest)
	if suspect.Summary == "" {
		suspect.Summary = summary
	}
	suspect.extendExpiry(until)
	return addIncarnations(suspect.Crashes, incarnations)
}

// ClearCrashes takes back the given incarnations until the given time at least. It reports
// whether the state changed.
func (s State) ClearCrashes(digest string, incarnations []board.ServerIncarnation, until time.Time) bool {
	suspect := s.getOrCreate(digest)
	suspect.extendExpiry(until)
	return addIncarnations(suspect.Cleared, incarnations)
}

func (s *SuspectRequest) extendExpiry(until time.Time) {
	if until.After(s.ExpiresAt) {
		s.ExpiresAt = until
	}
}

// getOrCreate returns the entry of a digest. Above the limit the entry with the fewest
// deaths is dropped, of these the one that ends first.
func (s State) getOrCreate(digest string) *SuspectRequest {
	if suspect := s[digest]; suspect != nil {
		return suspect
	}
	if len(s) >= MaxEntries {
		delete(s, s.evictionCandidate())
	}
	suspect := &SuspectRequest{Crashes: map[board.ServerIncarnation]bool{}, Cleared: map[board.ServerIncarnation]bool{}}
	s[digest] = suspect
	return suspect
}

func (s State) evictionCandidate() string {
	least := ""
	for digest, suspect := range s {
		if least == "" || compareForEviction(digest, suspect, least, s[least]) < 0 {
			least = digest
		}
	}
	return least
}

func compareForEviction(digestA string, a *SuspectRequest, digestB string, b *SuspectRequest) int {
	return cmp.Or(
		cmp.Compare(len(a.UnclearedCrashes()), len(b.UnclearedCrashes())),
		a.ExpiresAt.Compare(b.ExpiresAt),
		cmp.Compare(digestA, digestB),
	)
}

func addIncarnations(set map[board.ServerIncarnation]bool, incarnations []board.ServerIncarnation) bool {
	changed := false
	for _, incarnation := range incarnations {
		if !set[incarnation] && len(set) < maxIncarnations {
			set[incarnation] = true
			changed = true
		}
	}
	return changed
}

// UnclearedCrashes returns the deaths that are not cleared, in a fixed order.
func (s *SuspectRequest) UnclearedCrashes() []board.ServerIncarnation {
	var incarnations []board.ServerIncarnation
	for incarnation := range s.Crashes {
		if !s.Cleared[incarnation] {
			incarnations = append(incarnations, incarnation)
		}
	}
	slices.SortFunc(incarnations, compareIncarnations)
	return incarnations
}

func compareIncarnations(a, b board.ServerIncarnation) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
}

// RemoveExpired drops the entries whose time has passed. It reports whether there
// were any.
func (s State) RemoveExpired(now time.Time) bool {
	before := len(s)
	for digest, suspect := range s {
		if !now.Before(suspect.ExpiresAt) {
			delete(s, digest)
		}
	}
	return len(s) != before
}

// Snapshot returns the section value: the requests with deaths that count. A
// request is quarantined from the given number of distinct deaths on.
func (s State) Snapshot(needed int) *board.Quarantine {
	snapshot := &board.Quarantine{Entries: map[string]board.QuarantineEntry{}}
	for digest, suspect := range s {
		deaths := suspect.UnclearedCrashes()
		if len(deaths) == 0 {
			continue
		}
		snapshot.Entries[digest] = board.QuarantineEntry{
			Digest: digest, Summary: suspect.Summary, Deaths: deaths,
			Quarantined: len(deaths) >= needed, ExpiresAt: suspect.ExpiresAt,
		}
	}
	return snapshot
}

// ProvesHarmless reports whether a completion on an incarnation counts as proof that the
// request is harmless: the request killed other incarnations, not this one.
func ProvesHarmless(deaths []board.ServerIncarnation, completedOn board.ServerIncarnation) bool {
	return len(deaths) > 0 && !slices.Contains(deaths, completedOn)
}
