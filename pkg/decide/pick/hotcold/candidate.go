package hotcold

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/budget"
	"mangostand.example/mangostand/pkg/dynconf"
)

const (
	// minSlowStartWeight is the weight of an instance at the beginning of its
	// slow start.
	minSlowStartWeight = 0.1
	// failurePenalty is the load per slot that is added to an instance when
	// all of its recent calls have failed. It exceeds the load of any busy
	// instance, so that failing fast makes an instance hot rather than
	// attractive.
	failurePenalty = 4
	// minLoadHalfLife is the shortest time, in seconds, in which a load report
	// loses half of its weight. Longer calls change the load more slowly.
	minLoadHalfLife = 0.005
	// slowRatio is the ratio to the mean service time from which an instance
	// counts as slow. The speed of shared hosts varies within this ratio;
	// following it would overload the servers that were fast a moment ago.
	slowRatio = 1.5
	// latencyHalfLife is the time, in seconds, in which a reported service
	// time loses half of its weight. It spans the calls from which the median is
	// computed on a moderately busy server.
	latencyHalfLife = 0.25
)

// candidate is one instance as the picker sees it for one call. Times are in
// seconds, loads in calls per slot.
type candidate struct {
	endpoint *board.Endpoint
	// newCallLoad is the call to send, ownLoad the calls of this entry in
	// flight and otherLoad the reported calls of other entries.
	newCallLoad, ownLoad, otherLoad float64
	// serviceTime is the reported median service time, without network
	// latency.
	serviceTime float64
	// age is the age of the report, negative when there is none.
	age float64
	// domainPenalty is the time added for another failure domain.
	domainPenalty float64
	// slowStartWeight is the weight of an instance during its slow start, up
	// to 1 at the end. loadPenalty is the load added for failures and for
	// unknown load.
	slowStartWeight, loadPenalty float64

	load float64
	hot  bool
	cost float64
	// expectedServiceTime is the service time that enters the cost.
	expectedServiceTime float64
}

// newCandidate returns the candidate for an endpoint.
func newCandidate(endpoint *board.Endpoint, now time.Time, failureDomain string, balancing *dynconf.Balancing) candidate {
	c := candidate{endpoint: endpoint, age: -1, slowStartWeight: slowStartWeight(endpoint, now, balancing.SlowStartWindow)}
	if endpoint.Member.FailureDomain != failureDomain {
		c.domainPenalty = balancing.DomainPenalty.Seconds()
	}
	limit := endpoint.Member.Slots
	ownInFlight := endpoint.OwnInFlight()
	otherInFlight := endpoint.EstimatedInFlight() - ownInFlight
	if report := endpoint.LatestLoadReport(); report != nil {
		c.age = max(0, now.Sub(report.ReceivedAt).Seconds())
		c.serviceTime = float64(report.LatencyMicros) / 1e6
		if report.Limit > 0 {
			limit = report.Limit
		}
	}
	slots := float64(max(limit, 1))
	c.newCallLoad = 1 / slots
	c.ownLoad = float64(ownInFlight) / slots
	c.otherLoad = float64(max(0, otherInFlight)) / slots
	c.loadPenalty = failurePenalty * endpoint.FailureRatio(now)
	if c.loadUnknown() && ownInFlight > 0 {
		// Each entry sends one call at a time to an instance of unknown load.
		c.loadPenalty += failurePenalty
	}
	return c
}

// loadUnknown reports whether the report is missing or too old to be of use.
func (c *candidate) loadUnknown() bool { return c.age < 0 || c.age > budget.ReportTTL.Seconds() }

// reportWeight returns the weight of the report by its age.
func (c *candidate) reportWeight(halfLife float64) float64 {
	if c.loadUnknown() {
		return 0
	}
	return halfLife / (halfLife + c.age)
}

