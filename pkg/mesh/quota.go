package mesh

import (
	"context"
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/bootclock"
	"mangostand.example/mangostand/pkg/decide/customer"
	"mangostand.example/mangostand/pkg/decide/quota"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/h1"
)

// newCustomerRetryAfter is the Retry-After while a new quota is not in force at this
// node, which takes a few milliseconds.
const newCustomerRetryAfter = 50 * time.Millisecond

// admitByQuota counts a request against the quota of its customer. It returns the
// response if the request is refused.
func (e *Entry) admitByQuota(ctx context.Context, c *Call, holder *dynconf.Customer) *h1.Response {
	if holder == nil || !holder.Quota.Limited() {
		return nil
	}
	counter := e.Board.Quotas.Load().ByCustomer[holder.Name]
	if counter == nil {
		return e.refuseCustomer(c.ConfigVersion, c.Customer, c.ID, http.StatusTooManyRequests, board.ReasonQuotaExceeded, newCustomerRetryAfter)
	}
	now := bootclock.Now()
	if counter.Take(now) {
		c.quota = counter
		return nil
	}
	granted, admitted := waitForQuota(ctx, counter, now)
	switch {
	case granted:
		c.quota = counter
	case !admitted:
		counter.CountRefused()
		retryAfter := quota.RetryAfterDenial(counter.Denial().RetryAt, bootclock.Now())
		return e.refuseCustomer(c.ConfigVersion, c.Customer, c.ID, http.StatusTooManyRequests, board.ReasonQuotaExceeded, retryAfter)
	}
	// The wait may exceed the time that the first check of the key left.
	if e.confirmation(c.ConfigVersion).Expired() {
		giveBackQuota(c, NotSent)
		return e.refuseCredential(c.ConfigVersion, c.ID, customer.Decision{Result: customer.Unconfirmed, Customer: holder})
	}
	return nil
}

// waitForQuota waits until the request gets a grant or is admitted or refused without
// one.
func waitForQuota(ctx context.Context, counter *board.QuotaCounter, startedAt time.Duration) (granted, admitted bool) {
	waiting := false
	var timeout <-chan time.Time
	for now := startedAt; ; now = bootclock.Now() {
		// The channel is loaded before the check, so that no reply is missed.
		replied := counter.Group.Replied()
		if counter.Take(now) {
			break
		}
		decision := quota.DecideLocally(quota.Local{
			RefuseUntil: counter.Denial().RefuseUntil, FallbackFrom: counter.Group.FallbackFrom(),
			Silent: counter.Group.Silent(), Waited: now - startedAt,
		}, now)
		if decision != quota.Wait {
			if waiting {
				counter.StopWaiting()
			}
			return false, decision == quota.UseFallback && takeFallback(counter, now)
		}
		if !waiting {
			waiting = true
			counter.StartWaiting()
			timer := time.NewTimer(quota.MaxWait)
			defer timer.Stop()
			timeout = timer.C
		}
		counter.Group.Ask()
		select {
		case <-replied:
		case <-timeout:
		case <-ctx.Done():
			counter.StopWaiting()
			return false, false
		}
	}
	if waiting {
		counter.StopWaiting()
	}
	return true, true
}

// takeFallback admits a request of a node that no lender serves.
func takeFallback(counter *board.QuotaCounter, now time.Duration) bool {
	limit := counter.Fallback.Load()
	if limit == nil {
		return false
	}
	f := quota.Fallback{Interval: limit.Interval, Lifetime: limit.Lifetime}
	return counter.TakeFallback(func(availableAt time.Duration) (time.Duration, bool) {
		return f.Next(max(availableAt, limit.Phase), counter.Group.FallbackFrom(), now)
	})
}

// giveBackQuota returns the admission of a call that has provably not run.
func giveBackQuota(c *Call, outcome Outcome) {
	if c.quota != nil && (outcome == NotSent || outcome == Rejected) {
		c.quota.GiveBack()
	}
}
