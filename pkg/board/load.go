package board

import (
	"sync/atomic"
	"time"
)

// LoadReport is the load of an executor, as sent with its responses.
type LoadReport struct {
	// InFlight is the number of calls running on the backend server.
	InFlight uint32 `cbor:"1,keyasint,omitempty" json:"in_flight"`
	// Queued is the number of calls waiting for a slot.
	Queued uint32 `cbor:"2,keyasint,omitempty" json:"queued"`
	// Limit is the current concurrency limit of the executor.
	Limit uint32 `cbor:"3,keyasint,omitempty" json:"limit"`
	// LatencyMicros is the recent median service time of successful calls at the
	// executor in microseconds, 0 when there is none yet.
	LatencyMicros uint32 `cbor:"4,keyasint,omitempty" json:"latency_us"`
	// Draining is set when the executor accepts no new calls.
	Draining bool `cbor:"5,keyasint,omitempty" json:"draining"`
	// Sequence increases with each report of one incarnation of the executor, so
	// that an entry can order reports that arrive out of order.
	Sequence uint64 `cbor:"6,keyasint,omitempty" json:"sequence"`
	// ServerReportedInFlight is the number of running calls that the backend
	// server announced last. It may be outdated or false; only the twochoices
	// policy uses it.
	ServerReportedInFlight uint32 `cbor:"7,keyasint,omitempty" json:"reported"`
	// SlowdownPercent is the current service time at the instance relative to the
	// normal one, which is 100; 0 when unknown.
	SlowdownPercent uint32 `cbor:"8,keyasint,omitempty" json:"slowdown_percent"`
	// MinSlowdownPercent is the minimum of the recent slowdowns, the part that
	// persists; 0 when unknown.
	MinSlowdownPercent uint32 `cbor:"9,keyasint,omitempty" json:"floor_percent"`
	// LinkBacklogMicros is the time that the network link of the machine needs
	// for the responses in progress and expected, in microseconds.
	LinkBacklogMicros uint32 `cbor:"10,keyasint,omitempty" json:"link_us"`
	// AdmissionWaitMicros is the time in microseconds until a further call may be sent
	// to the backend server, which gets few calls while it is cold; 0 if there is no
	// such limit now.
	AdmissionWaitMicros uint32 `cbor:"11,keyasint,omitempty" json:"admission_wait_us,omitempty"`
	// Hangs is set if the executor has recently seen its backend server hang: such a
	// server never responds to a request that it cannot queue.
	Hangs bool `cbor:"12,keyasint,omitempty" json:"hangs,omitempty"`
	// InboundBacklogMicros is the time that the network link of the machine needs for
	// the request bodies that other nodes are sending or may send, in microseconds.
	InboundBacklogMicros uint32 `cbor:"13,keyasint,omitempty" json:"inbound_us"`
	// Leaving is set when the node of the executor stops and takes no more calls of
	// other nodes. Unlike Draining it stays set until the node ends.
	Leaving bool `cbor:"14,keyasint,omitempty" json:"leaving,omitempty"`
	// ReceivedAt is set by the receiver of the report; it is not sent.
	ReceivedAt time.Time `cbor:"-" json:"-"`
}

// Endpoint is an instance that calls can be sent to, with the counters that
// change with each call. The request path updates the counters; the load
// controller writes the table of endpoints.
type Endpoint struct {
	Member Member
	// FirstSeen is when this node first saw this incarnation of the instance,
	// which begins its slow start. Zero means unknown; there is no slow start then.
	FirstSeen time.Time
	// EndpointStats is shared by all endpoints of one incarnation of the
	// instance, so that a changed member record loses no call in flight.
	*EndpointStats
}

// EndpointStats holds the counters of one incarnation of an instance.
type EndpointStats struct {
	callsStarted   atomic.Uint64
	callsEnded     atomic.Uint64
	receivedReport atomic.Pointer[receivedLoadReport]
	// packedFailureRatio holds the time of the last update, in milliseconds, in
	// its upper half and the failure ratio in units of 1/failureScale in its
	// lower half.
	packedFailureRatio atomic.Uint64

	// Successes, Failures and Rejections count call outcomes since the start.
	// The breaker controller uses their differences over time.
	Successes atomic.Uint64
	// Failures counts transport errors, resets, timeouts, and responses with
	// status 408, 429 or 5xx.
	Failures atomic.Uint64
	// Rejections counts calls that an executor rejected because of its load,
	// without running them.
	Rejections atomic.Uint64
}

// receivedLoadReport is a load report and the load of other entries derived from
// it.
type receivedLoadReport struct {
	report LoadReport
	// otherInFlight is the number of reported calls that other entries sent.
	otherInFlight int64
}

// NewEndpoint returns an endpoint without load reports and without slow start.
func NewEndpoint(m Member) *Endpoint { return &Endpoint{Member: m, EndpointStats: &EndpointStats{}} }

