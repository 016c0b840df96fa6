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

// Guards against a holder that acts on a lease that has expired while the holder
// was paused, and against a receiver that accepts its messages.
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

		// The store does not respond. For the holder the lease expires a tenth of
		// the TTL before the store ends it. The last renewal was at 10 TTL.
		leaseStore.SetFaults(store.Faults{Unresponsive: true})
		time.Sleep(ttl - 2*ttl/10 - time.Millisecond)
		_, valid = renewer.Current()
		require.True(t, valid)
		time.Sleep(time.Millisecond)
		_, valid = renewer.Current()
		require.False(t, valid)

		// Another holder gets a lease with a higher token. A receiver that has
		// seen this token rejects the late message of the first holder.
		time.Sleep(ttl)
		leaseStore.SetFaults(store.Faults{})
		second, err := client.GrantLease(ctx, ttl)
		require.NoError(t, err)
		highest, ok := fencing.Check(first.Token, second.Token)
		require.True(t, ok)
		_, ok = fencing.Check(highest, first.Token)
		require.False(t, ok)

		// The first holder learns that its lease has expired and gets a new token.
		time.Sleep(ttl)
		third, valid := renewer.Current()
		require.True(t, valid)
		require.Greater(t, third.Token, second.Token)
		cancel()
		synctest.Wait()
	})
}
