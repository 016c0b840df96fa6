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
	// LatencyMicros is the recent median service time in microseconds.
	LatencyMicros uint32 `cbor:"4,keyasint,omitempty" json:"latency_us"`
	// Draining is set when the executor takes no new calls.
	Draining bool `cbor:"5,keyasint,omitempty" json:"draining"`
	// ReceivedAt is set by the entry that received the report; it is not sent.
	ReceivedAt time.Time `cbor:"-" json:"-"`
}

// Cell holds the figures of one instance that change with each call. The call
// path updates the atomics; the load controller owns the table of cells.
type Cell struct {
	Member Member

	ownInFlight atomic.Int64
	sentSince   atomic.Int64
	report      atomic.Pointer[LoadReport]
	latencyNS   atomic.Int64

	// Outcome counts since the start, read as differences by the breaker.
	Successes atomic.Uint64
	// Failures counts transport errors, resets, 408, 429 and 5xx answers.
	Failures atomic.Uint64
	// Rejections counts proven "not run" answers.
	Rejections atomic.Uint64
}

// latencyWeight is the divisor of the moving average of latency: each new
// sample contributes 1/8.
const latencyWeight = 8

// NewCell returns a cell for a member without a load report.
func NewCell(m Member) *Cell { return &Cell{Member: m} }

// Started records that a call is sent to the instance.
func (c *Cell) Started() {
	c.ownInFlight.Add(1)
	c.sentSince.Add(1)
}

// Finished records that a call has ended.
func (c *Cell) Finished() { c.ownInFlight.Add(-1) }

// OwnInFlight returns the calls of this entry that are in flight.
func (c *Cell) OwnInFlight() int64 { return c.ownInFlight.Load() }

// Report stores a load report of the instance.
func (c *Cell) Report(r LoadReport) {
	c.report.Store(&r)
	c.sentSince.Store(0)
}

// LastReport returns the last load report, or nil when there is none yet.
func (c *Cell) LastReport() *LoadReport { return c.report.Load() }

// EstimatedInFlight returns the reported in-flight count plus the calls that
// this entry sent since that report.
func (c *Cell) EstimatedInFlight() int64 {
	estimate := c.sentSince.Load()
	if r := c.report.Load(); r != nil {
		return estimate + int64(r.InFlight) + int64(r.Queued)
	}
	return max(estimate, c.ownInFlight.Load())
}

// ObserveLatency adds a sample to the moving average of latency.
func (c *Cell) ObserveLatency(d time.Duration) {
	for {
		old := c.latencyNS.Load()
		next := int64(d)
		if old != 0 {
			next = old + (int64(d)-old)/latencyWeight
		}
		if c.latencyNS.CompareAndSwap(old, next) {
			return
		}
	}
}

// Latency returns the moving average of latency, 0 when there is no sample.
func (c *Cell) Latency() time.Duration { return time.Duration(c.latencyNS.Load()) }

// LoadTable maps each known instance to its cell. The table is immutable, the
// cells are not.
type LoadTable struct {
	Cells map[InstanceID]*Cell
}

// WithMember returns a cell for a changed record of the same instance. It
// starts with the figures of c; calls in flight on c do not count in it.
func (c *Cell) WithMember(m Member) *Cell {
	next := NewCell(m)
	next.report.Store(c.report.Load())
	next.latencyNS.Store(c.latencyNS.Load())
	return next
}