// slowStartWeight returns the weight of an endpoint that may be in its slow
// start.
func slowStartWeight(endpoint *board.Endpoint, now time.Time, rampTime time.Duration) float64 {
	if endpoint.FirstSeen.IsZero() || rampTime <= 0 {
		return 1
	}
	age := now.Sub(endpoint.FirstSeen)
	if age >= rampTime {
		return 1
	}
	return minSlowStartWeight + (1-minSlowStartWeight)*float64(max(age, 0))/float64(rampTime)
}

// estimateLoad sets the load and the service time. As a report ages, its
// values tend to the mean of the candidates, so that a stale low report does
// not attract traffic and a stale high one does not keep it away.
func (c *candidate) estimateLoad(avg averages) {
	weight := c.reportWeight(avg.loadHalfLife)
	// The load in flight counts relative to the slow start weight. The load to
	// expect without a report is the mean times the weight, so that the weights
	// cancel out. The new call counts unscaled, else one call would fill a cold
	// instance and it would get none until late in its slow start.
	c.load = c.newCallLoad + (c.ownLoad+weight*c.otherLoad)*avg.maxSlowStartWeight/c.slowStartWeight + (1-weight)*avg.otherLoad + c.loadPenalty
	if c.serviceTime == 0 {
		c.serviceTime = avg.serviceTime
	}
	weight = c.reportWeight(latencyHalfLife)
	c.serviceTime = weight*c.serviceTime + (1-weight)*avg.serviceTime
	c.expectedServiceTime = max(avg.serviceTime, c.serviceTime/slowRatio)
}

// score sets the cost of the candidate and whether it is hot. The cost of a
// cold candidate is its expected response time, which grows with the load,
// plus the domain penalty; that of a hot one is its load.
func (c *candidate) score(threshold float64) {
	c.hot = c.load > threshold
	if c.hot {
		c.cost = c.load
		return
	}
	c.cost = c.expectedServiceTime*c.load + c.domainPenalty
}

// betterThan prefers cold candidates to hot ones, then lower costs.
func (c *candidate) betterThan(other *candidate) bool {
	if c.hot != other.hot {
		return !c.hot
	}
	return c.cost < other.cost
}

// averages summarizes all candidates.
type averages struct {
	// otherLoad is the mean load from other entries.
	otherLoad float64
	// serviceTime is the mean service time.
	serviceTime float64
	// maxSlowStartWeight is the highest slow start weight among the
	// candidates. Weights count relative to it, so that instances that start
	// together, or that a new entry sees for the first time, get no slow
	// start.
	maxSlowStartWeight float64
	// loadHalfLife is the time in which a load report loses half of its
	// weight: one service time, after which about all calls that it counted
	// have ended.
	loadHalfLife float64
}

// sample is the set of candidates of one call.
type sample struct {
	candidates [sampleSize]candidate
	count      int
}

// estimateLoads sets the loads of all candidates and returns them.
func (s *sample) estimateLoads() (loads [sampleSize]float64) {
	avg := s.averages()
	for i := range s.count {
		c := &s.candidates[i]
		c.estimateLoad(avg)
		loads[i] = c.load
	}
	return loads
}

func (s *sample) averages() averages {
	avg := averages{serviceTime: s.meanServiceTime()}
	avg.loadHalfLife = max(minLoadHalfLife, avg.serviceTime)
	sum, weights := 0.0, 0.0
	for i := range s.count {
		c := &s.candidates[i]
		avg.maxSlowStartWeight = max(avg.maxSlowStartWeight, c.slowStartWeight)
		weight := c.reportWeight(avg.loadHalfLife)
		sum += weight * c.otherLoad
		weights += weight
	}
	if weights > 0 {
		avg.otherLoad = sum / weights
	}
	return avg
}

func (s *sample) meanServiceTime() float64 {
	sum, weights := 0.0, 0.0
	for i := range s.count {
		if c := &s.candidates[i]; c.serviceTime > 0 {
			weight := c.reportWeight(latencyHalfLife)
			sum += weight * c.serviceTime
			weights += weight
		}
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}
