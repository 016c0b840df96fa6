// Package lease obtains a lease from the platform's store and keeps renewing it.
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
	// renewalsPerTTL sets the renewal interval to a third of the TTL. A failed
	// renewal is followed by two more attempts, the last at the end of the TTL.
	renewalsPerTTL = 3
	// expiryMarginDivisor sets the safety margin to a tenth of the TTL. The lease
	// is treated as expired that much early, because the clocks of the store and
	// of the node run at slightly different rates.
	expiryMarginDivisor = 10
	// revokeTimeout limits the revocation when Run ends.
	revokeTimeout = time.Second
)

// Renewer obtains a lease and renews it until Run ends. It decides from local
// monotonic time alone whether the lease is still valid, so that a holder that
// was paused notices without the store that the lease has expired. Current and
// Changed are safe for concurrent use; Run is called once.
type Renewer struct {
	client  *platform.Client
	ttl     time.Duration
	log     zerolog.Logger
	held    atomic.Pointer[heldLease]
	changed chan struct{}
}

type heldLease struct {
	lease platform.Lease
	// expiresAt is computed from the time before the request that granted or
	// renewed the lease was sent. The store starts the TTL later, when it
	// processes the request.
	expiresAt time.Time
}

// NewRenewer returns a Renewer of a lease with the given TTL, which should be
// several times the response time of the store.
func NewRenewer(client *platform.Client, ttl time.Duration, log zerolog.Logger) *Renewer {
	return &Renewer{client: client, ttl: ttl, log: log, changed: make(chan struct{}, 1)}
}

// Current returns the lease and whether it is valid now. A holder must call it
// immediately before each action under the lease and send the fencing token
// along, because the lease may expire after Current has returned.
func (r *Renewer) Current() (platform.Lease, bool) {
	held := r.held.Load()
	if held == nil || !time.Now().Before(held.expiresAt) {
		return platform.Lease{}, false
	}
	return held.lease, true
}

// Changed returns a channel that is notified after a new lease was granted or the
// store has reported the lease as expired. Notifications coalesce.
func (r *Renewer) Changed() <-chan struct{} { return r.changed }

// Run obtains and renews a lease until ctx ends, and then revokes it.
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

// renewOrGrant renews the lease, or requests a new one if there is none.
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
		r.log.Warn().Str("lease", held.lease.ID).Msg("lease expired")
		r.held.Store(nil)
		r.notifyChanged()
		r.grantLease(ctx, time.Now())
	default:
		// The lease stays valid until its local expiry.
		r.log.Debug().Err(err).Str("lease", held.lease.ID).Msg("lease renewal failed")
	}
}

func (r *Renewer) grantLease(ctx context.Context, requestedAt time.Time) {
	lease, err := r.client.GrantLease(ctx, r.ttl)
	if err != nil {
		r.log.Debug().Err(err).Msg("lease grant failed")
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
		r.log.Debug().Err(err).Str("lease", held.lease.ID).Msg("lease revocation failed, the lease ends with its TTL")
	}
}
