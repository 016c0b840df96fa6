package mesh

import (
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/decide/warmup"
)

const (
	// sendWindowBuckets is the size of the ring, at least warmup.Buckets.
	sendWindowBuckets = 64
	// sendCountBits is the number of low bits of a bucket that hold the count. The
	// others hold the number of the bucket.
	sendCountBits = 24
	sendCountMask = 1<<sendCountBits - 1
)

// sendWindow counts the calls that were sent to the backend server in the last second.
// It is lock-free; the zero value is empty.
type sendWindow struct {
	// origin is the time at which the first bucket begins.
	origin  atomic.Pointer[time.Time]
	buckets [sendWindowBuckets]atomic.Uint64
}

// bucketAt returns the number of the bucket at a time and the time until it ends.
// Buckets are counted from 1, so that an unused one differs from all others.
func (w *sendWindow) bucketAt(now time.Time) (number uint64, endsIn time.Duration) {
	origin := w.origin.Load()
	if origin == nil {
		w.origin.CompareAndSwap(nil, &now)
		origin = w.origin.Load()
	}
	elapsed := max(0, now.Sub(*origin))
	return uint64(elapsed/warmup.BucketWidth) + 1, warmup.BucketWidth - elapsed%warmup.BucketWidth
}

// add counts one call and returns the bucket that counts it.
func (w *sendWindow) add(now time.Time) (bucket uint64) {
	number, _ := w.bucketAt(now)
	slot := &w.buckets[number%sendWindowBuckets]
	for {
		old := slot.Load()
		// A goroutine that was delayed counts its call in the newer bucket that has
		// taken the slot.
		next, counted := old+1, old>>sendCountBits
		if counted < number {
			next, counted = number<<sendCountBits|1, number
		}
		if slot.CompareAndSwap(old, next) {
			return counted
		}
	}
}

// remove takes back a call that was counted in a bucket and not sent.
func (w *sendWindow) remove(bucket uint64) {
	slot := &w.buckets[bucket%sendWindowBuckets]
	for {
		old := slot.Load()
		if old>>sendCountBits != bucket || old&sendCountMask == 0 || slot.CompareAndSwap(old, old-1) {
			return
		}
	}
}

// history returns the calls sent until now.
func (w *sendWindow) history(now time.Time) warmup.History {
	current, endsIn := w.bucketAt(now)
	h := warmup.History{CurrentEndsIn: endsIn}
	for i := range w.buckets {
		value := w.buckets[i].Load()
		number := value >> sendCountBits
		if number == 0 || number+warmup.Buckets <= current {
			continue
		}
		// A goroutine with a later time may have begun a newer bucket already.
		age := current - min(number, current)
		h.Counts[warmup.Buckets-1-age] += int(value & sendCountMask)
	}
	return h
}

// tryAdd counts one call unless that exceeds the allowance. The call is counted before
// the check, so that of several goroutines at most as many succeed as the allowance
// permits.
func (w *sendWindow) tryAdd(a warmup.Allowance, now time.Time) bool {
	bucket := w.add(now)
	if !a.Exceeded(w.history(now)) {
		return true
	}
	w.remove(bucket)
	return false
}
