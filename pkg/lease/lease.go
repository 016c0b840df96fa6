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
	// trustMargin is the divisor of the ttl by which a lease is given up
	// early, since the clocks of the store and of the node run at slightly
	// different rates.
	trustMargin = 10
	// revokeTimeout bounds the revocation when the keeper stops.
	revokeTimeout = time.Second
)

// Keeper holds a lease and renews it. It says whether the lease can still be
// trusted from local monotonic time alone, so that a holder that was paused
// notices on its own that the lease has lapsed. Any goroutine may ask it; Run
// is called once.
type Keeper struct {
	client  *platform.Client
	ttl     time.Duration
	log     zerolog.Logger
	held    atomic.Pointer[heldLease]
	changed chan struct{}
}

type heldLease struct {
	lease platform.Lease
	// trustedUntil is counted from before the call that granted or renewed the
	// lease was sent, since the store counts from when it took the call.
	trustedUntil time.Time
}

// NewKeeper returns a keeper of a lease with a ttl, which should be several
// times the store's time to answer.
func NewKeeper(client *platform.Client, ttl time.Duration, log zerolog.Logger) *Keeper {
	return &Keeper{client: client, ttl: ttl, log: log, changed: make(chan struct{}, 1)}
}

// Held returns the lease and whether it can be trusted now. A holder asks
// immediately before it acts and sends the token along, since the lease may
// lapse after the answer.
func (k *Keeper) Held() (platform.Lease, bool) {
	held := k.held.Load()
	if held == nil || !time.Now().Before(held.trustedUntil) {
		return platform.Lease{}, false
	}
	return held.lease, true
}

// Changed receives a notification after another lease was granted or the lease
// was lost. Notifications coalesce.
func (k *Keeper) Changed() <-chan struct{} { return k.changed }

// Run keeps a lease until ctx ends and revokes it then.
func (k *Keeper) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			k.revoke()
			return
		case <-timer.C:
		}
		k.step(ctx)
		timer.Reset(k.ttl / renewalsPerTTL)
	}
}

// step renews the lease, or asks for one when there is none.
func (k *Keeper) step(ctx context.Context) {
	sent := time.Now()
	held := k.held.Load()
	if held == nil {
		k.grant(ctx, sent)
		return
	}
	err := k.client.RenewLease(ctx, held.lease.ID)
	switch {
	case err == nil:
		k.held.Store(&heldLease{lease: held.lease, trustedUntil: k.trustedUntil(sent)})
	case errors.Is(err, platform.ErrNotFound):
		k.log.Warn().Str("lease", held.lease.ID).Msg("lease has lapsed")
		k.held.Store(nil)
		k.notify()
		k.grant(ctx, time.Now())
	default:
		// The lease stays trusted until its time is up.
		k.log.Debug().Err(err).Str("lease", held.lease.ID).Msg("lease not renewed")
	}
}

func (k *Keeper) grant(ctx context.Context, sent time.Time) {
	lease, err := k.client.GrantLease(ctx, k.ttl)
	if err != nil {
		k.log.Debug().Err(err).Msg("no lease granted")
		return
	}
	k.held.Store(&heldLease{lease: lease, trustedUntil: k.trustedUntil(sent)})
	k.notify()
}

func (k *Keeper) trustedUntil(sent time.Time) time.Time {
	return sent.Add(k.ttl - k.ttl/trustMargin)
}

func (k *Keeper) notify() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

func (k *Keeper) revoke() {
	held := k.held.Swap(nil)
	if held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := k.client.RevokeLease(ctx, held.lease.ID); err != nil {
		k.log.Debug().Err(err).Str("lease", held.lease.ID).Msg("lease not revoked, it will lapse")
	}
}
