// Package pacing decides when bytes may be sent on the link of a machine, so
// that small messages do not wait behind large responses. All functions are
// pure.
package pacing

import "time"

const (
	// MinPacedBytes is the size from which a response is sent in paced chunks.
	// Typical responses, other than bulk data, are no larger.
	MinPacedBytes = 16 << 10
	// ChunkBytes is the size of a chunk, which takes about 2 ms on the slowest
	// links.
	ChunkBytes = 4 << 10
	// MinWait is the wait below which the next chunk is sent at once: timers
	// fire about a millisecond late.
	MinWait = 2 * time.Millisecond
	// payloadShare is the share of the rate of a link that is available to
	// payload. The rest is for packet headers.
	payloadShare = 0.95
)

// bodyShare is the share of the usable rate at which request bodies are received. The
// rest is for calls, responses and messages of other nodes, which wait behind bodies on
// a link that these fill.
const bodyShare = 0.75

// BodyRate returns the rate at which request bodies are received on a link with a
// usable rate, in the same unit.
func BodyRate(usableRate float64) float64 { return bodyShare * usableRate }

// Upload is a request body that another node wants to send.
type Upload struct {
	Bytes int64
	// Backlog is the time that the link needs for the bodies before it.
	Backlog time.Duration
	// Rate is the rate of the link for bodies in bytes per second, 0 when not known.
	Rate float64
	// ServiceTime is the least time that the call needs on the backend server, and
	// TimeLeft the time until its response is due.
	ServiceTime time.Duration
	TimeLeft    time.Duration
}

// AcceptUpload reports whether a body can arrive early enough for its call to be in
// time. A body that arrives too late would only delay others.
func AcceptUpload(u Upload) bool {
	return u.Backlog+TransferTime(u.Bytes, u.Rate)+u.ServiceTime <= u.TimeLeft
}

// UsableRate returns the payload rate in bytes per second of a link with a
// rate in Mbit/s, 0 when the rate is not known.
func UsableRate(mbps float64) float64 { return payloadShare * mbps * 1e6 / 8 }

// TransferTime returns how long it takes to send bytes at a rate in bytes per
// second, 0 when the rate is not known.
func TransferTime(bytes int64, rate float64) time.Duration {
	if rate <= 0 || bytes <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// Reserve schedules bytes on a link that is busy until freeAt. It returns when
// they may be sent and when the link is free again.
func Reserve(freeAt, now time.Duration, bytes int64, rate float64) (start, nextFree time.Duration) {
	start = max(freeAt, now)
	return start, start + TransferTime(bytes, rate)
}

// ResponseDelay returns the time that the link adds to a response of the given
// size: the part of its current backlog that is left after the service time,
// and the transfer.
func ResponseDelay(backlog, serviceTime time.Duration, bytes int64, rate float64) time.Duration {
	return max(0, backlog-serviceTime) + TransferTime(bytes, rate)
}
