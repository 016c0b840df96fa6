package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and significantDigits of the latency histograms.
const (
	minRecordedLatency = time.Microsecond
	maxRecordedLatency = 2 * time.Minute
	significantDigits  = 3
)

// Response is what a Doer learnt from one call.
type Response struct {
	// Outcome is the value of the Mangostand-Outcome header, or "error" when
	// no whole answer arrived from the node.
	Outcome string
	// Status is the HTTP status, 0 without an answer.
	Status int
	// Instance is the instance that answered, or "".
	Instance string
	// AdditionalAttempts counts the attempts beyond the first.
	AdditionalAttempts int
}

// IsSuccess reports whether the caller received a useful answer.
func (r *Response) IsSuccess() bool { return r.Outcome == "succeeded" && r.Status < 400 }

// Result holds the figures of one run, without its warm-up.
type Result struct {
	// MeasuredTime is the length of the counted part of the run.
	MeasuredTime time.Duration
	// Sent counts the calls that were started, Dropped those that were not
	// because MaxInFlight was reached.
	Sent, Dropped uint64
	// OnTime counts useful answers within their deadline.
	OnTime uint64
	// MissedDeadline counts calls without a useful answer before their deadline.
	MissedDeadline uint64
	// AdditionalAttempts counts attempts beyond the first of each call.
	AdditionalAttempts uint64
	CallsByOutcome     map[string]uint64
	CallsByStatus      map[int]uint64
	// ResponsesByInstance counts answers per instance.
	ResponsesByInstance map[string]uint64
	// SuccessLatency holds microseconds from the intended start to the end of each
	// call that got a useful answer; AllLatency holds every call.
	SuccessLatency, AllLatency *hdrhistogram.Histogram
	// MaxStartDelay is the longest delay between intended and real start. A lag near
	// the measured latencies means that the generator was short of CPU.
	MaxStartDelay time.Duration
}

// P50, P99 and P999 return quantiles of the latency of useful answers.
func (r *Result) P50() time.Duration { return r.Percentile(50) }

// P99 returns the 99th percentile.
func (r *Result) P99() time.Duration { return r.Percentile(99) }

// P999 returns the 99.9th percentile.
func (r *Result) P999() time.Duration { return r.Percentile(99.9) }

// Percentile returns a percentile, 0 to 100, of the latency of useful answers.
func (r *Result) Percentile(percentile float64) time.Duration {
	return time.Duration(r.SuccessLatency.ValueAtQuantile(percentile)) * time.Microsecond
}

// Goodput returns useful answers per second.
func (r *Result) Goodput() float64 { return float64(r.OnTime) / r.MeasuredTime.Seconds() }

// AttemptsPerCall returns the mean number of attempts.
func (r *Result) AttemptsPerCall() float64 {
	if r.Sent == 0 {
		return 0
	}
	return 1 + float64(r.AdditionalAttempts)/float64(r.Sent)
}

// ResponseShares returns the share of all answers that each instance gave.
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

// collector adds up the answers of concurrent calls.
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
