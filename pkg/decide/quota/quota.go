// Package quota decides how the nodes of a fleet share the request quotas of
// customers. All functions are pure; the time is an argument, on the clock of package
// bootclock.
//
// It answers the load of customers that suddenly send several times their quota
// through all nodes. A lender keeps the account of a customer and grants single
// requests to the other nodes in advance. Each node adds its equal part of the
// quota to the lender that it reports to, so that two lenders never lend more than
// the quota together.
package quota

import (
	"math"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/hashing"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Groups is the number of groups of customers. Each group has a lender, to which each
// node reports.
const Groups = 2

// ReportInterval returns the longest time between two reports of a node to a lender.
// The reports of a large fleet are most of the control traffic, of which a node has
// 1 KB/s.
func ReportInterval(fleetSize int) time.Duration {
	if fleetSize > maxFrequentFleet {
		return 3 * time.Second / 2
	}
	return 750 * time.Millisecond
}

const maxFrequentFleet = 100

// Validity returns how long grants and the part of a node stay with a lender without a
// further report. A report carries the time of the previous reply, so that one lost
// report leaves the part with the lender.
func Validity(fleetSize int) time.Duration { return 5 * ReportInterval(fleetSize) / 2 }

const (
	// maxValidity is the Validity of the largest fleet.
	maxValidity = 3750 * time.Millisecond
	// FleetSizeMemory is how long the largest known size of the fleet determines the
	// part of a node, without strict revocation of API keys.
	FleetSizeMemory = time.Minute
	// revocationMargin is the time between the refusals of a node without contact to the
	// store and the use of its part by others.
	revocationMargin = time.Second
)

// Group returns the group of a customer.
func Group(customer string) int { return hashing.Bucket(customer, Groups) }

// ChooseLender returns the lender of a group by rendezvous hashing, "" without candidates.
func ChooseLender(group int, candidates []board.InstanceID) board.InstanceID {
	var best board.InstanceID
	bestWeight := uint64(0)
	for _, id := range candidates {
		weight := hashing.Mix(hashing.String(string(id)) + uint64(group+1)*0x9e3779b97f4a7c15)
		if best == "" || weight > bestWeight || weight == bestWeight && id < best {
			best, bestWeight = id, weight
		}
	}
	return best
}

// Limits says how exact the quotas are: in each window at most 1 plus Overshoot times
// the quota, plus Slack requests.
type Limits struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
	// RevocationTime is the time after which a node without contact to the store refuses
	// all requests with API keys, 0 if it does not.
	RevocationTime time.Duration
}

// FleetSizeMemory returns for how long a lost node may use its part of the quotas.
func (l Limits) FleetSizeMemory() time.Duration {
	if l.RevocationTime <= 0 {
		return FleetSizeMemory
	}
	return min(FleetSizeMemory, l.RevocationTime+revocationMargin)
}

// usableTolerance is the part of the tolerance that is used. The rest covers the
// starting credit, parts that are lent twice after a change of the membership, and the time
// between the admission of a request and its execution.
const usableTolerance = 0.6

// Capacity returns how many requests of a customer may run at once over all nodes: the
// burst and the usable part of the tolerance. Requests granted to nodes in advance
// count in it.
func (l Limits) Capacity(q dynconf.RequestQuota) float64 {
	return q.Burst + usableTolerance*(l.Overshoot*(q.Rate*l.Window.Seconds()+q.Burst)+l.Slack)
}

// SustainedRate returns how many requests per second a customer may send in the long
// run: in each window the rate times the window and the burst.
func (l Limits) SustainedRate(q dynconf.RequestQuota) float64 {
	return q.Rate + q.Burst/l.Window.Seconds()
}

// WindowLimit returns how many requests of a customer are admitted in any window.
func (l Limits) WindowLimit(q dynconf.RequestQuota) float64 {
	return q.Rate*l.Window.Seconds() + l.Capacity(q)
}

// startCredit is the part of the tolerance that the accounts of a fleet that has just
// started hold, whatever its earlier processes admitted.
const startCredit = 0.2

// StartCredit returns how many requests of a customer may run at once over all nodes when
// these have just started.
func (l Limits) StartCredit(q dynconf.RequestQuota) float64 {
	return startCredit * (l.Overshoot*(q.Rate*l.Window.Seconds()+q.Burst) + l.Slack)
}

// holdTime is the time of its demand for which a node holds grants in advance. It
// exceeds the usual interval of reports, so that a steady demand seldom waits for a reply.
const holdTime = 1200 * time.Millisecond

