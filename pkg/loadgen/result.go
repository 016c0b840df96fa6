package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision, in significant decimal digits, of the latency histograms.
const (
	minRecordedLatency = time.Microsecond
	maxRecordedLatency = 2 * time.Minute
	significantDigits  = 3
)

// Response is what a Sender returns for one call.
type Response struct {
	// Outcome is the outcome that the node reported, over HTTP in the header
	// Mangostand-Outcome, or "error" if no complete response arrived.
	Outcome string
	// Status is the HTTP status, 0 without a response.
	Status int
	// Instance is the instance of the backend server that responded, or "".
	Instance string
	// AdditionalAttempts counts the attempts beyond the first, those of nested
	// calls included.
	AdditionalAttempts int
}

// IsSuccess reports whether the call succeeded with an HTTP status below 400.
func (r *Response) IsSuccess() bool { return r.Outcome == "succeeded" && r.Status < 400 }

// Result holds the measurements of one run without its warm-up.
type Result struct {
	// MeasuredTime is the duration of the run without the warm-up.
	MeasuredTime time.Duration
	// Sent counts the calls that were started, Dropped those that were not
	// started because MaxInFlight was reached.
	Sent, Dropped uint64
	// OnTime counts calls that succeeded within their deadline, if they had one.
	OnTime uint64
	// MissedDeadline counts all other calls: those that failed, succeeded too late
	// or were dropped.
	MissedDeadline uint64
	// AdditionalAttempts counts the attempts beyond the first of each call.
	AdditionalAttempts uint64
	CallsByOutcome     map[string]uint64
	CallsByStatus      map[int]uint64
	// ResponsesByInstance counts responses by the instance of the backend server.
	ResponsesByInstance map[string]uint64
	// SuccessLatency and AllLatency hold the microseconds from the intended start
	// to the end of each call, for successful and for all calls.
	SuccessLatency, AllLatency *hdrhistogram.Histogram
	// MaxStartDelay is the longest delay between intended and actual start. A value
	// near the measured latencies means that the load generator was short of CPU.
	MaxStartDelay time.Duration
}

// P50 returns the median latency of successful calls.
func (r *Result) P50() time.Duration { return r.Percentile(50) }

// P99 returns the 99th percentile of the latency of successful calls.
func (r *Result) P99() time.Duration { return r.Percentile(99) }

// P999 returns the 99.9th percentile of the latency of successful calls.
func (r *Result) P999() time.Duration { return r.Percentile(99.9) }

// Percentile returns a percentile, 0 to 100, of the latency of successful calls.
func (r *Result) Percentile(percentile float64) time.Duration {
	return time.Duration(r.SuccessLatency.ValueAtQuantile(percentile)) * time.Microsecond
}

// Goodput returns the rate of OnTime calls per second.
func (r *Result) Goodput() float64 { return float64(r.OnTime) / r.MeasuredTime.Seconds() }

// AttemptsPerCall returns the mean number of attempts per call that was sent.
func (r *Result) AttemptsPerCall() float64 {
	if r.Sent == 0 {
		return 0
	}
	return 1 + float64(r.AdditionalAttempts)/float64(r.Sent)
}

// ResponseShares returns the share of all responses that came from each
// instance.
func (r *Result) ResponseShares() map[string]float64 {
	total := uint64(0)
	for _, n := range r.ResponsesByInstance {
		total += n
	}
	shares := make(map[string]float64, len(r.ResponsesByInstance))
	for name, n := range r.ResponsesByInstance {
		shares[name] = float64(n) / float64(total)
	}
	return shares
}

// collector aggregates the responses of concurrent calls.
type collector struct {
	mu     sync.Mutex
	result *Result
}

func newCollector(p *Plan) *collector {
	return &collector{result: &Result{
		MeasuredTime: p.Duration - p.Warmup, CallsByOutcome: map[string]uint64{}, CallsByStatus: map[int]uint64{},
		ResponsesByInstance: map[string]uint64{}, SuccessLatency: newHistogram(), AllLatency: newHistogram(),
	}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minRecordedLatency.Microseconds(), maxRecordedLatency.Microseconds(), significantDigits)
}

func (c *collector) recordDropped(call *ScheduledCall) {
	if !call.Measured {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Dropped++
	c.result.MissedDeadline++
}

func (c *collector) recordResponse(call *ScheduledCall, response *Response, startDelay, latency time.Duration) {
	if !call.Measured {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.result
	r.Sent++
	r.AdditionalAttempts += uint64(max(0, response.AdditionalAttempts))
	r.MaxStartDelay = max(r.MaxStartDelay, startDelay)
	r.CallsByOutcome[response.Outcome]++
	r.CallsByStatus[response.Status]++
	if response.Instance != "" {
		r.ResponsesByInstance[response.Instance]++
	}
	micros := min(max(latency, minRecordedLatency), maxRecordedLatency).Microseconds()
	_ = r.AllLatency.RecordValue(micros)
	onTime := call.Spec.Deadline == 0 || latency <= call.Spec.Deadline
	if response.IsSuccess() {
		_ = r.SuccessLatency.RecordValue(micros)
	}
	if response.IsSuccess() && onTime {
		r.OnTime++
	} else {
		r.MissedDeadline++
	}
}
