package hotcold

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/budget"
	"mangostand.example/mangostand/pkg/dynconf"
)

const (
	// coldStartShare is the weight of an instance whose incarnation has just started.
	coldStartShare = 0.1
	// failurePenalty is the load that an instance counts as having when all of
	// its recent calls failed. It exceeds the load of any busy instance, so that
	// failing fast makes an instance hot rather than attractive.
	failurePenalty = 4
	// minLoadLife is the shortest time in which a report of load loses half of
	// its weight; calls that take longer change the load more slowly.
	minLoadLife = 0.005
	// slowTolerance is the ratio to the mean service time from which an instance
	// counts as slow. Swings of a shared host stay within it; following them
	// would load the servers that were fast a moment ago beyond their capacity.
	slowTolerance = 1.5
	// latencyLife is that time for the median service time, in seconds. It
	// spans the calls behind a median on a moderately busy server.
	latencyLife = 0.25
)

// candidate is one instance as the picker sees it for one call. Times are in
// seconds.
type candidate struct {
	cell *board.Endpoint
	// next is the call to send, own the calls of this entry in flight, others
	// the reported calls of other entries, each per slot.
	next, own, others float64
	// service is the reported median service time, without network.
	service float64
	// age is the age of the report, negative when there is none.
	age float64
	// distance is the penalty of another failure domain.
	distance float64
	// ramp is the weight of an instance that may have started cold, 0 to 1;
	// penalty is added to the load of one that fails.
	ramp, penalty float64

	load float64
	hot  bool
	cost float64
	// expected is the service time that the cost counts with.
	expected float64
}

// view reads the figures of a cell.
func view(cell *board.Endpoint, now time.Time, domain string, b *dynconf.Balancing) candidate {
	c := candidate{cell: cell, age: -1, ramp: rampUp(cell, now, b.ColdStart)}
	if cell.Member.FailureDomain != domain {
		c.distance = b.DomainPenalty.Seconds()
	}
	limit := cell.Member.Slots
	own := cell.OwnInFlight()
	others := cell.EstimatedInFlight() - own
	if r := cell.LatestLoadReport(); r != nil {
		c.age = max(0, now.Sub(r.ReceivedAt).Seconds())
		c.service = float64(r.LatencyMicros) / 1e6
		if r.Limit > 0 {
			limit = r.Limit
		}
	}
	slots := float64(max(limit, 1))
	c.next = 1 / slots
	c.own = float64(own) / slots
	c.others = float64(max(0, others)) / slots
	c.penalty = failurePenalty * cell.FailureRatio(now)
	if c.unknown() && own > 0 {
		// Nothing is known of it yet: one call at a time from each entry.
		c.penalty += failurePenalty
	}
	return c
}

// unknown reports whether there is no report that says anything.
func (c *candidate) unknown() bool { return c.age < 0 || c.age > budget.ReportLife.Seconds() }

// weight returns how much of a report still holds, when it loses half in life.
func (c *candidate) weight(life float64) float64 {
	if c.unknown() {
		return 0
	}
	return life / (life + c.age)
}

// rampUp returns the weight of an instance that may have started cold.
func rampUp(cell *board.Endpoint, now time.Time, over time.Duration) float64 {
	if cell.FirstSeen.IsZero() || over <= 0 {
		return 1
	}
	age := now.Sub(cell.FirstSeen)
	if age >= over {
		return 1
	}
	return coldStartShare + (1-coldStartShare)*float64(max(age, 0))/float64(over)
}

// estimate sets the load and the service time. What a report said moves
// towards the mean of the candidates as it ages, so that an old low report
// does not attract traffic and an old high one does not keep it away.
func (c *candidate) estimate(m means) {
	w := c.weight(m.loadLife)
	// An instance that ramps up has its share of the mean: the factors cancel
	// out. The call to send counts plainly, else one call would fill a cold
	// instance and it would get none until late in the ramp.
	c.load = c.next + (c.own+w*c.others)*m.ramp/c.ramp + (1-w)*m.others + c.penalty
	if c.service == 0 {
		c.service = m.service
	}
	w = c.weight(latencyLife)
	c.service = w*c.service + (1-w)*m.service
	c.expected = max(m.service, c.service/slowTolerance)
}

// rate sets whether the candidate is hot, and its cost: for a cold one the
// expected time, which grows with the load, plus the distance; for a hot one
// the load.
func (c *candidate) rate(threshold float64) {
	c.hot = c.load > threshold
	if c.hot {
		c.cost = c.load
		return
	}
	c.cost = c.expected*c.load + c.distance
}

func (c *candidate) betterThan(other *candidate) bool {
	if c.hot != other.hot {
		return !c.hot
	}
	return c.cost < other.cost
}

// means sums up what is known of all candidates.
type means struct {
	// others is the mean number of calls of other entries per slot.
	others float64
	// service is the mean service time.
	service float64
	// ramp is the highest weight among the candidates. Relative to it, a fleet
	// that starts together, or that a new entry sees for the first time, is not
	// cold.
	ramp float64
	// loadLife is the time in which a report of load loses half of its weight:
	// one service time, in which about all calls that it counted have ended.
	loadLife float64
}

// sample is the set of candidates of one call.
type sample struct {
	candidates [sampleSize]candidate
	n          int
}

// estimate sets the loads of all candidates and returns them.
func (s *sample) estimate() (loads [sampleSize]float64) {
	m := s.means()
	for i := range s.n {
		c := &s.candidates[i]
		c.estimate(m)
		loads[i] = c.load
	}
	return loads
}

func (s *sample) means() means {
	m := means{service: s.meanService()}
	m.loadLife = max(minLoadLife, m.service)
	sum, weights := 0.0, 0.0
	for i := range s.n {
		c := &s.candidates[i]
		m.ramp = max(m.ramp, c.ramp)
		w := c.weight(m.loadLife)
		sum += w * c.others
		weights += w
	}
	if weights > 0 {
		m.others = sum / weights
	}
	return m
}

func (s *sample) meanService() float64 {
	sum, weights := 0.0, 0.0
	for i := range s.n {
		if c := &s.candidates[i]; c.service > 0 {
			w := c.weight(latencyLife)
			sum += w * c.service
			weights += w
		}
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}
