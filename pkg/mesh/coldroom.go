package mesh

import (
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/warmup"
	"mangostand.example/mangostand/pkg/lazymap"
)

// minColdRetryAfter is the shortest Retry-After of a call that was refused because its
// backend servers are cold.
const minColdRetryAfter = 20 * time.Millisecond

// coldRoom records up to which time the room of the cold backend servers of each
// service has been promised to refused callers, so that they do not all return at once.
type coldRoom struct {
	// reservedUntil maps services to times.
	reservedUntil lazymap.Map[string, atomic.Pointer[time.Time]]
}

// reserve promises room to one more caller and returns its Retry-After. wait and rate
// are those of warmup.RetryAfter.
func (r *coldRoom) reserve(service string, wait time.Duration, rate float64, now time.Time) time.Duration {
	slot := r.reservedUntil.Get(service)
	for {
		old := slot.Load()
		var reservedUntil time.Time
		if old != nil {
			reservedUntil = *old
		}
		retryAfter, next := warmup.RetryAfter(wait, reservedUntil, rate, now)
		if slot.CompareAndSwap(old, &next) {
			return retryAfter
		}
	}
}

// retryAfterWhileCold returns the Retry-After of a call to a service whose backend
// servers are cold: the least time until one of them has room, as far as known, behind
// the callers that were refused before. wait is what the last executor said.
func (e *Entry) retryAfterWhileCold(service string, wait time.Duration, now time.Time) time.Duration {
	fleet := e.Board.Fleet.Load()
	cold := 0
	for _, endpoint := range fleet.ByService[service] {
		left, known := remainingAdmissionWait(endpoint, now)
		if !known {
			continue
		}
		if left > 0 {
			cold++
		}
		wait = min(wait, left)
	}
	rate := 0.0
	if cluster := e.Board.Routes.Load().Clusters[service]; cluster != nil {
		rate = cluster.Warmup.Rate * float64(max(1, cold)) / float64(max(1, fleet.Size))
	}
	return e.coldRoom.reserve(service, max(wait, minColdRetryAfter), rate, now)
}

// remainingAdmissionWait returns the rest of the admission wait that an endpoint has
// reported, and whether it has reported its load at all.
func remainingAdmissionWait(endpoint *board.MeshEndpoint, now time.Time) (time.Duration, bool) {
	report := endpoint.LatestLoadReport()
	if report == nil {
		return 0, false
	}
	wait := time.Duration(report.AdmissionWaitMicros) * time.Microsecond
	return max(0, wait-max(0, now.Sub(report.ReceivedAt))), true
}

// refusalWhileCold returns the result of a call that no backend server can start before
// its objective because all of them are cold, or nil. The chosen executor is expected
// to be the first that responds.
func (f *forwarder) refusalWhileCold() *Result {
	if f.admissionWait <= 0 || f.admissionWait <= time.Until(f.call.Objective) {
		return nil
	}
	result := notSent(board.ReasonWarmingUp)
	result.QueueWait = f.admissionWait
	f.entry.Metrics.IncrementCounter("warmup_not_offered", map[string]string{"service": f.call.Service})
	return result
}
