// Package idle decides how long a caller's connection may stay idle while the
// configured timeout changes, and which idle connections are closed when too many
// are open. All functions are pure.
package idle

import (
	"cmp"
	"slices"
	"time"
)

// Timeouts is the history of the idle timeout, as far back as it matters to a
// connection that is idle now. It is immutable; the zero value has no timeout.
type Timeouts struct {
	// periods are in order of time. The last one is in force.
	periods []period
}

// period is a span of time in which one timeout was in force.
type period struct {
	timeout time.Duration
	// endedAt is the zero time for the period that is in force.
	endedAt time.Time
}

// maxPeriods bounds the history. Beyond it, the earliest periods are merged.
const maxPeriods = 32

// With returns the history after a timeout has come into force.
func (t Timeouts) With(timeout time.Duration, now time.Time) Timeouts {
	last := len(t.periods) - 1
	if last >= 0 && t.periods[last].timeout == timeout {
		return t
	}
	next := make([]period, 0, len(t.periods)+1)
	for i, p := range t.periods {
		if i == last {
			p.endedAt = now
		}
		// A connection that became idle in the period is closed by endedAt + timeout.
		if now.Sub(p.endedAt) < p.timeout {
			next = append(next, p)
		}
	}
	if len(next) >= maxPeriods {
		next[1].timeout = max(next[0].timeout, next[1].timeout)
		next = next[1:]
	}
	return Timeouts{periods: append(next, period{timeout: timeout})}
}

// LongestSince returns the longest timeout that was in force at some moment from
// since on. This is how long a connection that has been idle since then may stay
// open: its caller may rely on the timeout of the time at which the connection
// became idle, and on any later one.
func (t Timeouts) LongestSince(since time.Time) time.Duration {
	var longest time.Duration
	for _, p := range t.periods {
		if p.endedAt.IsZero() || p.endedAt.After(since) {
			longest = max(longest, p.timeout)
		}
	}
	return longest
}

// Conn is an open connection.
type Conn struct {
	// Since is when the connection became idle.
	Since time.Time
	// Busy is true while a request is unanswered.
	Busy bool
}

// evictionShare is the share of the limit that Evict closes at once beyond the
// excess, so that it does not run for each new connection.
const evictionShare = 16

// Evict returns the indices of the connections to close when more than limit are
// open: those that have been idle for longest. Busy ones stay open, also if more
// than limit are left.
func Evict(conns []Conn, limit int) []int {
	if len(conns) <= limit {
		return nil
	}
	candidates := make([]int, 0, len(conns))
	for i, c := range conns {
		if !c.Busy {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int { return cmp.Compare(conns[a].Since.UnixNano(), conns[b].Since.UnixNano()) })
	count := len(conns) - limit + limit/evictionShare
	return candidates[:min(count, len(candidates))]
}