// NewSlowStartEndpoint returns an endpoint without load reports whose slow start
// begins at firstSeen.
func NewSlowStartEndpoint(m Member, firstSeen time.Time) *Endpoint {
	return &Endpoint{Member: m, FirstSeen: firstSeen, EndpointStats: &EndpointStats{}}
}

// WithMember returns an endpoint for a changed member record of the same
// incarnation. Both endpoints share their counters, so calls in flight on either
// count in both.
func (e *Endpoint) WithMember(m Member) *Endpoint {
	return &Endpoint{Member: m, FirstSeen: e.FirstSeen, EndpointStats: e.EndpointStats}
}

// CallStarted records that a call is sent to the instance. Each call of
// CallStarted must be followed by exactly one call of CallEnded.
func (s *EndpointStats) CallStarted() { s.callsStarted.Add(1) }

// CallEnded records that a call has ended.
func (s *EndpointStats) CallEnded() { s.callsEnded.Add(1) }

// Sent returns the number of calls that this entry has sent to this incarnation
// of the instance.
func (s *EndpointStats) Sent() uint64 { return s.callsStarted.Load() }

// OwnInFlight returns the number of calls in flight from this entry. It reads
// callsEnded first: both counters only increase, so the difference is never
// negative.
func (s *EndpointStats) OwnInFlight() int64 {
	ended := s.callsEnded.Load()
	return int64(s.callsStarted.Load() - ended)
}

// UpdateLoadReport stores a load report of the instance if it is newer than the
// stored one, and reports whether it was. The call that carried the report counts
// as in flight both in the report and at this entry, or in neither when it was
// rejected.
func (s *EndpointStats) UpdateLoadReport(r LoadReport) bool {
	for {
		old := s.receivedReport.Load()
		if old != nil && r.Sequence != 0 && r.Sequence <= old.report.Sequence {
			return false
		}
		total := int64(r.InFlight) + int64(r.Queued)
		next := &receivedLoadReport{report: r, otherInFlight: max(0, total-s.OwnInFlight())}
		if s.receivedReport.CompareAndSwap(old, next) {
			return true
		}
	}
}

// LatestLoadReport returns the latest load report, or nil when there is none.
func (s *EndpointStats) LatestLoadReport() *LoadReport {
	if v := s.receivedReport.Load(); v != nil {
		return &v.report
	}
	return nil
}

// EstimatedInFlight returns the estimated number of calls at the instance: those
// of other entries according to the latest report, plus those of this entry,
// which are known exactly. It is never negative, and an error in one report does
// not outlast the next report.
func (s *EndpointStats) EstimatedInFlight() int64 {
	own := s.OwnInFlight()
	if v := s.receivedReport.Load(); v != nil {
		return v.otherInFlight + own
	}
	return own
}

// AcceptsCalls reports whether the instance accepts new calls according to its
// latest load report.
func (s *EndpointStats) AcceptsCalls() bool {
	v := s.receivedReport.Load()
	return v == nil || !v.report.Draining
}

// Leaving reports whether the node of the instance takes no more calls of other nodes,
// according to its latest load report. It is final for an incarnation of the node.
func (s *EndpointStats) Leaving() bool {
	v := s.receivedReport.Load()
	return v != nil && v.report.Leaving
}

// The failure ratio is a moving average in which each call has the weight
// 1/failureWeight. Without calls it falls to a half within failureHalfLife, so
// that an instance that was avoided is tried again.
const (
	failureScale    = 1 << 20
	failureWeight   = 8
	failureHalfLife = time.Second
)

// ObserveOutcome adds a call to the failure ratio.
func (s *EndpointStats) ObserveOutcome(failed bool, now time.Time) {
	sample := uint64(0)
	if failed {
		sample = failureScale
	}
	for {
		old := s.packedFailureRatio.Load()
		ratio := old & (1<<32 - 1)
		if ratio == 0 && sample == 0 {
			return
		}
		ratio = (ratio*(failureWeight-1) + sample) / failureWeight
		next := uint64(uint32(now.UnixMilli()))<<32 | ratio
		if s.packedFailureRatio.CompareAndSwap(old, next) {
			return
		}
	}
}

// FailureRatio returns the ratio of recent calls that failed, from 0 to 1.
func (s *EndpointStats) FailureRatio(now time.Time) float64 {
	packed := s.packedFailureRatio.Load()
	ratio := packed & (1<<32 - 1)
	if ratio == 0 {
		return 0
	}
	age := time.Duration(uint32(now.UnixMilli())-uint32(packed>>32)) * time.Millisecond
	if age > 1<<31*time.Millisecond {
		age = 0 // the last update is later than now
	}
	return float64(ratio) / failureScale * float64(failureHalfLife) / float64(failureHalfLife+age)
}

// EndpointTable maps instances to their endpoints. The table is immutable, the
// counters of the endpoints are not.
type EndpointTable struct {
	ByInstance map[InstanceID]*Endpoint
}
