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
	// Distance is the time of one way to it.
	Distance time.Duration
	// Failing is the recent share of failed calls, 0 to 1.
	Failing float64
	// Cost is what the bytes of an answer cost on the way, as a time.
	Cost time.Duration
	// Bytes is the size of the answer, LinkRate the rate of the machine's link in
	// bytes per second and Backlog how long it is busy, as old as the load.
	Bytes    int64
	LinkRate float64
	Backlog  time.Duration
	// Excluded candidates are used only when there is no other.
	Excluded bool
}

// failurePenalty is the time that a backend server which fails every call
// counts as farther, relative to the usual time of the call: a failed call has
// to be repeated whole, and its failure may come late.
const failurePenalty = 4

// Expected returns how long a call with the usual time is expected to take at
// the candidate, with penalties. The floor is what to expect of a candidate
// without a new report.
func Expected(c Candidate, usual time.Duration, floor float64) time.Duration {
	l := c.Load
	age := c.LoadAge
	if age < 0 {
		age = neverReported
	}
	l.Speed = l.Aged(age, floor)
	finish := estimate.Finish(l, usual)
	backlog := max(0, c.Backlog-age)
	total := finish + 2*c.Distance + c.Cost + pacing.Wait(backlog, finish, c.Bytes, c.LinkRate)
	return total + time.Duration(c.Failing*failurePenalty*float64(usual))
}

// neverReported is the age of the load of a candidate that has told none: far
// more than any report is trusted for.
const neverReported = time.Hour

// commonFloor returns the floor of most candidates.
func commonFloor(candidates []Candidate) float64 {
	known := make([]estimate.KnownFloor, 0, len(candidates))
	for _, c := range candidates {
		if c.LoadAge >= 0 && c.Load.Floor > 0 {
			known = append(known, estimate.KnownFloor{Floor: c.Load.Floor, Age: c.LoadAge})
		}
	}
	return estimate.CommonFloor(known)
}

// Choice is the chosen candidate.
type Choice struct {
	Index int
	// Expected is its expected time, Next that of the best other candidate; 0
	// when there is none.
	Expected time.Duration
	Next     time.Duration
}

// Choose returns the candidate with the least expected time. Candidates within
// the tolerance of the best are equal, and the draw decides among them.
func Choose(candidates []Candidate, usual, tolerance time.Duration, draw uint64) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	times := make([]time.Duration, len(candidates))
	allowed := allowedCandidates(candidates)
	best := time.Duration(-1)
	floor := commonFloor(candidates)
	for _, i := range allowed {
		times[i] = Expected(candidates[i], usual, floor)
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
	choice.Expected = times[choice.Index]
	for _, i := range allowed {
		if i != choice.Index && (choice.Next == 0 || times[i] < choice.Next) {
			choice.Next = times[i]
		}
	}
	return choice, true
}

// allowedCandidates leaves out the excluded ones unless all are.
func allowedCandidates(candidates []Candidate) []int {
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
