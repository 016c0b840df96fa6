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
	// TransferCost is the cost of sending the response across failure domains,
	// expressed as a time.
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

const (
	// crossDomainByteCost is the time penalty per response byte that crosses
	// failure domains. That traffic is priced: a response of 90 kB costs more
	// than half of its value. The penalty covers half of the price, so that the
	// latency objective keeps its weight.
	crossDomainByteCost = 2500 * time.Nanosecond
	// crossDomainShare is the time penalty of the first offer of a call to another
	// failure domain as a share of its nominal time. The headers of each offer and
	// each response cross as well, and the load of the own domain is known better.
	crossDomainShare = 0.15
)

// CrossDomainCost returns the cost of a call with the nominal time and a response
// of the given size to another failure domain, expressed as a time. Calls leave
// their domain when its backend servers are expected to take longer by more than
// that. After a first offer that did not lead to a response the domain is likely
// to be busier than others, and only the bytes of the response count.
func CrossDomainCost(nominal time.Duration, responseBytes int64, firstOffer bool) time.Duration {
	cost := time.Duration(responseBytes) * crossDomainByteCost
	if firstOffer {
		cost += time.Duration(crossDomainShare * float64(nominal))
	}
	return cost
}

// failurePenalty is the penalty of a backend server that fails every call, as
// a multiple of the nominal time of the call: a failed call has to be repeated
// as a whole, and the failure may come late.
const failurePenalty = 4

// ExpectedTime returns the expected response time of a call with the nominal
// time at the candidate, including penalties. The minimum slowdown of a
// candidate without a recent report is taken to be typicalMin.
func ExpectedTime(c Candidate, nominal time.Duration, typicalMin float64) time.Duration {
	load := c.Load
	age := c.LoadAge
	if age < 0 {
		age = unknownLoadAge
	}
	load.Speed = load.Decayed(age, typicalMin)
	responseTime := estimate.ResponseTime(load, nominal)
	backlog := max(0, c.LinkBacklog-age)
	total := RemainingAdmissionWait(c) + responseTime + 2*c.OneWayLatency + c.UploadTime + c.TransferCost + pacing.ResponseDelay(backlog, responseTime, c.ResponseBytes, c.LinkRate)
	return total + time.Duration(c.FailureRatio*failurePenalty*float64(nominal))
}

// RemainingAdmissionWait returns the part of the admission wait that is left now.
func RemainingAdmissionWait(c Candidate) time.Duration {
	return max(0, c.AdmissionWait-max(0, c.LoadAge))
}

// unknownLoadAge is the load age that is assumed for a candidate without a
// report. Reports lose nearly all of their weight long before this age.
const unknownLoadAge = time.Hour

// typicalMinSlowdown returns the minimum slowdown that is typical of the
// candidates.
func typicalMinSlowdown(candidates []Candidate) float64 {
	reports := make([]estimate.MinSlowdownReport, 0, len(candidates))
	for _, c := range candidates {
		if c.LoadAge >= 0 && c.Load.MinSlowdown > 0 {
			reports = append(reports, estimate.MinSlowdownReport{MinSlowdown: c.Load.MinSlowdown, Age: c.LoadAge})
		}
	}
	return estimate.TypicalMinSlowdown(reports)
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

// Choose returns the candidate with the least expected response time.
// Candidates within the tolerance of the best count as equal, and the random
// number decides among them.
func Choose(candidates []Candidate, nominal, tolerance time.Duration, random uint64) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	times := make([]time.Duration, len(candidates))
	eligible := eligibleCandidates(candidates)
	best := time.Duration(-1)
	typicalMin := typicalMinSlowdown(candidates)
	for _, i := range eligible {
		times[i] = ExpectedTime(candidates[i], nominal, typicalMin)
		if best < 0 || times[i] < best {
			best = times[i]
		}
	}
	var equal []int
	for _, i := range eligible {
		if times[i] <= best+tolerance {
			equal = append(equal, i)
		}
	}
	choice := Choice{Index: equal[random%uint64(len(equal))]}
	choice.ExpectedTime = times[choice.Index]
	for _, i := range eligible {
		if i != choice.Index && (choice.NextBestTime == 0 || times[i] < choice.NextBestTime) {
			choice.NextBestTime = times[i]
		}
	}
	return choice, true
}

// eligibleCandidates returns the indexes of the candidates that are not
// excluded, or of all when every one is.
func eligibleCandidates(candidates []Candidate) []int {
	var eligible, all []int
	for i := range candidates {
		all = append(all, i)
		if !candidates[i].Excluded {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return all
	}
	return eligible
}
