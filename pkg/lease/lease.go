// Package lease holds a lease of the platform's store and renews it.
package lease

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/platform"
)

const (
	// renewalsPerTTL leaves two more attempts when one renewal fails.
	renewalsPerTTL = 3
	// expiryMarginDivisor is the divisor of the ttl by which a lease is given up
	// early, since the clocks of the store and of the node run at slightly
	// different rates.
	expiryMarginDivisor = 10
	// revokeTimeout bounds the revocation when the keeper stops.
	revokeTimeout = time.Second
)

// Renewer holds a lease and renews it. It says whether the lease can still be
// trusted from local monotonic time alone, so that a holder that was paused
// notices on its own that the lease has lapsed. Any goroutine may ask it; Run
// is called once.
type Renewer struct {
	client  *platform.Client
	ttl     time.Duration
	log     zerolog.Logger
	held    atomic.Pointer[heldLease]
	changed chan struct{}
}

type heldLease struct {
	lease platform.Lease
	// expiresAt is counted from before the call that granted or renewed the
	// lease was sent, since the store counts from when it took the call.
	expiresAt time.Time
}

// NewRenewer returns a keeper of a lease with a ttl, which should be several
// times the store's time to answer.
func NewRenewer(client *platform.Client, ttl time.Duration, log zerolog.Logger) *Renewer {
	return &Renewer{client: client, ttl: ttl, log: log, changed: make(chan struct{}, 1)}
}

// Current returns the lease and whether it can be trusted now. A holder asks
// immediately before it acts and sends the token along, since the lease may
// lapse after the answer.
func (r *Renewer) Current() (platform.Lease, bool) {
	held := r.held.Load()
	if held == nil || !time.Now().Before(held.expiresAt) {
		return platform.Lease{}, false
	}
	return held.lease, true
}

// Changed receives a notification after another lease was granted or the lease
// was lost. Notifications coalesce.
func (r *Renewer) Changed() <-chan struct{} { return r.changed }

// Run keeps a lease until ctx ends and revokes it then.
func (r *Renewer) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			r.revokeLease()
			return
		case <-timer.C:
		}
		r.renewOrGrant(ctx)
		timer.Reset(r.ttl / renewalsPerTTL)
	}
}

// renewOrGrant renews the lease, or asks for one when there is none.
func (r *Renewer) renewOrGrant(ctx context.Context) {
	requestedAt := time.Now()
	held := r.held.Load()
	if held == nil {
		r.grantLease(ctx, requestedAt)
		return
	}
	err := r.client.RenewLease(ctx, held.lease.ID)
	switch {
	case err == nil:
		r.held.Store(&heldLease{lease: held.lease, expiresAt: r.localExpiry(requestedAt)})
	case errors.Is(err, platform.ErrNotFound):
		r.log.Warn().Str("lease", held.lease.ID).Msg("lease has lapsed")
		r.held.Store(nil)
		r.notifyChanged()
		r.grantLease(ctx, time.Now())
	default:
		// The lease stays trusted until its time is up.
		r.log.Debug().Err(err).Str("lease", held.lease.ID).Msg("lease not renewed")
	}
}

func (r *Renewer) grantLease(ctx context.Context, requestedAt time.Time) {
	lease, err := r.client.GrantLease(ctx, r.ttl)
	if err != nil {
		r.log.Debug().Err(err).Msg("no lease granted")
		return
	}
	r.held.Store(&heldLease{lease: lease, expiresAt: r.localExpiry(requestedAt)})
	r.notifyChanged()
}

func (r *Renewer) localExpiry(requestedAt time.Time) time.Time {
	return requestedAt.Add(r.ttl - r.ttl/expiryMarginDivisor)
}

func (r *Renewer) notifyChanged() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *Renewer) revokeLease() {
	held := r.held.Swap(nil)
	if held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := r.client.RevokeLease(ctx, held.lease.ID); err != nil {
		r.log.Debug().Err(err).Str("lease", held.lease.ID).Msg("lease not revoked, it will lapse")
	}
}
