package quota

import (
	"math"
	"time"
)

// historyBuckets is the number of parts of the window for which a History has counts.
const historyBuckets = 40

// History counts requests by time over the last window. It must not be used
// concurrently.
type History struct {
	width  time.Duration
	counts [historyBuckets]float64
	newest int64
}

// NewHistory returns an empty history of a window.
func NewHistory(window time.Duration) *History {
	return &History{width: max(1, window/historyBuckets)}
}

// advance drops what is older than the window.
func (h *History) advance(now time.Duration) {
	newest := int64(now / h.width)
	for step := max(h.newest+1, newest-historyBuckets+1); step <= newest; step++ {
		h.counts[step%historyBuckets] = 0
	}
	h.newest = max(h.newest, newest)
}

// Add counts requests that were admitted at a steady rate between two times. The later
// time must not be before that of an earlier call.
func (h *History) Add(requests float64, from, to time.Duration) {
	h.advance(to)
	first := max(int64(from/h.width), h.newest-historyBuckets+1, 0)
	if from >= to || first >= h.newest {
		h.counts[h.newest%historyBuckets] += requests
		return
	}
	whole := (to - from).Seconds()
	for step := first; step <= h.newest; step++ {
		begin, end := max(from, time.Duration(step)*h.width), min(to, time.Duration(step+1)*h.width)
		h.counts[step%historyBuckets] += requests * max(0, end-begin).Seconds() / whole
	}
}

// addAged counts requests by their age in buckets.
func (h *History) addAged(counts []float64, now time.Duration) {
	h.advance(now)
	for age, n := range counts {
		if age < historyBuckets && h.newest >= int64(age) {
			h.counts[(h.newest-int64(age))%historyBuckets] += n
		}
	}
}

// Counts returns the requests by their age in buckets, without trailing zeros.
func (h *History) Counts(now time.Duration) []float64 {
	h.advance(now)
	var out []float64
	for age := range int64(historyBuckets) {
		if h.newest < age {
			break
		}
		if n := h.counts[(h.newest-age)%historyBuckets]; n > 0 {
			for len(out) < int(age) {
				out = append(out, 0)
			}
			out = append(out, n)
		}
	}
	return out
}

// Sum returns the requests within the window.
func (h *History) Sum(now time.Duration) float64 {
	h.advance(now)
	sum := 0.0
	for _, n := range h.counts {
		sum += n
	}
	return sum
}

// excess returns the maximum over the times up to the window of the requests within that
// time less those that a rate allows, at least 0. A full token bucket with this history
// lacks as many requests.
func (h *History) excess(rate float64, now time.Duration) float64 {
	h.advance(now)
	sum, most := 0.0, 0.0
	for age := range int64(historyBuckets) {
		step := h.newest - age
		if step < 0 {
			break
		}
		sum += h.counts[step%historyBuckets]
		most = math.Max(most, sum-rate*(now-time.Duration(step)*h.width).Seconds())
	}
	return most
}
