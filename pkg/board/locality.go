package board

import (
	"sync"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/decide/locality"
)

// DomainLatencies holds the shortest round trips to nodes of each failure domain, as
// exchanges and forwarded calls measure them.
type DomainLatencies struct {
	byDomain sync.Map // of string to *atomic.Pointer[locality.ShortestRoundTrip]
}

// Add adds a round trip to a node of a failure domain.
func (d *DomainLatencies) Add(domain string, roundTrip time.Duration, now time.Time) {
	stored, ok := d.byDomain.Load(domain)
	if !ok {
		stored, _ = d.byDomain.LoadOrStore(domain, &atomic.Pointer[locality.ShortestRoundTrip]{})
	}
	tracker := stored.(*atomic.Pointer[locality.ShortestRoundTrip])
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
	if stored, ok := d.byDomain.Load(domain); ok {
		if tracker := stored.(*atomic.Pointer[locality.ShortestRoundTrip]).Load(); tracker != nil {
			return tracker.Value()
		}
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
type LeavingShares struct{ byDestination sync.Map } // of leavingKey to *LeavingShare

type leavingKey struct{ rule, service string }

// LeavingShare is the share of the calls of one rule to one service that leave the
// failure domain.
type LeavingShare struct {
	state atomic.Pointer[locality.State]
}

// For returns the share of a rule and a service and creates it when needed.
func (s *LeavingShares) For(rule, service string) *LeavingShare {
	key := leavingKey{rule, service}
	if stored, ok := s.byDestination.Load(key); ok {
		return stored.(*LeavingShare)
	}
	stored, _ := s.byDestination.LoadOrStore(key, &LeavingShare{})
	return stored.(*LeavingShare)
}

// Load returns the state after the latest call and a function that stores the next
// one. A state is not stored if another call has stored one since: both moved the
// share by the same time.
func (s *LeavingShare) Load() (locality.State, func(locality.State)) {
	old := s.state.Load()
	store := func(next locality.State) { s.state.CompareAndSwap(old, &next) }
	if old == nil {
		return locality.State{}, store
	}
	return *old, store
}
