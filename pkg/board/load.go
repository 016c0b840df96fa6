package board

import (
	"sync/atomic"
	"time"
)

// LoadReport is the load of an executor as it stood on one of its answers.
type LoadReport struct {
	// InFlight counts the calls that run on the backend server.
	InFlight uint32 `cbor:"1,keyasint,omitempty" json:"in_flight"`
	// Queued counts the calls that wait for admission.
	Queued uint32 `cbor:"2,keyasint,omitempty" json:"queued"`
	// Limit is the current concurrency limit of the executor.
	Limit uint32 `cbor:"3,keyasint,omitempty" json:"limit"`
	// LatencyMicros is the recent median service time of successful calls in
	// microseconds, measured by the executor; 0 when there is none yet.
	LatencyMicros uint32 `cbor:"4,keyasint,omitempty" json:"latency_us"`
	// Draining is set when the executor takes no new calls.
	Draining bool `cbor:"5,keyasint,omitempty" json:"draining"`
	// Sequence rises with each report of one incarnation of the executor, so that an
	// entry can tell the newer of two reports that arrive in any order.
	Sequence uint64 `cbor:"6,keyasint,omitempty" json:"sequence"`
	// ServerReportedInFlight is the backend server's own figure as it announced it last. It
	// may be late or false; only the twochoices policy uses it.
	ServerReportedInFlight uint32 `cbor:"7,keyasint,omitempty" json:"reported"`
	// SlowdownPercent is how long work takes at the instance now, 100 as usual; 0
	// when it is not known.
	SlowdownPercent uint32 `cbor:"8,keyasint,omitempty" json:"slowdown_percent"`
	// MinSlowdownPercent is the least slowdown lately, which lasts; 0 when it is not
	// known.
	MinSlowdownPercent uint32 `cbor:"9,keyasint,omitempty" json:"floor_percent"`
	// LinkBacklogMicros is how long the link of the machine is busy with answers that
	// are under way or expected, in microseconds.
	LinkBacklogMicros uint32 `cbor:"10,keyasint,omitempty" json:"link_us"`
	// ReceivedAt is set by the entry that received the report; it is not sent.
	ReceivedAt time.Time `cbor:"-" json:"-"`
}

// Endpoint holds the figures of one instance that change with each call. The call
// path updates the atomics; the load controller owns the table of cells.
type Endpoint struct {
	Member Member
	// FirstSeen is when this node first saw this incarnation of the instance; zero means
	// that its age is not known and that it does not start cold.
	FirstSeen time.Time
	// Figures is shared by all cells of one incarnation of the instance, so that a
	// changed record loses no call in flight.
	*EndpointStats
}

// EndpointStats are the counters of one incarnation of an instance.
type EndpointStats struct {
	sent  atomic.Uint64
	ended atomic.Uint64
	view  atomic.Pointer[loadView]
	// failing packs the share of recent failures, see ObserveOutcome.
	failing atomic.Uint64

	// Outcome counts since the start, read as differences by the breaker.
	Successes atomic.Uint64
	// Failures counts transport errors, resets, timeouts, 408, 429 and 5xx
	// answers.
	Failures atomic.Uint64
	// Rejections counts proven "not run" answers of a loaded executor.
	Rejections atomic.Uint64
}

// loadView is a report together with what it says about other entries.
type loadView struct {
	report LoadReport
	// others is the part of the reported calls that this entry did not send.
	others int64
}

// NewEndpoint returns a cell for a member without a load report.
func NewEndpoint(m Member) *Endpoint { return &Endpoint{Member: m, EndpointStats: &EndpointStats{}} }

// NewSlowStartEndpoint returns a cell for a member whose incarnation started at since.
func NewSlowStartEndpoint(m Member, since time.Time) *Endpoint {
	return &Endpoint{Member: m, FirstSeen: since, EndpointStats: &EndpointStats{}}
}

