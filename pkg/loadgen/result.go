package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	lowestLatency  = time.Microsecond
	highestLatency = 2 * time.Minute
	precision      = 3
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

// Good reports whether the caller received a useful answer.
func (a *Response) Good() bool { return a.Outcome == "succeeded" && a.Status < 400 }

// Result holds the figures of one run, without its warm-up.
type Result struct {
	// Counted is the length of the counted part of the run.
	Counted time.Duration
	// Sent counts the calls that were started, Dropped those that were not
	// because MaxInFlight was reached.
	Sent, Dropped uint64
	// Good counts useful answers within their deadline.
	Good uint64
	// MissedDeadline counts calls without a useful answer before their deadline.
	MissedDeadline uint64
	// Additional counts attempts beyond the first of each call.
	Additional     uint64
	CallsByOutcome map[string]uint64
	Statuses       map[int]uint64
	// ResponsesByInstance counts answers per instance.
	ResponsesByInstance map[string]uint64
	// Latency holds microseconds from the intended start to the end of each
	// call that got a useful answer; All holds every call.
	Latency, All *hdrhistogram.Histogram
	// MaxStartDelay is the longest delay between intended and real start. A lag near
	// the measured latencies means that the generator was short of CPU.
	MaxStartDelay time.Duration
}

// P50, P99 and P999 return quantiles of the latency of useful answers.
func (r *Result) P50() time.Duration { return r.Quantile(50) }

// P99 returns the 99th percentile.
func (r *Result) P99() time.Duration { return r.Quantile(99) }

// P999 returns the 99.9th percentile.
func (r *Result) P999() time.Duration { return r.Quantile(99.9) }

// Quantile returns a percentile, 0 to 100, of the latency of useful answers.
func (r *Result) Quantile(percentile float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// Goodput returns useful answers per second.
func (r *Result) Goodput() float64 { return float64(r.Good) / r.Counted.Seconds() }

// AttemptsPerCall returns the mean number of attempts.
func (r *Result) AttemptsPerCall() float64 {
	if r.Sent == 0 {
		return 0
	}
	return 1 + float64(r.Additional)/float64(r.Sent)
}

// Shares returns the share of all answers that each instance gave.
func (r *Result) Shares() map[string]float64 {
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
		Counted: p.Duration - p.Warmup, CallsByOutcome: map[string]uint64{}, Statuses: map[int]uint64{},
		ResponsesByInstance: map[string]uint64{}, Latency: newHistogram(), All: newHistogram(),
	}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), precision)
}

func (c *collector) dropped(shot *ScheduledCall) {
	if !shot.Counted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Dropped++
	c.result.MissedDeadline++
}

func (c *collector) add(shot *ScheduledCall, answer *Response, lag, latency time.Duration) {
	if !shot.Counted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.result
	r.Sent++
	r.Additional += uint64(max(0, answer.AdditionalAttempts))
	r.MaxStartDelay = max(r.MaxStartDelay, lag)
	r.CallsByOutcome[answer.Outcome]++
	r.Statuses[answer.Status]++
	if answer.Instance != "" {
		r.ResponsesByInstance[answer.Instance]++
	}
	micros := min(max(latency, lowestLatency), highestLatency).Microseconds()
	_ = r.All.RecordValue(micros)
	inTime := shot.Spec.Deadline == 0 || latency <= shot.Spec.Deadline
	if answer.Good() {
		_ = r.Latency.RecordValue(micros)
	}
	if answer.Good() && inTime {
		r.Good++
	} else {
		r.MissedDeadline++
	}
}
