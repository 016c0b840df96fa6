// Package evacuation decides which failure domains are evacuated, from reads of the
// platform's store and from what other nodes pass on. All functions are pure.
//
// It answers operators who take a failure domain out of service while the store may
// fail, lose its latest writes and come back from an older copy.
package evacuation

import (
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// SettleTime is how long the store must have been reachable and of one era before a
	// read, so that a key that is missing in it counts as removed. Operators write
	// their keys again within that time after the store came back from an older copy.
	SettleTime = 2 * time.Second
	// maxDomains bounds the domains of a state, which travels in the headers of calls
	// between nodes.
	maxDomains = 32
)

// Stability is what a node has observed of the store.
type Stability struct {
	// Era is the era of the newest response, and EraSince when the node first saw it.
	// EraSince is zero if Era is 0 and the node never saw another one.
	Era      uint64
	EraSince time.Time
	// AnsweredSince is the time of the first request that was answered since the last
	// failed one, zero if the newest request failed.
	AnsweredSince time.Time
}

// AfterResponse returns the stability after the response to a request that was sent at
// a time. The first era above 0 that a node sees counts as new, because the node may
// have started after the store came back from an older copy.
func (s Stability) AfterResponse(era uint64, sentAt time.Time) Stability {
	if s.AnsweredSince.IsZero() {
		s.AnsweredSince = sentAt
	}
	if era != s.Era {
		s.Era, s.EraSince = era, sentAt
	}
	return s
}

// AfterFailure returns the stability after a request that was not answered.
func (s Stability) AfterFailure() Stability {
	s.AnsweredSince = time.Time{}
	return s
}

// EraSettled reports whether the era was the same for SettleTime before a request.
func (s Stability) EraSettled(sentAt time.Time) bool { return sentAt.Sub(s.EraSince) >= SettleTime }

// Settled reports whether a key that is missing in the response to a request that was
// sent at a time counts as removed. reachableSince is when another controller of the
// node last found the store reachable after a failure.
func (s Stability) Settled(sentAt, reachableSince time.Time) bool {
	return !s.AnsweredSince.IsZero() && sentAt.Sub(s.AnsweredSince) >= SettleTime &&
		sentAt.Sub(reachableSince) >= SettleTime && s.EraSettled(sentAt)
}

// Merge returns the state that follows from two states. The one with the higher era and
// revision applies. If it is not settled, it does not prove that the domains of the
// other one are no longer evacuated, so these are kept until a settled state arrives.
// The result is one of the arguments if that one contains the other.
func Merge(a, b *board.Evacuation) *board.Evacuation {
	later, earlier := a, b
	if b.Compare(a) > 0 {
		later, earlier = b, a
	}
	if later.Settled && later.Compare(earlier) > 0 {
		return later
	}
	return withDomains(later, earlier.Domains)
}

// withDomains returns a state that includes further domains.
func withDomains(state *board.Evacuation, domains []string) *board.Evacuation {
	missing := slices.DeleteFunc(slices.Clone(domains), state.Includes)
	if len(missing) == 0 {
		return state
	}
	next := *state
	next.Domains = append(slices.Clone(state.Domains), missing...)
	slices.Sort(next.Domains)
	return &next
}

// Apply returns the state that follows from a state and a read of the store. It returns
// the current state itself if the read says nothing new, so that reads of an unchanged
// store publish nothing.
func Apply(current, read *board.Evacuation) *board.Evacuation {
	if read.Era == current.Era && slices.Equal(read.Domains, current.Domains) {
		neverUsed := current.Era == 0 && current.Revision == 0 && len(read.Domains) == 0
		if neverUsed || current.Settled || !read.Settled {
			return current
		}
	}
	return Merge(current, read)
}

// Differs reports whether the change from one state to the next concerns other nodes
// so much that it is passed on at once. The first era that a node learns is not, since
// the other nodes learn it in the same way.
func Differs(previous, next *board.Evacuation) bool {
	return !slices.Equal(previous.Domains, next.Domains) || previous.Era > 0 && next.Era != previous.Era
}

// Bound returns at most 32 domains, those of existing nodes first, and the number of
// the others. The order is kept.
func Bound(domains []string, exists func(domain string) bool) (kept []string, dropped int) {
	if len(domains) <= maxDomains {
		return domains, 0
	}
	existing := 0
	for _, domain := range domains {
		if exists(domain) {
			existing++
		}
	}
	others := max(0, maxDomains-existing)
	for _, domain := range domains {
		switch {
		case len(kept) == maxDomains:
		case exists(domain):
			kept = append(kept, domain)
		case others > 0:
			others--
			kept = append(kept, domain)
		}
	}
	return kept, len(domains) - len(kept)
}

// AcceptsBeforeConfiguration reports whether an executor that has no configuration
// yet may run a call of another node. A node learns the evacuated domains in the same
// message or read as the configuration. Before that it relies on the entry, which must
// have confirmed what it knows within half of the evacuation time. A node that cannot
// reach the store is not bound to that time. A time of 0 means that there is no limit.
func AcceptsBeforeConfiguration(entryConfirmedAge, evacuationTime time.Duration, storeUnreachable bool) bool {
	return evacuationTime == 0 || storeUnreachable || entryConfirmedAge <= evacuationTime/2
}

// KnownDomains returns the failure domains of a fleet and of the node itself.
func KnownDomains(self string, view *board.Fleet) map[string]bool {
	known := map[string]bool{self: true}
	for _, endpoint := range view.ByInstance {
		known[endpoint.Record.FailureDomain] = true
	}
	return known
}
