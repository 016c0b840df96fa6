// Package budget holds the arithmetic of the budgets for probes, retries and
// hedges. Its functions take the current time as an argument.
package budget

import "time"

// windowLength is the 1 s for which the limits hold plus a margin, because a
// probe is sent slightly later than its token is spent, with a varying delay.
const windowLength = time.Second + 50*time.Millisecond

// SlidingWindow limits probes and their bytes. A spent token becomes available
// again only when the window of 1 s after it has passed, so that no window of
// 1 s exceeds the limits. A token bucket with a steady refill could allow up to
// its size plus its rate in one second. The zero value allows no probe. It is
// not safe for concurrent use.
type SlidingWindow struct {
	maxProbes, maxBytes int
	// spent lists the tokens that are not available again yet, oldest first.
	spent      []spentProbe
	spentBytes int
}

// spentProbe is the token of one probe.
type spentProbe struct {
	at    time.Time
	bytes int
}

// SetLimits changes the limits per second. Tokens that were spent under the
// previous limits still count until their window has passed.
func (w *SlidingWindow) SetLimits(probes, bytes int) { w.maxProbes, w.maxBytes = probes, bytes }

// Take spends the token of a probe of the given size, or returns false when
// the limits forbid it. Times must not decrease.
func (w *SlidingWindow) Take(now time.Time, bytes int) bool {
	w.expire(now)
	if len(w.spent) >= w.maxProbes || w.spentBytes+bytes > w.maxBytes {
		return false
	}
	w.spent = append(w.spent, spentProbe{at: now, bytes: bytes})
	w.spentBytes += bytes
	return true
}

// expire makes the tokens available again that were spent at least a window ago.
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
