// Package budget holds the arithmetic of the budgets for probes, retries and
// hedges. Its functions take the time as an argument.
package budget

import "time"

// windowLength is the length of the window that a budget holds for, plus a
// margin: a probe leaves a little after its token was spent, by an amount that
// differs from probe to probe.
const windowLength = time.Second + 50*time.Millisecond

// SlidingWindow is a token bucket for probes and bytes in which each token returns
// only when the window of 1 s after it was spent has passed. A bucket with a steady refill would let up
// to its size plus its rate pass in one second; with this one no window of 1 s
// exceeds the limits. The zero value lets nothing pass. It is not safe for
// concurrent use.
type SlidingWindow struct {
	maxProbes, maxBytes int
	// spent lists the tokens that have not returned, oldest first.
	spent      []spentProbe
	spentBytes int
}

type spentProbe struct {
	at    time.Time
	bytes int
}

// SetLimits changes the limits per second. Tokens that were spent under the
// former limits still count until they return.
func (w *SlidingWindow) SetLimits(probes, bytes int) { w.maxProbes, w.maxBytes = probes, bytes }

// Take spends one probe of a size in bytes, or returns false. Times must not
// decrease.
func (w *SlidingWindow) Take(now time.Time, bytes int) bool {
	w.expire(now)
	if len(w.spent) >= w.maxProbes || w.spentBytes+bytes > w.maxBytes {
		return false
	}
	w.spent = append(w.spent, spentProbe{at: now, bytes: bytes})
	w.spentBytes += bytes
	return true
}

func (w *SlidingWindow) expire(now time.Time) {
	n := 0
	for n < len(w.spent) && now.Sub(w.spent[n].at) >= windowLength {
		w.spentBytes -= w.spent[n].bytes
		n++
	}
	if n > 0 {
		w.spent = append(w.spent[:0], w.spent[n:]...)
	}
}
