// Package warmup decides how many calls a cold backend server gets. A backend server
// is cold for some time after its start; it then bears a small rate of calls and
// crashes well above that. All functions are pure.
package warmup

import (
	"math"
	"time"
)

// Policy is the limit of the backend servers of one service.
type Policy struct {
	// Duration is how long a backend server stays cold after its start if it does not
	// report otherwise.
	Duration time.Duration
	// Rate is the number of calls per second that a cold backend server bears, 0 for no
	// limit.
	Rate float64
	// Overshoot and Slack define the bound: in any second at most Rate x Overshoot +
	// Slack calls.
	Overshoot float64
	Slack     float64
}

// Enabled reports whether the policy limits cold backend servers.
func (p Policy) Enabled() bool { return p.Rate > 0 }

// Bound returns the largest number of calls that a cold backend server may get in any
// second.
func (p Policy) Bound() float64 { return p.Rate*p.Overshoot + p.Slack }

const (
	// rateFactor is the rate that is admitted as a multiple of Rate. It makes up for the
	// rounding of the window to whole buckets.
	rateFactor = 1.1
	// boundShare is the share of Bound that is used at most. The rest covers calls whose
	// time between admission and arrival at the backend server varies.
	boundShare = 0.85
	// burstBuckets is the length of the second, shorter window, which covers 200 to
	// 220 ms. It spreads the calls
	// within the second.
	burstBuckets = 11
)

// BucketWidth is the resolution of History, and Buckets its length. Together they
// cover 1.02 to 1.04 s, so that a call which is sent 20 ms after its admission still
// counts in the same second as those that arrive after it.
const (
	BucketWidth = 20 * time.Millisecond
	Buckets     = 52
)

// History is the number of calls sent recently, by time.
type History struct {
	// Counts holds the calls sent in each bucket, the oldest first. The last bucket is
	// the current one.
	Counts [Buckets]int
	// CurrentEndsIn is the time until the current bucket ends.
	CurrentEndsIn time.Duration
}

// Sent returns the number of calls in the history.
func (h History) Sent() int { return h.sentIn(Buckets) }

func (h History) sentIn(buckets int) int {
	sum := 0
	for _, n := range h.Counts[Buckets-buckets:] {
		sum += n
	}
	return sum
}

// Allowance is the number of calls that may be sent to a cold backend server.
type Allowance struct {
	// PerSecond applies to any second and PerBurst to any fifth of a second.
	PerSecond, PerBurst int
}

// Allowance returns the allowance: a little more than the rate and less than the bound
// in a second, nearly evenly spread over it. It is 0 if the bound does not allow one
// call in each second.
func (p Policy) Allowance() Allowance {
	perSecond := int(min(math.Ceil(rateFactor*p.Rate), boundShare*p.Bound()))
	if perSecond <= 0 {
		return Allowance{}
	}
	perBurst := int(math.Ceil(float64(perSecond*burstBuckets)/Buckets)) + 1
	return Allowance{PerSecond: perSecond, PerBurst: min(perSecond, perBurst)}
}

// Exceeded reports whether more calls were sent than the allowance permits.
func (a Allowance) Exceeded(h History) bool {
	return h.Sent() > a.PerSecond || h.sentIn(burstBuckets) > a.PerBurst
}

// Wait returns the time until one further call may be sent when ahead other calls are
// sent before it.
func (a Allowance) Wait(h History, ahead int) time.Duration {
	if a.PerSecond <= 0 {
		return Buckets * BucketWidth
	}
	total := time.Duration(ahead/a.PerSecond) * Buckets * BucketWidth
	for range ahead%a.PerSecond + 1 {
		wait := max(untilRoom(h, Buckets, a.PerSecond), untilRoom(h, burstBuckets, a.PerBurst))
		total += wait
		h = h.after(wait)
		h.Counts[Buckets-1]++
	}
	return total
}

// untilRoom returns the time until a window of the given length has room for one call.
func untilRoom(h History, buckets, allowance int) time.Duration {
	surplus := h.sentIn(buckets) + 1 - allowance
	if surplus <= 0 {
		return 0
	}
	wait := h.CurrentEndsIn
	for _, n := range h.Counts[Buckets-buckets:] {
		surplus -= n
		if surplus <= 0 {
			break
		}
		wait += BucketWidth
	}
	return wait
}

