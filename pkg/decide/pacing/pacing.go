// Package pacing decides when bytes may go out on a machine's link, so that
// small messages do not wait behind large answers. All functions are pure.
package pacing

import "time"

const (
	// MinPacedBytes is the size from which an answer is sent in paced pieces: the
	// largest of usual answers without a bundle.
	MinPacedBytes = 16 << 10
	// ChunkBytes is the size of a piece, about 2 ms of the thinnest links.
	ChunkBytes = 4 << 10
	// MinWait is the wait below which the next piece goes out at once; timers
	// fire about a millisecond late.
	MinWait = 2 * time.Millisecond
	// payloadShare is the share of a link's rate that is planned with. The rest
	// is for headers of packets.
	payloadShare = 0.95
)

// UsableRate returns the bytes per second that may be planned with on a link of the
// rate in Mbit/s, 0 when it is not known.
func UsableRate(mbps float64) float64 { return payloadShare * mbps * 1e6 / 8 }

// TransferTime returns how long bytes take at a rate, 0 when it is not known.
func TransferTime(bytes int64, rate float64) time.Duration {
	if rate <= 0 || bytes <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// Reserve returns when bytes may go out on a link that is free from a time on,
// and when it is free again.
func Reserve(free, now time.Duration, bytes int64, rate float64) (start, next time.Duration) {
	start = max(free, now)
	return start, start + TransferTime(bytes, rate)
}

// ResponseDelay returns how long an answer of the bytes, which is ready after work, takes
// on a link that has the backlog now.
func ResponseDelay(backlog, work time.Duration, bytes int64, rate float64) time.Duration {
	return max(0, backlog-work) + TransferTime(bytes, rate)
}
