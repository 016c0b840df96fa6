package locality

import (
	"math"
	"time"

	"mangostand.example/mangostand/pkg/decide/pick/earliest"
)

// State is the share of the calls of a rule that leaves the failure domain, as
// decided for the latest call. The zero value is the state before the first call.
type State struct {
	Share float64
	At    time.Time
}

// Cause says why a call leaves the failure domain or stays there.
type Cause uint8

// Causes.
const (
	// Stays means that the call is offered within the failure domain.
	Stays Cause = iota
	// NoServer means that the own domain has no endpoint.
	NoServer
	// Failing means that the own domain would be faster if fewer calls failed there.
	Failing
	// Slower means that the own domain is expected to take longer.
	Slower
	// Equal means that both are expected to take about as long.
	Equal
	// Declining means that the own domain is no longer slower, but the share has not
	// yet gone back.
	Declining
	// Refused means that an executor refused an earlier offer of the call.
	Refused
	// Lost means that an earlier attempt of the call failed or got no response.
	Lost
	// Hedge means that the call is sent to a second executor at once.
	Hedge
)

var causeNames = [...]string{
	Stays: "stays", NoServer: "no_server", Failing: "failing", Slower: "slower", Equal: "equal", Declining: "declining",
	Refused: "refused", Lost: "lost", Hedge: "hedge",
}

// String returns the name used in logs and metrics.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return "invalid"
}

// Input is what a decision depends on.
type Input struct {
	// Candidates are the endpoints to which the call may be offered. Those of other
	// failure domains have OtherDomain set, and as TransferCost the result of Cost.
	Candidates []earliest.Candidate
	// Nominal is the service time of the call at normal speed. Candidates count as
	// equal if their expected times differ by at most Tolerance.
	Nominal, Tolerance time.Duration
	// Repeated is the cause of an offer other than the first, Stays for the first.
	Repeated Cause
	// Previous is the state after the previous call of the rule, and Now the time.
	Previous State
	Now      time.Time
	// Random is a uniformly distributed random number.
	Random uint64
}

// Decision is the chosen endpoint and the share from which it was drawn.
type Decision struct {
	earliest.Choice
	// Share is the share of the calls that leaves the failure domain, Target the one
	// that the reports suggest and Age the weighted mean age of these reports. For
	// offers after the first, both shares are those without regard to the age.
	Share, Target float64
	Age           time.Duration
	Cause         Cause
	// State is the state for the next call. Only first offers change it.
	State State
}

const (
	// settleFactor is the time constant with which the share approaches its target, as
	// a multiple of the age of the reports. The effect of a change is known only after
	// that age, so a share that moves as fast as the reports arrive overshoots.
	settleFactor = 3
	// rampPerAge is the difference in expected time from which all calls leave, as a
	// share of the age of the reports. All entries see about the same load; without a
	// ramp they would all move their calls at the same difference.
	rampPerAge = 0.2
	// maxRampShare bounds the ramp as a share of the nominal time, so that a domain
	// with too few servers gets help before its calls are late.
	maxRampShare = 0.5
	// maxAge is the longest age that counts for the ramp and for the rate of the share.
	maxAge = time.Second
	// unknownAge is the age that is assumed for endpoints without a report.
	unknownAge = time.Minute
	// weightHalfAge is the age at which a report has half of its weight in the
	// comparison of the domains: a few service times.
	weightHalfAge = 250 * time.Millisecond
)

// domainTimes is what is known about the own domain and about all others together.
type domainTimes struct {
	times []time.Duration
	// own and other are the indexes of the candidates with the least expected time, -1
	// when there is none.
	own, other int
	// age is the weighted mean age of the reports, and trust how much the differences between
	// single endpoints of a domain still say, from 1 for new reports to 0.
	age   time.Duration
	trust float64
	// excess is by how much the own domain as a whole is slower, negative when it is
	// faster.
	excess time.Duration
}

func newDomainTimes(in Input, times []time.Duration) domainTimes {
	d := domainTimes{own: -1, other: -1, times: times}
	var totals, weights [2]float64
	ages := 0.0
	for i, t := range times {
		if t == earliest.Ineligible {
			continue
		}
		best, side := &d.own, 0
		if in.Candidates[i].OtherDomain {
			best, side = &d.other, 1
		}
		if *best < 0 || t < times[*best] {
			*best = i
		}
		age := knownAge(&in.Candidates[i])
		weight := reportWeight(age)
		totals[side] += weight * float64(t)
		weights[side] += weight
		ages += weight * float64(min(age, maxAge))
	}
	d.age = time.Duration(ages / max(weights[0]+weights[1], math.SmallestNonzeroFloat64))
	d.trust = math.Exp(-float64(d.age) / float64(max(1, in.Nominal)))
	if d.own >= 0 && d.other >= 0 {
		mean := totals[0]/weights[0] - totals[1]/weights[1]
		d.excess = time.Duration(d.trust*float64(times[d.own]-times[d.other]) + (1-d.trust)*mean)
	}
	return d
}

