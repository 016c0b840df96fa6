package mesh

import (
	"math/rand/v2"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/pacing"
	"mangostand.example/mangostand/pkg/decide/pick/earliest"
)

const (
	// offersWithMaxResponseTime is the number of first offers that carry a
	// maximum response time. An executor refuses such an offer if it expects to
	// be slower than the next best endpoint.
	offersWithMaxResponseTime = 3
	// minAlternativeGain is the time that another endpoint must save to be
	// worth a further offer.
	minAlternativeGain = 15 * time.Millisecond
	// sameDomainLatency and crossDomainLatency are the one-way latencies
	// between nodes of the same and of different failure domains.
	sameDomainLatency  = 200 * time.Microsecond
	crossDomainLatency = 1100 * time.Microsecond
	// expectedTimeTolerance is the difference in expected time below which
	// endpoints count as equal, since the estimates are no more accurate.
	expectedTimeTolerance = 2 * time.Millisecond
)

// pickEndpoint returns the endpoint with the shortest expected response time
// and the maximum response time of the offer, above which the next best
// endpoint is preferred. 0 means no maximum.
func (f *forwarder) pickEndpoint() (*board.MeshEndpoint, time.Duration) {
	endpoints := f.eligibleEndpoints()
	if len(endpoints) == 0 {
		return nil, 0
	}
	now := time.Now()
	nominalTime, responseBytes := f.nominalTime(), f.entry.Board.CallStats.ForRule(f.call.Rule).ResponseSize()
	candidates := make([]earliest.Candidate, len(endpoints))
	for i, endpoint := range endpoints {
		candidates[i] = f.newCandidate(endpoint, nominalTime, responseBytes, now)
	}
	choice, _ := earliest.Choose(candidates, nominalTime, expectedTimeTolerance, rand.Uint64())
	endpoint := endpoints[choice.Index]
	f.admissionWait = earliest.RemainingAdmissionWait(candidates[choice.Index])
	f.expectedTime, f.loadAge = choice.ExpectedTime, candidates[choice.Index].LoadAge
	if f.offers >= offersWithMaxResponseTime || choice.NextBestTime == 0 {
		return endpoint, 0
	}
	next := choice.NextBestTime - candidates[choice.Index].TransferCost
	return endpoint, max(next, estimate.Speed{}.ServiceTime(nominalTime)) + minAlternativeGain
}

// eligibleEndpoints returns the endpoints to which the call may be offered.
func (f *forwarder) eligibleEndpoints() []*board.MeshEndpoint {
	evacuated := f.evacuatedDomains()
	var healthy, suspected []*board.MeshEndpoint
	for _, endpoint := range f.entry.Board.Fleet.Load().ByService[f.call.Service] {
		switch {
		case slices.Contains(f.excluded, endpoint.Record.Instance), endpoint.Reachability.Replaced():
		case evacuated != nil && evacuated(endpoint.Record.FailureDomain):
		case endpoint.Reachability.Suspected():
			suspected = append(suspected, endpoint)
		default:
			healthy = append(healthy, endpoint)
		}
	}
	if len(healthy) == 0 && !f.triedSuspected {
		// One of the suspected nodes may be reachable again. More than one offer
		// would only delay the refusal.
		f.triedSuspected = true
		return suspected
	}
	return healthy
}

// nominalTime returns the expected service time of the call on a host at
// normal speed.
func (f *forwarder) nominalTime() time.Duration { return nominalTime(f.entry.Board.CallStats, f.call) }

// nominalTime returns the average service time of the call's rule, or a
// share of its objective if there is none yet.
func nominalTime(stats *board.StatsByRule, c *Call) time.Duration {
	if d := stats.ForRule(c.Rule).ServiceTime(); d > 0 {
		return d
	}
	return c.Objective.Sub(c.Received) / defaultNominalTimeDivisor
}

// newCandidate returns what is known about an endpoint for a call with the
// nominal time and the response size of its rule.
func (f *forwarder) newCandidate(endpoint *board.MeshEndpoint, nominalTime time.Duration, responseBytes int64, now time.Time) earliest.Candidate {
	self := f.entry.Board.Self
	report := endpoint.LatestLoadReport()
	c := earliest.Candidate{
		Load:         estimate.Load{Running: int(endpoint.EstimatedInFlight()), Slots: endpoint.Record.Slots, MeanServiceTime: nominalTime},
		LoadAge:      -1,
		FailureRatio: endpoint.FailureRatio(now),
	}
	if endpoint.Record.Instance != self.Instance {
		c.OneWayLatency = sameDomainLatency
		c.ResponseBytes, c.LinkRate = responseBytes, endpoint.Record.LinkRate
		if endpoint.Record.FailureDomain != self.FailureDomain {
			c.OneWayLatency = crossDomainLatency
			c.TransferCost = earliest.CrossDomainCost(nominalTime, responseBytes, f.offers == 0)
		}
		if f.call.BodyBytes > 0 {
			c.UploadTime = f.uploadTime(endpoint.Record.LinkRate, report, now)
		}
		if report != nil {
			c.LinkBacklog = time.Duration(report.LinkBacklogMicros) * time.Microsecond
		}
	}
	if report == nil {
		return c
	}
	c.LoadAge = now.Sub(report.ReceivedAt)
	c.AdmissionWait = time.Duration(report.AdmissionWaitMicros) * time.Microsecond
	c.Load.Slots = int(report.Limit)
	c.Load.Speed = estimate.Speed{Slowdown: float64(report.SlowdownPercent) / 100, MinSlowdown: float64(report.MinSlowdownPercent) / 100}
	if report.LatencyMicros > 0 {
		c.Load.MeanServiceTime = time.Duration(report.LatencyMicros) * time.Microsecond
	}
	return c
}

// uploadTime returns the expected time until the body of the call has arrived at an
// executor.
func (f *forwarder) uploadTime(linkRate float64, report *board.LoadReport, now time.Time) time.Duration {
	transfer := pacing.TransferTime(f.call.BodyBytes, pacing.BodyRate(linkRate))
	if report == nil {
		return transfer
	}
	backlog := time.Duration(report.InboundBacklogMicros)*time.Microsecond - now.Sub(report.ReceivedAt)
	return max(0, backlog) + transfer
}
