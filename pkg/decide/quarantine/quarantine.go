// Package quarantine decides which requests are refused because they crash
// backend servers. A crash is an incarnation of a backend server that ended
// while the request was running on it; a request with enough crashes is
// quarantined.
//
// The functions take the time as an argument and do no I/O.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// MaxEntries limits the suspected requests that are kept. It suffices for
	// about 15 requests in flight on each of more than 60 backend servers that
	// crash within the TTL.
	MaxEntries = 1024
	// maxIncarnations limits the crashes, and the cleared crashes, that are
	// kept per request.
	maxIncarnations = 32
)

// SuspectedRequest is what is known about a request that may crash backend
// servers. Crashes and Cleared are grow-only sets, so that all nodes converge
// in whatever order they receive rumors.
type SuspectedRequest struct {
	Summary string
	Crashes map[board.ServerIncarnation]bool
	// Cleared are the incarnations that no longer count, because the request
	// later completed on another backend server or an operator lifted the
	// quarantine.
	Cleared map[board.ServerIncarnation]bool
	// ExpiresAt is one TTL after the last recorded or cleared crash.
	ExpiresAt time.Time
}

// State maps request digests to suspected requests. Its methods change it in
// place and are not safe for concurrent use.
type State map[string]*SuspectedRequest

// RecordCrashes records incarnations that ended while the request ran on them,
// and keeps the entry at least until the given time. It reports whether a crash
// was added.
func (s State) RecordCrashes(digest, summary string, incarnations []board.ServerIncarnation, until time.Time) bool {
	suspect := s.getOrCreate(digest)
	if suspect.Summary == "" {
		suspect.Summary = summary
	}
	suspect.extendExpiry(until)
	return addIncarnations(suspect.Crashes, incarnations)
}

// ClearCrashes marks crashes as cleared, and keeps the entry at least until the
// given time. It reports whether a cleared crash was added.
func (s State) ClearCrashes(digest string, incarnations []board.ServerIncarnation, until time.Time) bool {
	suspect := s.getOrCreate(digest)
	suspect.extendExpiry(until)
	return addIncarnations(suspect.Cleared, incarnations)
}

// extendExpiry makes the entry expire no earlier than the given time.
func (s *SuspectedRequest) extendExpiry(until time.Time) {
	if until.After(s.ExpiresAt) {
		s.ExpiresAt = until
	}
}

// getOrCreate returns the entry of a digest and creates it when needed. In a
// full state it evicts the entry with the fewest uncleared crashes, and among
// these the one that expires first.
func (s State) getOrCreate(digest string) *SuspectedRequest {
	if suspect := s[digest]; suspect != nil {
		return suspect
	}
	if len(s) >= MaxEntries {
		delete(s, s.evictionCandidate())
	}
	suspect := &SuspectedRequest{Crashes: map[board.ServerIncarnation]bool{}, Cleared: map[board.ServerIncarnation]bool{}}
	s[digest] = suspect
	return suspect
}

func (s State) evictionCandidate() string {
	candidate := ""
	for digest, suspect := range s {
		if candidate == "" || compareForEviction(digest, suspect, candidate, s[candidate]) < 0 {
			candidate = digest
		}
	}
	return candidate
}

func compareForEviction(digestA string, a *SuspectedRequest, digestB string, b *SuspectedRequest) int {
	return cmp.Or(
		cmp.Compare(len(a.UnclearedCrashes()), len(b.UnclearedCrashes())),
		a.ExpiresAt.Compare(b.ExpiresAt),
		cmp.Compare(digestA, digestB),
	)
}

// addIncarnations adds incarnations to a set up to maxIncarnations and reports
// whether the set changed.
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

// UnclearedCrashes returns the crashes that are not cleared, sorted by instance
// and incarnation.
func (s *SuspectedRequest) UnclearedCrashes() []board.ServerIncarnation {
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

// RemoveExpired removes the expired entries and reports whether there were any.
func (s State) RemoveExpired(now time.Time) bool {
	before := len(s)
	for digest, suspect := range s {
		if !now.Before(suspect.ExpiresAt) {
			delete(s, digest)
		}
	}
	return len(s) != before
}

// Snapshot returns the value of the Quarantine section: the requests with
// uncleared crashes. A request is quarantined when it has at least
// crashThreshold of them.
func (s State) Snapshot(crashThreshold int) *board.Quarantine {
	snapshot := &board.Quarantine{Entries: map[string]board.QuarantineEntry{}}
	for digest, suspect := range s {
		crashes := suspect.UnclearedCrashes()
		if len(crashes) == 0 {
			continue
		}
		snapshot.Entries[digest] = board.QuarantineEntry{
			Digest: digest, Summary: suspect.Summary, Deaths: crashes,
			Quarantined: len(crashes) >= crashThreshold, ExpiresAt: suspect.ExpiresAt,
		}
	}
	return snapshot
}

// ProvesHarmless reports whether the completion of a request on an incarnation
// counts as proof that the request is harmless: the request has crashes, and
// this incarnation is not among them.
func ProvesHarmless(crashes []board.ServerIncarnation, completedOn board.ServerIncarnation) bool {
	return len(crashes) > 0 && !slices.Contains(crashes, completedOn)
}
