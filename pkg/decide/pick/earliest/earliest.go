// Package earliest chooses the backend server at which a call is expected to
// finish first. All functions are pure.
package earliest

import (
	"time"

	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/pacing"
)

// Candidate is one backend server as the node of the caller knows it.
type Candidate struct {
	// Load is the newest known load; LoadAge is its age, negative when there
	// is no report.
	Load    estimate.Load
	LoadAge time.Duration
	// OneWayLatency is the network latency to it in one direction.
	OneWayLatency time.Duration
	// FailureRatio is the share of recent calls that failed, 0 to 1.
	FailureRatio float64
	// OtherDomain is set if it is in another failure domain than the caller.
	// TransferCost is the cost of sending the call there, expressed as a time, see
	// locality.Cost.
	OtherDomain  bool
	TransferCost time.Duration
	// ResponseBytes is the size of the response. LinkRate is the rate of the
	// machine's link in bytes per second, LinkBacklog the time for which the
	// link is busy, as old as the load.
	ResponseBytes int64
	LinkRate      float64
	LinkBacklog   time.Duration
	// UploadTime is the time until a large request body has arrived.
	UploadTime time.Duration
	// AdmissionWait is the time until the candidate may get a further call, as old as
	// the load. It is 0 unless the candidate is cold.
	AdmissionWait time.Duration
	// Excluded candidates are used only when there is no other.
	Excluded bool
}

// failurePenalty is the penalty of a backend server that fails every call, as
// a multiple of the nominal time of the call: a failed call has to be repeated
// as a whole, and the failure may come late.
const failurePenalty = 4

// FailurePenalty returns the part of the expected time that a failure ratio adds.
func FailurePenalty(ratio float64, nominal time.Duration) time.Duration {
	return time.Duration(ratio * failurePenalty * float64(nominal))
}

// ExpectedTime returns the expected response time of a call with the nominal
// time at the candidate, including penalties. The minimum slowdown of a
// candidate without a recent report is taken to be typicalMin.
func ExpectedTime(c Candidate, nominal time.Duration, typicalMin float64) time.Duration {
	return expectedTime(&c, nominal, typicalMin)
}

func expectedTime(c *Candidate, nominal time.Duration, typicalMin float64) time.Duration {
	load := c.Load
	age := c.LoadAge
	if age < 0 {
		age = unknownLoadAge
	}
	load.Speed = load.Decayed(age, typicalMin)
	responseTime := estimate.ResponseTime(load, nominal)
	backlog := max(0, c.LinkBacklog-age)
	total := RemainingAdmissionWait(c) + responseTime + 2*c.OneWayLatency + c.UploadTime + c.TransferCost + pacing.ResponseDelay(backlog, responseTime, c.ResponseBytes, c.LinkRate)
	return total + FailurePenalty(c.FailureRatio, nominal)
}

// RemainingAdmissionWait returns the part of the admission wait that is left now.
func RemainingAdmissionWait(c *Candidate) time.Duration {
	return max(0, c.AdmissionWait-max(0, c.LoadAge))
}

// unknownLoadAge is the load age that is assumed for a candidate without a
// report. Reports lose nearly all of their weight long before this age.
const unknownLoadAge = time.Hour

// Scratch holds the buffers of a choice, so that choices on the path of a request
// allocate nothing. The zero value is ready; it must not be used by two choices at
// once.
type Scratch struct {
	times   []time.Duration
	equal   []int
	reports []estimate.MinSlowdownReport
}

// typicalMinSlowdown returns the minimum slowdown that is typical of the
// candidates.
func (s *Scratch) typicalMinSlowdown(candidates []Candidate) float64 {
	s.reports = s.reports[:0]
	for i := range candidates {
		if c := &candidates[i]; c.LoadAge >= 0 && c.Load.MinSlowdown > 0 {
			s.reports = append(s.reports, estimate.MinSlowdownReport{MinSlowdown: c.Load.MinSlowdown, Age: c.LoadAge})
		}
	}
	return estimate.TypicalMinSlowdown(s.reports)
}

// Ineligible is the expected time of a candidate that must not be chosen.
const Ineligible = time.Duration(-1)

// Times returns the expected response time at each candidate, or Ineligible for an
// excluded candidate while there are others. The result is valid until the scratch
// is used again.
func (s *Scratch) Times(candidates []Candidate, nominal time.Duration) []time.Duration {
	allExcluded := true
	for i := range candidates {
		allExcluded = allExcluded && candidates[i].Excluded
	}
	typicalMin := s.typicalMinSlowdown(candidates)
	s.times = s.times[:0]
	for i := range candidates {
		if candidates[i].Excluded && !allExcluded {
			s.times = append(s.times, Ineligible)
			continue
		}
		s.times = append(s.times, expectedTime(&candidates[i], nominal, typicalMin))
	}
	return s.times
}

// Equal returns the indexes of the times that are at most limit, in their order. The
// result is valid until the scratch is used again.
func (s *Scratch) Equal(times []time.Duration, limit time.Duration) []int {
	s.equal = s.equal[:0]
	for i, t := range times {
		if t != Ineligible && t <= limit {
			s.equal = append(s.equal, i)
		}
	}
	return s.equal
}

// Choice is the chosen candidate.
type Choice struct {
	// Index is the position of the choice among the candidates.
	Index int
	// ExpectedTime is its expected response time, NextBestTime that of the
	// best other candidate, 0 when there is none.
	ExpectedTime time.Duration
	NextBestTime time.Duration
}

// NewChoice returns the choice of a candidate by its index.
func NewChoice(times []time.Duration, index int) Choice {
	choice := Choice{Index: index, ExpectedTime: times[index]}
	for i, t := range times {
		if i != index && t != Ineligible && (choice.NextBestTime == 0 || t < choice.NextBestTime) {
			choice.NextBestTime = t
		}
	}
	return choice
}

// Choose returns the candidate with the least expected response time.
// Candidates within the tolerance of the best count as equal, and the random
// number decides among them.
func Choose(candidates []Candidate, nominal, tolerance time.Duration, random uint64) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	var s Scratch
	times := s.Times(candidates, nominal)
	best := Ineligible
	for _, t := range times {
		if t != Ineligible && (best == Ineligible || t < best) {
			best = t
		}
	}
	equal := s.Equal(times, best+tolerance)
	return NewChoice(times, equal[random%uint64(len(equal))]), true
}
