package board

import (
	"sync/atomic"
	"time"
)

// quotaRequestInboxSize exceeds the number of groups of customers, each of which posts
// at most one event at a time.
const quotaRequestInboxSize = 16

// Quotas is the state of the quotas at this node. It has an entry for each customer
// with a limit; the counters in it are atomics.
type Quotas struct {
	// ConfigVersion is the version of the configuration that set the limits.
	ConfigVersion uint64
	ByCustomer    map[string]*QuotaCounter
}

// QuotaCounter counts the requests of one customer at this node.
type QuotaCounter struct {
	Customer string
	Group    *QuotaGroup
	// Fallback is the limit without a lender, see quota.Fallback.
	Fallback atomic.Pointer[QuotaFallback]

	// balance is the number of requests that the node may still admit.
	balance atomic.Int64
	// lowWater is the balance at which the node asks for more.
	lowWater atomic.Int64
	waiting  atomic.Int64
	refused  atomic.Int64
	fallback atomic.Int64
	denial   atomic.Pointer[QuotaDenial]
	// fallbackAt is when the next request becomes available without a lender.
	fallbackAt atomic.Int64
}

// QuotaDenial is the answer of a lender that did not grant all requests.
type QuotaDenial struct {
	// RefuseUntil is until when the node refuses requests without asking again, RetryAt
	// when callers may return.
	RefuseUntil, RetryAt time.Duration
}

// QuotaFallback is the limit of a customer at a node that no lender serves.
type QuotaFallback struct {
	// Interval and Lifetime are those of quota.Fallback, Phase is its phase.
	Interval, Lifetime, Phase time.Duration
}

// QuotaGroup is the state of a group of customers with one lender. All times are those
// of package bootclock.
type QuotaGroup struct {
	// Number identifies the group.
	Number int
	// requests is the inbox of the board.
	requests *Inbox[int]
	// grantsUntil is when the grants expire, fallbackFrom when the fallback begins.
	grantsUntil  atomic.Int64
	fallbackFrom atomic.Int64
	silent       atomic.Bool
	// asked is set from the request for a report until the report is made.
	asked   atomic.Bool
	replied atomic.Pointer[chan struct{}]
}

// NewQuotaGroup returns a group whose requests for reports go to an inbox.
func NewQuotaGroup(number int, requests *Inbox[int]) *QuotaGroup {
	g := &QuotaGroup{Number: number, requests: requests}
	ch := make(chan struct{})
	g.replied.Store(&ch)
	return g
}

// Ask requests a report to the lender, unless one is requested already.
func (g *QuotaGroup) Ask() {
	if g.asked.CompareAndSwap(false, true) && !g.requests.Post(g.Number) {
		g.asked.Store(false)
	}
}

// ClearAsked is called before a report is made.
func (g *QuotaGroup) ClearAsked() { g.asked.Store(false) }

// Replied returns a channel that is closed with the next reply or failure.
func (g *QuotaGroup) Replied() <-chan struct{} { return *g.replied.Load() }

// NotifyReplied wakes the requests that wait for a reply.
func (g *QuotaGroup) NotifyReplied() {
	next := make(chan struct{})
	close(*g.replied.Swap(&next))
}

// SetTimes sets when the grants expire and when the fallback begins.
func (g *QuotaGroup) SetTimes(grantsUntil, fallbackFrom time.Duration) {
	g.grantsUntil.Store(int64(grantsUntil))
	g.fallbackFrom.Store(int64(fallbackFrom))
}

// FallbackFrom returns when the fallback begins.
func (g *QuotaGroup) FallbackFrom() time.Duration { return time.Duration(g.fallbackFrom.Load()) }

// GrantsUntil returns when the grants expire.
func (g *QuotaGroup) GrantsUntil() time.Duration { return time.Duration(g.grantsUntil.Load()) }

// SetSilent records whether the last report got no reply.
func (g *QuotaGroup) SetSilent(silent bool) { g.silent.Store(silent) }

// Silent reports whether the last report got no reply.
func (g *QuotaGroup) Silent() bool { return g.silent.Load() }

// Take admits a request if the node holds a grant. It asks for more when few are left.
func (c *QuotaCounter) Take(now time.Duration) bool {
	for {
		balance := c.balance.Load()
		if balance <= 0 || int64(now) >= c.Group.grantsUntil.Load() {
			return false
		}
		if c.balance.CompareAndSwap(balance, balance-1) {
			if balance-1 == c.lowWater.Load() && balance > 1 {
				c.Group.Ask()
			}
			return true
		}
	}
}

// GiveBack returns an admission whose request did not run.
func (c *QuotaCounter) GiveBack() { c.balance.Add(1) }

// AddGrants adds granted requests.
func (c *QuotaCounter) AddGrants(requests int64) { c.balance.Add(requests) }

// Remove takes back at most a number of unused grants and returns how many it took.
func (c *QuotaCounter) Remove(requests int64) int64 {
	for {
		balance := c.balance.Load()
		amount := min(requests, balance)
		if amount <= 0 {
			return 0
		}
		if c.balance.CompareAndSwap(balance, balance-amount) {
			return amount
		}
	}
}

// Balance returns the number of requests that the node may still admit.
func (c *QuotaCounter) Balance() int64 { return c.balance.Load() }

// SetLowWater sets the balance at which the node asks for more.
func (c *QuotaCounter) SetLowWater(balance int64) { c.lowWater.Store(balance) }

// StartWaiting and StopWaiting enclose the wait of a request for a grant.
func (c *QuotaCounter) StartWaiting() { c.waiting.Add(1) }

// StopWaiting ends what StartWaiting began.
func (c *QuotaCounter) StopWaiting() { c.waiting.Add(-1) }

// Waiting returns the number of requests that wait for a grant.
func (c *QuotaCounter) Waiting() int64 { return c.waiting.Load() }

// CountRefused counts a refused request.
func (c *QuotaCounter) CountRefused() { c.refused.Add(1) }

// TakeFallback admits a request of a node without a lender. Next decides when the next
// request becomes available, see quota.Fallback.
func (c *QuotaCounter) TakeFallback(next func(availableAt time.Duration) (time.Duration, bool)) bool {
	for {
		old := c.fallbackAt.Load()
		availableAt, admitted := next(time.Duration(old))
		if !admitted {
			return false
		}
		if c.fallbackAt.CompareAndSwap(old, int64(availableAt)) {
			c.fallback.Add(1)
			return true
		}
	}
}

// Refused and FallbackAdmitted return the counts since the start.
func (c *QuotaCounter) Refused() int64 { return c.refused.Load() }

// FallbackAdmitted returns the number of requests admitted without a lender.
func (c *QuotaCounter) FallbackAdmitted() int64 { return c.fallback.Load() }

// SetDenial sets the latest denial, nil if the last reply granted all requests.
func (c *QuotaCounter) SetDenial(d *QuotaDenial) { c.denial.Store(d) }

// Denial returns the latest denial; it is never nil.
func (c *QuotaCounter) Denial() QuotaDenial {
	if d := c.denial.Load(); d != nil {
		return *d
	}
	return QuotaDenial{}
}