// after returns the history at a later time if nothing is sent meanwhile.
func (h History) after(elapsed time.Duration) History {
	if elapsed < h.CurrentEndsIn {
		h.CurrentEndsIn -= elapsed
		return h
	}
	elapsed -= h.CurrentEndsIn
	shift := min(Buckets, 1+int(elapsed/BucketWidth))
	var later History
	copy(later.Counts[:], h.Counts[shift:])
	later.CurrentEndsIn = BucketWidth - elapsed%BucketWidth
	return later
}

// ServerState is what is known about the warm-up of a backend server.
type ServerState struct {
	// Reported is set if the backend server has reported its warm-up, which ends at
	// ReportedEnd.
	Reported    bool
	ReportedEnd time.Time
	// StartedAt is when it started, as far as known: the reported start, else the time
	// at which the node first saw it. It is zero when the node knows no backend server.
	StartedAt time.Time
}

// ColdUntil returns the time until which the backend server is cold. A report of the
// backend server takes precedence over the configured duration.
func (p Policy) ColdUntil(s ServerState) time.Time {
	if s.Reported {
		return s.ReportedEnd
	}
	return s.StartedAt.Add(p.Duration)
}

const (
	// laterEndTolerance and earlierEndTolerance are the differences between a known and
	// a reported end that are not worth an update.
	laterEndTolerance   = 10 * time.Millisecond
	earlierEndTolerance = 100 * time.Millisecond
)

// ChangedBy reports whether a report that the backend server stays cold for left
// changes what is known.
func (s ServerState) ChangedBy(left time.Duration, now time.Time) bool {
	if !s.Reported {
		return true
	}
	known := max(0, s.ReportedEnd.Sub(now))
	return left > known+laterEndTolerance || left < known-earlierEndTolerance
}

// Sender is the state of the only sender of a backend server.
type Sender struct {
	History History
	// UnknownUntil is the time until which an earlier process of the node may have sent
	// calls that count in the same second; zero if there was none.
	UnknownUntil time.Time
}

// SenderStartGap is how long after the start of a node the calls of an earlier process
// count.
const SenderStartGap = Buckets * BucketWidth

// Decision is the decision on the next call to a backend server.
type Decision struct {
	// Cold is set if the backend server is cold and limited.
	Cold bool
	// Wait is the time until the call may be sent, 0 if it may be sent now.
	Wait time.Duration
	// ColdFor is the time for which the backend server stays cold.
	ColdFor time.Duration
}

// Decide returns the decision on a call that is sent after ahead other calls.
func (p Policy) Decide(server ServerState, sender Sender, ahead int, now time.Time) Decision {
	coldFor := p.ColdUntil(server).Sub(now)
	if !p.Enabled() || coldFor <= 0 {
		return Decision{}
	}
	wait := p.Allowance().Wait(sender.History, ahead)
	if start := sender.UnknownUntil.Sub(now); start > 0 {
		wait += start
	}
	return Decision{Cold: true, Wait: min(wait, coldFor), ColdFor: coldFor}
}

// maxRetryAfter bounds RetryAfter.
const maxRetryAfter = 2 * time.Second

// RetryAfter returns when a refused caller should try again. wait is the time until a
// backend server has room, and reservedUntil the time up to which the room has been
// promised to callers that were refused before. rate is the part of the rate of all
// cold backend servers of the service that falls to this entry. The second result is
// the time up to which the room is promised then.
func RetryAfter(wait time.Duration, reservedUntil time.Time, rate float64, now time.Time) (time.Duration, time.Time) {
	at := now.Add(wait)
	if reservedUntil.After(at) {
		at = reservedUntil
	}
	if latest := now.Add(max(wait, maxRetryAfter)); at.After(latest) {
		at = latest
	}
	next := at
	if rate > 0 {
		next = at.Add(time.Duration(float64(time.Second) / rate))
	}
	return at.Sub(now), next
}
