// Package budget holds the arithmetic of the budgets for probes, retries and
// hedges. Its functions take the current time as an argument.
package budget

import "time"

// windowLength is the 1 s for which the limits hold plus a margin: a probe
// leaves a little after its token was spent, by an amount that differs from
// probe to probe.
const windowLength = time.Second + 50*time.Millisecond

// SlidingWindow limits probes and their bytes. Each token returns only when
// the window of 1 s after it was spent has passed, so that no window of 1 s
// exceeds the limits; a token bucket with a steady refill could let up to its
// size plus its rate pass in one second. The zero value lets nothing pass. It
// is not safe for concurrent use.
type SlidingWindow struct {
	maxProbes, maxBytes int
	// spent lists the tokens that have not returned yet, oldest first.
	spent      []spentProbe
	spentBytes int
}

// spentProbe is the token of one probe.
type spentProbe struct {
	at    time.Time
	bytes int
}

// SetLimits changes the limits per second. Tokens that were spent under the
// previous limits count until they return.
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

// expire returns the tokens that were spent longer than a window ago.
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
