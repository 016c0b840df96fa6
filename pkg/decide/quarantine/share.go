package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/hashing"
)

// digestBuckets is the number of digests that nodes compare. A crash of a fifth
// of 600 backend servers leaves about 700 suspicions.
const digestBuckets = 32

// Reports returns what other nodes are told, in the order of the digests.
func (s State) Reports() []board.Suspicion {
	shared := make([]board.Suspicion, 0, len(s))
	for digest, suspect := range s {
		shared = append(shared, board.Suspicion{
			Digest: digest, Summary: suspect.Summary, ExpiresAt: suspect.ExpiresAt,
			Deaths: sortedIncarnations(suspect.Crashes), Cleared: sortedIncarnations(suspect.Cleared),
		})
	}
	slices.SortFunc(shared, func(a, b board.Suspicion) int { return cmp.Compare(a.Digest, b.Digest) })
	return shared
}

func sortedIncarnations(set map[board.ServerIncarnation]bool) []board.ServerIncarnation {
	return slices.SortedFunc(maps.Keys(set), compareIncarnations)
}

// Merge takes what another node tells. A suspicion lasts for ttl at most. It
// reports whether the state changed.
func (s State) Merge(told []board.Suspicion, now time.Time, ttl time.Duration) bool {
	changed := false
	for _, t := range told {
		left := min(time.Duration(t.TTLMillis)*time.Millisecond, ttl)
		if t.Digest == "" || left <= 0 {
			continue
		}
		until := now.Add(left)
		died := s.RecordCrashes(t.Digest, t.Summary, t.Deaths, until)
		cleared := s.ClearCrashes(t.Digest, t.Cleared, until)
		changed = changed || died || cleared
	}
	return changed
}

// BucketDigests returns numbers that are equal for equal suspicions, nil for none.
func BucketDigests(shared []board.Suspicion) []uint32 {
	if len(shared) == 0 {
		return nil
	}
	digests := make([]uint32, digestBuckets)
	for _, s := range shared {
		text := []byte(s.Digest)
		for _, set := range [][]board.ServerIncarnation{s.Deaths, s.Cleared} {
			for _, incarnation := range set {
				text = append(append(text, ' '), incarnation.Instance...)
				text = strconv.AppendUint(append(text, ' '), incarnation.Incarnation, 10)
			}
			text = append(text, ';')
		}
		hashing.AddEntry(digests, s.Digest, string(text))
	}
	return digests
}

// maxDeltaReports bounds the suspicions of one message, about 100 bytes each. What is
// left follows with the next exchanges, a quarter of a second apart.
const maxDeltaReports = 64

// ReportDelta returns suspicions that a node with other digests may not know. The time
// decides where it begins, so that all have their turn.
func ReportDelta(own *board.Quarantine, other []uint32, now time.Time) []board.Suspicion {
	var news []board.Suspicion
	for i := range own.Advertised {
		s := own.Advertised[(int(now.UnixMilli())+i)%len(own.Advertised)]
		if len(news) >= maxDeltaReports {
			break
		}
		if hashing.MayDiffer(s.Digest, own.BucketDigests, other) {
			news = appendUnexpired(news, s, now)
		}
	}
	return news
}

// QuarantinedReports returns the suspicions of the requests that are quarantined.
func QuarantinedReports(own *board.Quarantine, now time.Time) []board.Suspicion {
	var refused []board.Suspicion
	for _, s := range own.Advertised {
		if own.IsQuarantined(s.Digest, now) {
			refused = appendUnexpired(refused, s, now)
		}
	}
	return refused
}

func appendUnexpired(list []board.Suspicion, s board.Suspicion, now time.Time) []board.Suspicion {
	s.TTLMillis = s.ExpiresAt.Sub(now).Milliseconds()
	if s.TTLMillis <= 0 {
		return list
	}
	return append(list, s)
}
