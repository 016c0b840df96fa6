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

// digestBuckets is the number of buckets whose digests nodes compare. A crash
// of a fifth of 600 backend servers leaves about 700 suspected requests.
const digestBuckets = 32

// Reports returns the suspicions of all requests that are gossiped to other
// nodes, sorted by request digest.
func (s State) Reports() []board.Suspicion {
	suspicions := make([]board.Suspicion, 0, len(s))
	for digest, suspect := range s {
		suspicions = append(suspicions, board.Suspicion{
			Digest: digest, Summary: suspect.Summary, ExpiresAt: suspect.ExpiresAt,
			Deaths: sortedIncarnations(suspect.Crashes), Cleared: sortedIncarnations(suspect.Cleared),
		})
	}
	slices.SortFunc(suspicions, func(a, b board.Suspicion) int { return cmp.Compare(a.Digest, b.Digest) })
	return suspicions
}

func sortedIncarnations(set map[board.ServerIncarnation]bool) []board.ServerIncarnation {
	return slices.SortedFunc(maps.Keys(set), compareIncarnations)
}

// Merge adds the suspicions received from another node. The entry of a received
// suspicion lasts for ttl at most. Merge reports whether the state changed.
func (s State) Merge(received []board.Suspicion, now time.Time, ttl time.Duration) bool {
	changed := false
	for _, r := range received {
		remaining := min(time.Duration(r.TTLMillis)*time.Millisecond, ttl)
		if r.Digest == "" || remaining <= 0 {
			continue
		}
		until := now.Add(remaining)
		crashed := s.RecordCrashes(r.Digest, r.Summary, r.Deaths, until)
		cleared := s.ClearCrashes(r.Digest, r.Cleared, until)
		changed = changed || crashed || cleared
	}
	return changed
}

// BucketDigests returns one digest per bucket of suspicions, nil when there are
// none. Equal suspicions have equal digests.
func BucketDigests(suspicions []board.Suspicion) []uint32 {
	if len(suspicions) == 0 {
		return nil
	}
	digests := make([]uint32, digestBuckets)
	for _, s := range suspicions {
		content := []byte(s.Digest)
		for _, set := range [][]board.ServerIncarnation{s.Deaths, s.Cleared} {
			for _, incarnation := range set {
				content = append(append(content, ' '), incarnation.Instance...)
				content = strconv.AppendUint(append(content, ' '), incarnation.Incarnation, 10)
			}
			content = append(content, ';')
		}
		hashing.AddEntry(digests, s.Digest, string(content))
	}
	return digests
}

// maxDeltaSuspicions limits the suspicions in one message, at about 100 bytes
// each. The rest follows with the next exchanges, which are 250 ms apart.
const maxDeltaSuspicions = 64

// ReportDelta returns the suspicions that a peer with the given bucket digests
// may lack, at most maxDeltaSuspicions. The starting position changes with the
// time, so that every suspicion is sent eventually.
func ReportDelta(own *board.Quarantine, peerDigests []uint32, now time.Time) []board.Suspicion {
	var delta []board.Suspicion
	for i := range own.Advertised {
		s := own.Advertised[(int(now.UnixMilli())+i)%len(own.Advertised)]
		if len(delta) >= maxDeltaSuspicions {
			break
		}
		if hashing.MayDiffer(s.Digest, own.BucketDigests, peerDigests) {
			delta = appendUnexpired(delta, s, now)
		}
	}
	return delta
}

// QuarantinedReports returns the suspicions of the requests that are quarantined.
func QuarantinedReports(own *board.Quarantine, now time.Time) []board.Suspicion {
	var quarantined []board.Suspicion
	for _, s := range own.Advertised {
		if own.IsQuarantined(s.Digest, now) {
			quarantined = appendUnexpired(quarantined, s, now)
		}
	}
	return quarantined
}

// appendUnexpired appends a suspicion with the time that is left until it
// expires, unless it has expired.
func appendUnexpired(suspicions []board.Suspicion, s board.Suspicion, now time.Time) []board.Suspicion {
	s.TTLMillis = s.ExpiresAt.Sub(now).Milliseconds()
	if s.TTLMillis <= 0 {
		return suspicions
	}
	return append(suspicions, s)
}
