package lease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/decide/fencing"
	"mangostand.example/mangostand/pkg/lease"
	"mangostand.example/mangostand/pkg/standin/store"
	"mangostand.example/mangostand/platform"
)

// Guards against a holder that acts on a lease that lapsed while the holder
// was paused, and against a receiver that lets it.
func TestPausedLeaseHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaseStore := store.New(time.Now)
		client := platform.NewClient("http://store", platform.WithTransport(leaseStore.Transport()))
		ctx, cancel := context.WithCancel(t.Context())
		const ttl = 3 * time.Second
		renewer := lease.NewRenewer(client, ttl, zerolog.Nop())
		go renewer.Run(ctx)
		synctest.Wait()
		first, valid := renewer.Current()
		require.True(t, valid)
		time.Sleep(10*ttl + ttl/10)
		renewed, valid := renewer.Current()
		require.True(t, valid)
		require.Equal(t, first, renewed)

		// The store does not answer: the holder trusts its lease until a tenth
		// of the ttl before the store ends it, counted from the last renewal
		// at 10 ttl.
		leaseStore.SetFaults(store.Faults{Silent: true})
		time.Sleep(ttl - 2*ttl/10 - time.Millisecond)
		_, valid = renewer.Current()
		require.True(t, valid)
		time.Sleep(time.Millisecond)
		_, valid = renewer.Current()
		require.False(t, valid)

		// Another holder gets a lease with a higher token; a receiver that has
		// seen it refuses the late message of the first.
		time.Sleep(ttl)
		leaseStore.SetFaults(store.Faults{})
		second, err := client.GrantLease(ctx, ttl)
		require.NoError(t, err)
		highest, ok := fencing.Check(first.Token, second.Token)
		require.True(t, ok)
		_, ok = fencing.Check(highest, first.Token)
		require.False(t, ok)

		// The first holder notices that its lease is gone and gets a new token.
		time.Sleep(ttl)
		third, valid := renewer.Current()
		require.True(t, valid)
		require.Greater(t, third.Token, second.Token)
		cancel()
		synctest.Wait()
	})
}
