package hotcold

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/budget"
	"mangostand.example/mangostand/pkg/dynconf"
)

const (
	// minSlowStartWeight is the weight of an instance whose incarnation has just started.
	minSlowStartWeight = 0.1
	// failurePenalty is the load that an instance counts as having when all of
	// its recent calls failed. It exceeds the load of any busy instance, so that
	// failing fast makes an instance hot rather than attractive.
	failurePenalty = 4
	// minLoadHalfLife is the shortest time in which a report of load loses half of
	// its weight; calls that take longer change the load more slowly.
	minLoadHalfLife = 0.005
	// slowRatio is the ratio to the mean service time from which an instance
	// counts as slow. Swings of a shared host stay within it; following them
	// would load the servers that were fast a moment ago beyond their capacity.
	slowRatio = 1.5
	// latencyHalfLife is that time for the median service time, in seconds. It
	// spans the calls behind a median on a moderately busy server.
	latencyHalfLife = 0.25
)

// candidate is one instance as the picker sees it for one call. Times are in
// seconds.
type candidate struct {
	endpoint *board.Endpoint
	// newCallLoad is the call to send, ownLoad the calls of this entry in flight, otherLoad
	// the reported calls of other entries, each per slot.
	newCallLoad, ownLoad, otherLoad float64
	// serviceTime is the reported median serviceTime time, without network.
	serviceTime float64
	// age is the age of the report, negative when there is none.
	age float64
	// domainPenalty is the penalty of another failure domain.
	domainPenalty float64
	// slowStartWeight is the weight of an instance that may have started cold, 0 to 1;
	// loadPenalty is added to the load of one that fails.
	slowStartWeight, loadPenalty float64

	load float64
	hot  bool
	cost float64
	// expectedServiceTime is the service time that the cost counts with.
	expectedServiceTime float64
}

// newCandidate reads the figures of a cell.
func newCandidate(cell *board.Endpoint, now time.Time, domain string, b *dynconf.Balancing) candidate {
	c := candidate{endpoint: cell, age: -1, slowStartWeight: slowStartWeight(cell, now, b.ColdStart)}
	if cell.Member.FailureDomain != domain {
		c.domainPenalty = b.DomainPenalty.Seconds()
	}
	limit := cell.Member.Slots
	own := cell.OwnInFlight()
	others := cell.EstimatedInFlight() - own
	if r := cell.LatestLoadReport(); r != nil {
		c.age = max(0, now.Sub(r.ReceivedAt).Seconds())
		c.serviceTime = float64(r.LatencyMicros) / 1e6
		if r.Limit > 0 {
			limit = r.Limit
		}
	}
	slots := float64(max(limit, 1))
	c.newCallLoad = 1 / slots
	c.ownLoad = float64(own) / slots
	c.otherLoad = float64(max(0, others)) / slots
	c.loadPenalty = failurePenalty * cell.FailureRatio(now)
	if c.loadUnknown() && own > 0 {
		// Nothing is known of it yet: one call at a time from each entry.
		c.loadPenalty += failurePenalty
	}
	return c
}

// loadUnknown reports whether there is no report that says anything.
func (c *candidate) loadUnknown() bool { return c.age < 0 || c.age > budget.ReportTTL.Seconds() }

// reportWeight returns how much of a report still holds, when it loses half in life.
func (c *candidate) reportWeight(life float64) float64 {
	if c.loadUnknown() {
		return 0
	}
	return life / (life + c.age)
}

// slowStartWeight returns the weight of an instance that may have started cold.
func slowStartWeight(cell *board.Endpoint, now time.Time, over time.Duration) float64 {
	if cell.FirstSeen.IsZero() || over <= 0 {
		return 1
	}
	age := now.Sub(cell.FirstSeen)
	if age >= over {
		return 1
	}
	return minSlowStartWeight + (1-minSlowStartWeight)*float64(max(age, 0))/float64(over)
}

// estimateLoad sets the load and the service time. What a report said moves
// towards the mean of the candidates as it ages, so that an old low report
// does not attract traffic and an old high one does not keep it away.
func (c *candidate) estimateLoad(m averages) {
	w := c.reportWeight(m.loadHalfLife)
	// An instance that ramps up has its share of the mean: the factors cancel
	// out. The call to send counts plainly, else one call would fill a cold
	// instance and it would get none until late in the ramp.
	c.load = c.newCallLoad + (c.ownLoad+w*c.otherLoad)*m.maxSlowStartWeight/c.slowStartWeight + (1-w)*m.otherLoad + c.loadPenalty
	if c.serviceTime == 0 {
		c.serviceTime = m.serviceTime
	}
	w = c.reportWeight(latencyHalfLife)
	c.serviceTime = w*c.serviceTime + (1-w)*m.serviceTime
	c.expectedServiceTime = max(m.serviceTime, c.serviceTime/slowRatio)
}

// score sets whether the candidate is hot, and its cost: for a cold one the
// expected time, which grows with the load, plus the distance; for a hot one
// the load.
func (c *candidate) score(threshold float64) {
	c.hot = c.load > threshold
	if c.hot {
		c.cost = c.load
		return
	}
	c.cost = c.expectedServiceTime*c.load + c.domainPenalty
}

func (c *candidate) betterThan(other *candidate) bool {
	if c.hot != other.hot {
		return !c.hot
	}
	return c.cost < other.cost
}

// averages sums up what is known of all candidates.
type averages struct {
	// otherLoad is the mean number of calls of other entries per slot.
	otherLoad float64
	// serviceTime is the mean serviceTime time.
	serviceTime float64
	// maxSlowStartWeight is the highest weight among the candidates. Relative to it, a fleet
	// that starts together, or that a new entry sees for the first time, is not
	// cold.
	maxSlowStartWeight float64
	// loadHalfLife is the time in which a report of load loses half of its weight:
	// one service time, in which about all calls that it counted have ended.
	loadHalfLife float64
}

// sample is the set of candidates of one call.
type sample struct {
	candidates [sampleSize]candidate
	count      int
}

// estimateLoads sets the loads of all candidates and returns them.
func (s *sample) estimateLoads() (loads [sampleSize]float64) {
	m := s.averages()
	for i := range s.count {
		c := &s.candidates[i]
		c.estimateLoad(m)
		loads[i] = c.load
	}
	return loads
}

func (s *sample) averages() averages {
	m := averages{serviceTime: s.meanServiceTime()}
	m.loadHalfLife = max(minLoadHalfLife, m.serviceTime)
	sum, weights := 0.0, 0.0
	for i := range s.count {
		c := &s.candidates[i]
		m.maxSlowStartWeight = max(m.maxSlowStartWeight, c.slowStartWeight)
		w := c.reportWeight(m.loadHalfLife)
		sum += w * c.otherLoad
		weights += w
	}
	if weights > 0 {
		m.otherLoad = sum / weights
	}
	return m
}

func (s *sample) meanServiceTime() float64 {
	sum, weights := 0.0, 0.0
	for i := range s.count {
		if c := &s.candidates[i]; c.serviceTime > 0 {
			w := c.reportWeight(latencyHalfLife)
			sum += w * c.serviceTime
			weights += w
		}
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}
