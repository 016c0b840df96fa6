package board

import (
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/decide/locality"
	"mangostand.example/mangostand/pkg/lazymap"
)

// DomainLatencies holds the shortest round trips to nodes of each failure domain, as
// exchanges and forwarded calls measure them.
type DomainLatencies struct {
	byDomain lazymap.Map[string, atomic.Pointer[locality.ShortestRoundTrip]]
}

// Add adds a round trip to a node of a failure domain.
func (d *DomainLatencies) Add(domain string, roundTrip time.Duration, now time.Time) {
	tracker := d.byDomain.Get(domain)
	for {
		old := tracker.Load()
		var next locality.ShortestRoundTrip
		if old != nil {
			next = *old
		}
		if !next.Changes(roundTrip, now) {
			return
		}
		next = next.Add(roundTrip, now)
		if tracker.CompareAndSwap(old, &next) {
			return
		}
	}
}

// roundTrip returns the shortest round trip to a failure domain, 0 when there is none.
func (d *DomainLatencies) roundTrip(domain string) time.Duration {
	tracker := d.byDomain.Find(domain)
	if tracker == nil {
		return 0
	}
	if shortest := tracker.Load(); shortest != nil {
		return shortest.Value()
	}
	return 0
}

// Latency returns the latency to assume for a call from one failure domain to another,
// see locality.Latency.
func (d *DomainLatencies) Latency(from, to string) time.Duration {
	return locality.Latency(d.roundTrip(to), d.roundTrip(from))
}

// LeavingShares holds the share of the calls that leave the failure domain for each
// rule and service.
type LeavingShares struct {
	byDestination lazymap.Map[leavingKey, LeavingShare]
}

type leavingKey struct{ rule, service string }

// LeavingShare is the share of the calls of one rule to one service that leave the
// failure domain.
type LeavingShare struct {
	state atomic.Pointer[locality.State]
}

// For returns the share of a rule and a service and creates it when needed.
func (s *LeavingShares) For(rule, service string) *LeavingShare {
	return s.byDestination.Get(leavingKey{rule, service})
}

// Load returns the state after the latest call, nil before the first one.
func (s *LeavingShare) Load() *locality.State { return s.state.Load() }

// Replace stores the state that follows from an earlier result of Load. It is not stored
// if another call has stored one since: both moved the share by the same time.
func (s *LeavingShare) Replace(previous *locality.State, next locality.State) {
	s.state.CompareAndSwap(previous, &next)
}
