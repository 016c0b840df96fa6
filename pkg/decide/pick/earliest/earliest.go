// Package earliest chooses the backend server at which a call is expected to
// finish first. All functions are pure.
package earliest

import (
	"time"

	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/pacing"
)

// Candidate is one backend server as its caller's node knows it.
type Candidate struct {
	// Load is the newest known load; LoadAge is how old its speed is.
	Load    estimate.Load
	LoadAge time.Duration
	// OneWayLatency is the time of one way to it.
	OneWayLatency time.Duration
	// FailureRatio is the recent share of failed calls, 0 to 1.
	FailureRatio float64
	// TransferCost is what the bytes of an answer cost on the way, as a time.
	TransferCost time.Duration
	// ResponseBytes is the size of the answer, LinkRate the rate of the machine's link in
	// bytes per second and Backlog how long it is busy, as old as the load.
	ResponseBytes int64
	LinkRate      float64
	LinkBacklog   time.Duration
	// Excluded candidates are used only when there is no other.
	Excluded bool
}

// failurePenalty is the time that a backend server which fails every call
// counts as farther, relative to the usual time of the call: a failed call has
// to be repeated whole, and its failure may come late.
const failurePenalty = 4

// ExpectedTime returns how long a call with the usual time is expected to take at
// the candidate, with penalties. The floor is what to expect of a candidate
// without a new report.
func ExpectedTime(c Candidate, usual time.Duration, floor float64) time.Duration {
	l := c.Load
	age := c.LoadAge
	if age < 0 {
		age = unknownLoadAge
	}
	l.Speed = l.Decayed(age, floor)
	finish := estimate.ResponseTime(l, usual)
	backlog := max(0, c.LinkBacklog-age)
	total := finish + 2*c.OneWayLatency + c.TransferCost + pacing.ResponseDelay(backlog, finish, c.ResponseBytes, c.LinkRate)
	return total + time.Duration(c.FailureRatio*failurePenalty*float64(usual))
}

// unknownLoadAge is the age of the load of a candidate that has told none: far
// more than any report is trusted for.
const unknownLoadAge = time.Hour

// typicalMinSlowdown returns the floor of most candidates.
func typicalMinSlowdown(candidates []Candidate) float64 {
	known := make([]estimate.MinSlowdownReport, 0, len(candidates))
	for _, c := range candidates {
		if c.LoadAge >= 0 && c.Load.MinSlowdown > 0 {
			known = append(known, estimate.MinSlowdownReport{MinSlowdown: c.Load.MinSlowdown, Age: c.LoadAge})
		}
	}
	return estimate.TypicalMinSlowdown(known)
}

// Choice is the chosen candidate.
type Choice struct {
	Index int
	// ExpectedTime is its expected time, Next that of the best other candidate; 0
	// when there is none.
	ExpectedTime time.Duration
	NextBestTime time.Duration
}

// Choose returns the candidate with the least expected time. Candidates within
// the tolerance of the best are equal, and the draw decides among them.
func Choose(candidates []Candidate, usual, tolerance time.Duration, draw uint64) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	times := make([]time.Duration, len(candidates))
	allowed := eligibleCandidates(candidates)
	best := time.Duration(-1)
	floor := typicalMinSlowdown(candidates)
	for _, i := range allowed {
		times[i] = ExpectedTime(candidates[i], usual, floor)
		if best < 0 || times[i] < best {
			best = times[i]
		}
	}
	var equal []int
	for _, i := range allowed {
		if times[i] <= best+tolerance {
			equal = append(equal, i)
		}
	}
	choice := Choice{Index: equal[draw%uint64(len(equal))]}
	choice.ExpectedTime = times[choice.Index]
	for _, i := range allowed {
		if i != choice.Index && (choice.NextBestTime == 0 || times[i] < choice.NextBestTime) {
			choice.NextBestTime = times[i]
		}
	}
	return choice, true
}

// eligibleCandidates leaves out the excluded ones unless all are.
func eligibleCandidates(candidates []Candidate) []int {
	var allowed, all []int
	for i := range candidates {
		all = append(all, i)
		if !candidates[i].Excluded {
			allowed = append(allowed, i)
		}
	}
	if len(allowed) == 0 {
		return all
	}
	return allowed
}
