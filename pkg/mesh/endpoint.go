package mesh

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/locality"
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
	buffers := pickBuffersPool.Get().(*pickBuffers)
	defer pickBuffersPool.Put(buffers)
	now := time.Now()
	view := f.newEndpointView(now)
	candidates := buffers.candidates[:0]
	for _, endpoint := range endpoints {
		candidates = append(candidates, view.newCandidate(endpoint))
	}
	buffers.candidates = candidates
	leaving := f.entry.Board.LeavingShares.For(f.call.Rule, f.call.Service)
	stored, previous := leaving.Load(), locality.State{}
	if stored != nil {
		previous = *stored
	}
	decision, _ := locality.Decide(locality.Input{
		Candidates: candidates, Nominal: view.nominalTime, Tolerance: expectedTimeTolerance, Repeated: f.repeated,
		Previous: previous, Now: now, Random: rand.Uint64(),
	}, &buffers.scratch)
	if decision.State != previous {
		leaving.Replace(stored, decision.State)
	}
	chosen := &candidates[decision.Index]
	f.admissionWait = earliest.RemainingAdmissionWait(chosen)
	f.expectedTime, f.loadAge, f.locality = decision.ExpectedTime, chosen.LoadAge, decision
	endpoint := endpoints[decision.Index]
	if f.offers >= offersWithMaxResponseTime || decision.NextBestTime == 0 {
		return endpoint, 0
	}
	next := decision.NextBestTime - chosen.TransferCost
	return endpoint, max(next, estimate.Speed{}.ServiceTime(view.nominalTime)) + minAlternativeGain
}

// pickBuffers are the buffers of one choice. At 300 nodes a service has up to 160
// endpoints, whose candidates are too large to allocate for each offer.
type pickBuffers struct {
	candidates []earliest.Candidate
	scratch    earliest.Scratch
}

var pickBuffersPool = sync.Pool{New: func() any { return &pickBuffers{} }}

// eligibleEndpoints returns the endpoints to which the call may be offered.
func (f *forwarder) eligibleEndpoints() []*board.MeshEndpoint {
	evacuated := f.evacuatedDomains()
	endpoints := f.entry.Board.Fleet.Load().ByService[f.call.Service]
	healthy := make([]*board.MeshEndpoint, 0, len(endpoints))
	var suspected []*board.MeshEndpoint
	for _, endpoint := range endpoints {
		switch {
		case slices.Contains(f.excluded, endpoint.Record.Instance), endpoint.Reachability.Replaced():
		case endpoint.Leaving():
			// The load report tells it sooner than the record that the other nodes pass on.
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

// endpointView is what all candidates of one choice have in common.
type endpointView struct {
	forwarder     *forwarder
	now           time.Time
	nominalTime   time.Duration
	responseBytes int64
	transferCost  time.Duration
	// latencies holds the latency to each other failure domain seen so far.
	latencies []domainLatency
}

type domainLatency struct {
	domain  string
	latency time.Duration
}

func (f *forwarder) newEndpointView(now time.Time) *endpointView {
	v := &endpointView{
		forwarder: f, now: now, nominalTime: f.nominalTime(), responseBytes: f.entry.Board.CallStats.ForRule(f.call.Rule).ResponseSize(),
	}
	traffic := locality.Traffic{Nominal: v.nominalTime, ResponseBytes: v.responseBytes, FirstOffer: f.offers == 0}
	if f.call.LargeRequest {
		traffic.RequestBytes = int64(len(f.call.Body))
	}
	if f.call.HoldsCallerSlot {
		traffic.CallerLoad = f.entry.LocalExecutor.usedSlotShare()
	}
	v.transferCost = locality.Cost(traffic, f.entry.CrossDomainTimePerMB)
	return v
}

// latency returns the latency to a failure domain other than that of the node.
func (v *endpointView) latency(domain string) time.Duration {
	for i := range v.latencies {
		if v.latencies[i].domain == domain {
			return v.latencies[i].latency
		}
	}
	b := v.forwarder.entry.Board
	latency := b.DomainLatencies.Latency(b.Self.FailureDomain, domain)
	v.latencies = append(v.latencies, domainLatency{domain, latency})
	return latency
}

// newCandidate returns what is known about an endpoint.
func (v *endpointView) newCandidate(endpoint *board.MeshEndpoint) earliest.Candidate {
	self := &v.forwarder.entry.Board.Self
	report := endpoint.LatestLoadReport()
	c := earliest.Candidate{
		Load:         estimate.Load{Running: int(endpoint.EstimatedInFlight()), Slots: endpoint.Record.Slots, MeanServiceTime: v.nominalTime},
		LoadAge:      -1,
		FailureRatio: endpoint.FailureRatio(v.now),
	}
	if endpoint.Record.Instance != self.Instance {
		c.OneWayLatency = locality.SameDomainLatency
		c.ResponseBytes, c.LinkRate = v.responseBytes, endpoint.Record.LinkRate
		if endpoint.Record.FailureDomain != self.FailureDomain {
			c.OtherDomain = true
			c.OneWayLatency = v.latency(endpoint.Record.FailureDomain)
			c.TransferCost = v.transferCost
		}
		if f := v.forwarder; f.call.BodyBytes > 0 {
			c.UploadTime = f.uploadTime(endpoint.Record.LinkRate, report, v.now)
		}
		if report != nil {
			c.LinkBacklog = time.Duration(report.LinkBacklogMicros) * time.Microsecond
		}
	}
	if report == nil {
		return c
	}
	c.LoadAge = v.now.Sub(report.ReceivedAt)
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