// Hold returns how many grants a node with a demand in requests per second holds.
func Hold(demand float64) int64 {
	if demand < minHoldDemand {
		return 0
	}
	return max(1, int64(demand*holdTime.Seconds()))
}

// minHoldDemand is the least demand in requests per second for which a node holds a
// grant. Below it the grants of a small quota would lie unused at many nodes.
const minHoldDemand = 0.25

// Surplus returns how many of its grants a node gives back.
func Surplus(balance int64, demand float64) int64 { return max(0, balance-2*Hold(demand)) }

// LowWater returns the number of grants left at which a node asks for more.
func LowWater(demand float64) int64 { return Hold(demand) / 3 }

// demandTime is the time over which the demand is averaged. A single request does not
// raise the demand so much that the node holds a grant in advance.
const demandTime = 2 * time.Second

// UpdateDemand returns the average demand in requests per second after a number of
// requests within an interval.
func UpdateDemand(demand float64, requests int64, interval time.Duration) float64 {
	if interval <= 0 {
		return demand + float64(requests)/demandTime.Seconds()
	}
	decay := math.Exp(-interval.Seconds() / demandTime.Seconds())
	next := demand*decay + float64(requests)/interval.Seconds()*(1-decay)
	if next < minDemand {
		return 0
	}
	return next
}

// minDemand is the demand below which a customer counts as absent at a node.
const minDemand = 0.1

// DemandChanged reports whether a node has to tell the lender of a changed demand.
func DemandChanged(reported, demand float64) bool {
	return demand > 2*reported || 2*demand < reported
}

// maxRetryAfter bounds the Retry-After of a request over the quota.
const maxRetryAfter = 2 * time.Second

// RetryAfter returns when a refused caller may return: when the account of the customer
// holds a request again, and later at random the more the demand exceeds the rate. The
// spread is a random number from 0 to 1.
func RetryAfter(available, rate, demand, spread float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := max(0, 1-available)/rate + spread*max(0, demand/rate-1)
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(wait*float64(time.Second))))
}

const minRetryAfter = 20 * time.Millisecond

// Backoff returns how long a node whose request was denied refuses further requests of
// the customer before it asks the lender again. If the demand is within the rate, that
// is until the account holds a request again. Otherwise the node asks about twice per
// request that is its share of the rate, and before the account overflows.
func Backoff(available, rate, capacity, demand, nodeDemand float64) time.Duration {
	if rate <= 0 {
		return minBackoff
	}
	seconds := max(0, 1-available) / rate
	if demand > rate {
		seconds = capacity / (4 * rate)
		if nodeDemand > 0 {
			seconds = max(seconds, demand/nodeDemand/(2*rate))
		}
	}
	return time.Duration(min(maxBackoff.Seconds(), max(minBackoff.Seconds(), seconds)) * float64(time.Second))
}

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// FleetSizes remembers the largest size of the fleet within a time. Nodes that have left
// gracefully do not count.
type FleetSizes struct {
	memory  time.Duration
	samples []sizeSample
	// left is the number of nodes that have left, and members holds when each of the
	// others was last seen. The samples include the nodes that left before.
	left    int
	members map[board.InstanceID]time.Duration
}

type sizeSample struct {
	size int
	at   time.Duration
}

// NewFleetSizes returns a memory of a time.
func NewFleetSizes(memory time.Duration) *FleetSizes {
	return &FleetSizes{memory: memory, members: map[board.InstanceID]time.Duration{}}
}

// ObserveMembers takes over which nodes a new view of the fleet has, and which of them
// leave. It returns the number of those that stay, this node included, at least 1.
func (s *FleetSizes) ObserveMembers(fleet *board.Fleet, now time.Duration) int {
	size := fleet.Size
	for id, endpoint := range fleet.ByInstance {
		if !endpoint.Record.Leaving {
			s.members[id] = now
			continue
		}
		size--
		if _, ok := s.members[id]; ok {
			delete(s.members, id)
			s.left++
		}
	}
	for id, seenAt := range s.members {
		if now-seenAt > FleetSizeMemory {
			delete(s.members, id)
		}
	}
	return max(1, size)
}

// Observe adds a size and returns the largest one. Sizes must be observed in the order
// of time.
func (s *FleetSizes) Observe(size int, now time.Duration) int {
	sample := size + s.left
	for len(s.samples) > 0 && s.samples[len(s.samples)-1].size <= sample {
		s.samples = s.samples[:len(s.samples)-1]
	}
	s.samples = append(s.samples, sizeSample{sample, now})
	for now-s.samples[0].at > s.memory {
		s.samples = s.samples[1:]
	}
	return s.samples[0].size - s.left
}