// WithMember returns a cell for a changed record of the same incarnation. Both cells
// share their figures, so calls in flight on either count in both.
func (c *Endpoint) WithMember(m Member) *Endpoint {
	return &Endpoint{Member: m, FirstSeen: c.FirstSeen, EndpointStats: c.EndpointStats}
}

// CallStarted records that a call is sent to the instance.
func (f *EndpointStats) CallStarted() { f.sent.Add(1) }

// CallEnded records that a call has ended. Each call of Started is followed by
// exactly one call of CallEnded.
func (f *EndpointStats) CallEnded() { f.ended.Add(1) }

// Sent returns the calls that this entry has sent since the start.
func (f *EndpointStats) Sent() uint64 { return f.sent.Load() }

// OwnInFlight returns the calls of this entry that are in flight. The ends are
// read before the starts: both only rise, so the difference is never negative.
func (f *EndpointStats) OwnInFlight() int64 {
	ended := f.ended.Load()
	return int64(f.sent.Load() - ended)
}

// UpdateLoadReport stores a load report of the instance and says whether it is newer
// than the stored one. The call that brought a report still counts as in
// flight on both sides, or on neither when it was rejected.
func (f *EndpointStats) UpdateLoadReport(r LoadReport) bool {
	for {
		old := f.view.Load()
		if old != nil && r.Sequence != 0 && r.Sequence <= old.report.Sequence {
			return false
		}
		total := int64(r.InFlight) + int64(r.Queued)
		next := &loadView{report: r, others: max(0, total-f.OwnInFlight())}
		if f.view.CompareAndSwap(old, next) {
			return true
		}
	}
}

// LatestLoadReport returns the newest load report, or nil when there is none yet.
func (f *EndpointStats) LatestLoadReport() *LoadReport {
	if v := f.view.Load(); v != nil {
		return &v.report
	}
	return nil
}

// EstimatedInFlight returns the calls at the instance: those of other entries
// by the newest report plus those of this entry, which are known exactly. It
// is never negative, and the error of a report ends with the next one.
func (f *EndpointStats) EstimatedInFlight() int64 {
	own := f.OwnInFlight()
	if v := f.view.Load(); v != nil {
		return v.others + own
	}
	return own
}

// AcceptsCalls reports whether the instance takes new calls as far as its newest
// report says.
func (f *EndpointStats) AcceptsCalls() bool {
	v := f.view.Load()
	return v == nil || !v.report.Draining
}

// The share of recent failures is a moving average in which each call weighs
// 1/8. Without calls it halves in the first failureHalfLife, so that an
// avoided instance is tried again.
const (
	failureScale    = 1 << 20
	failureWeight   = 8
	failureHalfLife = time.Second
)

// ObserveOutcome adds a call to the share of recent failures.
func (f *EndpointStats) ObserveOutcome(failed bool, now time.Time) {
	sample := uint64(0)
	if failed {
		sample = failureScale
	}
	for {
		old := f.failing.Load()
		share := old & (1<<32 - 1)
		if share == 0 && sample == 0 {
			return
		}
		share = (share*(failureWeight-1) + sample) / failureWeight
		next := uint64(uint32(now.UnixMilli()))<<32 | share
		if f.failing.CompareAndSwap(old, next) {
			return
		}
	}
}

// FailureRatio returns the share of recent calls that failed, 0 to 1.
func (f *EndpointStats) FailureRatio(now time.Time) float64 {
	packed := f.failing.Load()
	share := packed & (1<<32 - 1)
	if share == 0 {
		return 0
	}
	age := time.Duration(uint32(now.UnixMilli())-uint32(packed>>32)) * time.Millisecond
	if age > 1<<31*time.Millisecond {
		age = 0 // the sample is newer than now
	}
	return float64(share) / failureScale * float64(failureHalfLife) / float64(failureHalfLife+age)
}

// EndpointTable maps each known instance to its cell. The table is immutable, the
// cells are not.
type EndpointTable struct {
	ByInstance map[InstanceID]*Endpoint
}