// Decide returns the endpoint for a call and the share of calls that leaves the
// failure domain. ok is false when there are no candidates.
//
// With reports of age 0, and for offers after the first, the endpoint with the least
// expected time is chosen wherever it is. With older reports,
//   - the domains as a whole are compared, by their newer reports: among many endpoints the best report is
//     nearly always that of an idle server, which has got other calls meanwhile,
//   - the target rises with the difference in expected time and does not jump to 1,
//   - the share moves to the target at a rate that falls with the age.
//
// Each entry applies the share to its own calls, so the flow that leaves a domain is
// the sum of these parts.
func Decide(in Input, scratch *earliest.Scratch) (decision Decision, ok bool) {
	if len(in.Candidates) == 0 {
		return Decision{State: in.Previous}, false
	}
	times := scratch.Times(in.Candidates, in.Nominal)
	d := newDomainTimes(in, times)
	if d.own < 0 || d.other < 0 {
		return onlyOneSide(in, d, scratch), true
	}
	equal := scratch.Equal(times, min(times[d.own], times[d.other])+in.Tolerance)
	leaving := 0
	for _, i := range equal {
		if in.Candidates[i].OtherDomain {
			leaving++
		}
	}
	nearest := float64(leaving) / float64(len(equal))
	index := equal[in.Random%uint64(len(equal))]
	decision = Decision{Share: nearest, Target: nearest, Age: d.age, State: in.Previous}
	if in.Repeated == Stays {
		if !ownDomainFails(in, d) {
			decision.Target = target(nearest, d, in.Nominal)
			decision.Share = approach(in.Previous, decision.Target, d.age, in.Now)
		}
		decision.State = State{Share: decision.Share, At: in.Now}
		index = redraw(in, d, index, nearest, decision.Share, scratch)
	}
	decision.Choice = earliest.NewChoice(times, index)
	decision.Cause = cause(in, d, index)
	return decision, true
}

// onlyOneSide returns the decision when all candidates are in the own domain or all
// are in others.
func onlyOneSide(in Input, d domainTimes, scratch *earliest.Scratch) Decision {
	decision := Decision{State: in.Previous, Cause: in.Repeated}
	best := d.own
	if best < 0 {
		best, decision.Share, decision.Target = d.other, 1, 1
		if in.Repeated == Stays {
			decision.Cause = NoServer
		}
	} else {
		decision.Cause = Stays
	}
	equal := scratch.Equal(d.times, d.times[best]+in.Tolerance)
	decision.Choice = earliest.NewChoice(d.times, equal[in.Random%uint64(len(equal))])
	if in.Repeated == Stays {
		decision.State = State{Share: decision.Share, At: in.Now}
	}
	return decision
}

// knownAge returns the age of what is known about a candidate.
func knownAge(c *earliest.Candidate) time.Duration {
	if c.LoadAge < 0 {
		return unknownAge
	}
	return min(c.LoadAge, unknownAge)
}

// reportWeight returns the weight of a report in the comparison of the domains. In a
// large fleet most reports are many seconds old. A report of a queue that has long
// ended must not outweigh new reports of idle servers.
func reportWeight(age time.Duration) float64 {
	relative := float64(age) / float64(weightHalfAge)
	return 1 / (1 + relative*relative)
}

// ownDomainFails reports whether the best endpoint of the own domain is slower only
// because calls fail there. Outcomes are known at once, unlike the load, so the share
// follows them without delay.
func ownDomainFails(in Input, d domainTimes) bool {
	ratio, slower := in.Candidates[d.own].FailureRatio, d.times[d.own]-d.times[d.other]
	return slower > 0 && ratio > 0 && slower <= earliest.FailurePenalty(ratio, in.Nominal)
}

// target returns the share that the reports suggest: the nearest one as far as they
// can be trusted, else one that rises with the excess of the own domain.
func target(nearest float64, d domainTimes, nominal time.Duration) float64 {
	ramp := min(rampPerAge*float64(d.age), maxRampShare*float64(nominal))
	if ramp <= 0 {
		return nearest
	}
	return d.trust*nearest + (1-d.trust)*min(1, float64(max(0, d.excess))/ramp)
}

// approach returns the share after it has moved towards the target.
func approach(previous State, target float64, age time.Duration, now time.Time) float64 {
	if previous.At.IsZero() || age <= 0 {
		return target
	}
	elapsed := float64(max(0, now.Sub(previous.At)))
	weight := elapsed / (elapsed + settleFactor*float64(age))
	return previous.Share + (target-previous.Share)*weight
}

// redraw returns the endpoint for a call whose endpoint was drawn with the share
// nearest in place of the decided one. It moves as many calls to the other side as the
// shares differ by, and leaves the other draws as they are.
func redraw(in Input, d domainTimes, index int, nearest, share float64, scratch *earliest.Scratch) int {
	leaves := in.Candidates[index].OtherDomain
	moves, best := 0.0, d.own
	switch {
	case !leaves && share > nearest:
		moves, best = (share-nearest)/(1-nearest), d.other
	case leaves && share < nearest:
		moves = (nearest - share) / nearest
	}
	// The low part of the random number has chosen among equal endpoints.
	if uniform(in.Random) >= moves {
		return index
	}
	equal := scratch.Equal(d.times, d.times[best]+in.Tolerance)
	side := equal[:0]
	for _, i := range equal {
		if in.Candidates[i].OtherDomain != leaves {
			side = append(side, i)
		}
	}
	return side[in.Random%uint64(len(side))]
}

// uniform returns a number from 0 to 1 that depends on the high bits of a random
// number only.
func uniform(random uint64) float64 { return float64(random>>32) / (1 << 32) }

// cause returns why the call goes to the chosen candidate.
func cause(in Input, d domainTimes, index int) Cause {
	switch {
	case !in.Candidates[index].OtherDomain:
		return Stays
	case in.Repeated != Stays:
		return in.Repeated
	case ownDomainFails(in, d):
		return Failing
	case d.excess > in.Tolerance:
		return Slower
	case d.excess >= -in.Tolerance:
		return Equal
	}
	return Declining
}
