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
// of a fifth of 600 backend servers leaves about 700 suspicions.
const digestBuckets = 32

// Suspicions returns the suspicions that are shared with other nodes, sorted by
// request digest.
func (s State) Suspicions() []board.Suspicion {
	suspicions := make([]board.Suspicion, 0, len(s))
	for digest, suspect := range s {
		suspicions = append(suspicions, board.Suspicion{
			Digest: digest, Summary: suspect.Summary, Until: suspect.Until,
			Deaths: sortedIncarnations(suspect.Deaths), Cleared: sortedIncarnations(suspect.Cleared),
		})
	}
	slices.SortFunc(suspicions, func(a, b board.Suspicion) int { return cmp.Compare(a.Digest, b.Digest) })
	return suspicions
}

func sortedIncarnations(set map[board.ServerIncarnation]bool) []board.ServerIncarnation {
	return slices.SortedFunc(maps.Keys(set), compareIncarnations)
}

// Merge adds suspicions received from another node. Each one lasts for ttl at
// most. It reports whether the state changed.
func (s State) Merge(received []board.Suspicion, now time.Time, ttl time.Duration) bool {
	changed := false
	for _, r := range received {
		remaining := min(time.Duration(r.LeftMillis)*time.Millisecond, ttl)
		if r.Digest == "" || remaining <= 0 {
			continue
		}
		until := now.Add(remaining)
		died := s.RecordDeaths(r.Digest, r.Summary, r.Deaths, until)
		cleared := s.ClearDeaths(r.Digest, r.Cleared, until)
		changed = changed || died || cleared
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
				content = strconv.AppendUint(append(content, ' '), incarnation.ServerIncarnation, 10)
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

// SuspicionDelta returns the suspicions that a peer with the given bucket
// digests may lack, at most maxDeltaSuspicions. The starting position changes
// with the time, so that every suspicion is sent eventually.
func SuspicionDelta(own *board.Quarantine, peerDigests []uint32, now time.Time) []board.Suspicion {
	var delta []board.Suspicion
	for i := range own.Shared {
		s := own.Shared[(int(now.UnixMilli())+i)%len(own.Shared)]
		if len(delta) >= maxDeltaSuspicions {
			break
		}
		if hashing.MayDiffer(s.Digest, own.Digests, peerDigests) {
			delta = appendUnexpired(delta, s, now)
		}
	}
	return delta
}

// QuarantinedSuspicions returns the suspicions of the requests that are
// quarantined.
func QuarantinedSuspicions(own *board.Quarantine, now time.Time) []board.Suspicion {
	var quarantined []board.Suspicion
	for _, s := range own.Shared {
		if own.Refuses(s.Digest, now) {
			quarantined = appendUnexpired(quarantined, s, now)
		}
	}
	return quarantined
}

// appendUnexpired appends a suspicion with the time that is left of it, unless
// it has expired.
func appendUnexpired(list []board.Suspicion, s board.Suspicion, now time.Time) []board.Suspicion {
	s.LeftMillis = s.Until.Sub(now).Milliseconds()
	if s.LeftMillis <= 0 {
		return list
	}
	return append(list, s)
}
