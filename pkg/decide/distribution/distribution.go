// Package distribution decides how a new version of the configuration spreads among
// the nodes: from which node a node pulls it, and how many pulls a node serves at a
// time. All functions are pure.
package distribution

import (
	"cmp"
	"slices"
	"time"
)

const (
	// transferTarget is the time that the pulls which a node serves at a time may take
	// together on its link. A node that has to wait longer is better served by one
	// that has the version meanwhile.
	transferTarget = 150 * time.Millisecond
	// maxServed bounds the pulls of a node whose link is fast or whose document is
	// small, and assumedServed is the bound when the rate of the link is not known.
	maxServed     = 16
	assumedServed = 4
)

// MaxServed returns how many pulls of a response of the given size a node serves at a
// time. The rate of its link is in bytes per second, 0 when it is not known.
func MaxServed(linkRate float64, responseBytes int) int {
	if linkRate <= 0 {
		return assumedServed
	}
	fitting := linkRate * transferTarget.Seconds() / float64(max(1, responseBytes))
	return int(min(maxServed, max(1, fitting)))
}

const (
	// secondPullDelay is the time without progress of a pull after which a second one
	// starts from another node, since the first node may be frozen or cut off.
	secondPullDelay = 250 * time.Millisecond
	// maxPulls is the number of pulls of a node at a time.
	maxPulls = 2
	// busyDelay is the time after which a node that was busy is tried again.
	busyDelay = 60 * time.Millisecond
	// failureDelay is the time after which a node that failed is tried again. It is
	// doubled with each further failure, up to maxFailureDelay.
	failureDelay    = 500 * time.Millisecond
	maxFailureDelay = time.Second
	// pullTime is the time limit of a pull besides the transfer, and minPullRate the
	// share of a slow link that a transfer gets, in bytes per second.
	pullTime    = 800 * time.Millisecond
	minPullRate = 200_000
)

// CrossDomainDelay is the longest time for which a node waits before it pulls a version
// from another failure domain. Each node waits a random part of it, so that a few nodes
// fetch the version into a domain and the others get it there.
const CrossDomainDelay = 200 * time.Millisecond

// PullTimeout returns the time limit of a pull, from the size of the document that the
// node has, which says how large the next one may be.
func PullTimeout(documentBytes int) time.Duration {
	return pullTime + time.Duration(float64(documentBytes)/minPullRate*float64(time.Second))
}

// Source is a node that has announced a version.
type Source struct {
	Addr string
	// Version is the newest version that it has announced.
	Version uint64
	// SameDomain is true if it is in the failure domain of this node.
	SameDomain bool
	// AnnouncedAt is when it first announced a version that this node did not have.
	AnnouncedAt time.Time
	// Failures is the number of failed pulls since then.
	Failures int
	// RetryAt is the earliest time of the next pull from it.
	RetryAt time.Time
	// PullingSince is when the pull that is in flight started, or the zero time.
	PullingSince time.Time
	// ProgressAt is when a part of the response was last received.
	ProgressAt time.Time
}

// AfterBusy returns the source after it has rejected a pull because it serves others.
func (s Source) AfterBusy(now time.Time) Source {
	s.RetryAt, s.PullingSince = now.Add(busyDelay), time.Time{}
	return s
}

// AfterFailure returns the source after a pull that failed.
func (s Source) AfterFailure(now time.Time) Source {
	s.RetryAt, s.PullingSince = now.Add(min(maxFailureDelay, failureDelay<<min(s.Failures, 10))), time.Time{}
	s.Failures++
	return s
}

// Next returns the source to pull from now, or "" and the time at which to decide
// again, the zero time if nothing is to be done before the next announcement. The
// version is the one in force, and crossDelay this node's part of CrossDomainDelay.
// Among the sources that can be tried, those that have not failed go first, then those
// with the newest version, then those of the own failure domain, and then the order of
// the sources decides, which should be random.
func Next(sources []Source, version uint64, crossDelay time.Duration, now time.Time) (addr string, again time.Time) {
	pulls, progressAt := 0, time.Time{}
	for _, s := range sources {
		if !s.PullingSince.IsZero() {
			pulls++
			progressAt = latest(progressAt, latest(s.PullingSince, s.ProgressAt))
		}
	}
	if pulls >= maxPulls {
		return "", time.Time{}
	}
	notBefore := now
	if pulls > 0 {
		notBefore = latest(now, progressAt.Add(secondPullDelay))
	}
	var ready []Source
	for _, s := range sources {
		if s.Version <= version || !s.PullingSince.IsZero() {
			continue
		}
		at := latest(notBefore, s.RetryAt)
		if !s.SameDomain {
			at = latest(at, s.AnnouncedAt.Add(crossDelay))
		}
		if !at.After(now) {
			ready = append(ready, s)
		} else if again.IsZero() || at.Before(again) {
			again = at
		}
	}
	if len(ready) == 0 {
		return "", again
	}
	slices.SortStableFunc(ready, func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Failures, b.Failures), cmp.Compare(b.Version, a.Version), compareBool(b.SameDomain, a.SameDomain))
	})
	return ready[0].Addr, time.Time{}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
