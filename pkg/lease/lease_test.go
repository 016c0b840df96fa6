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
func TestPausedHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(time.Now)
		client := platform.NewClient("http://store", platform.WithTransport(s.Transport()))
		ctx, cancel := context.WithCancel(t.Context())
		const ttl = 3 * time.Second
		keeper := lease.NewKeeper(client, ttl, zerolog.Nop())
		go keeper.Run(ctx)
		synctest.Wait()
		first, trusted := keeper.Held()
		require.True(t, trusted)
		time.Sleep(10*ttl + ttl/10)
		renewed, trusted := keeper.Held()
		require.True(t, trusted)
		require.Equal(t, first, renewed)

		// The store does not answer: the holder trusts its lease until a tenth
		// of the ttl before the store ends it, counted from the last renewal
		// at 10 ttl.
		s.SetFaults(store.Faults{Unresponsive: true})
		time.Sleep(ttl - 2*ttl/10 - time.Millisecond)
		_, trusted = keeper.Held()
		require.True(t, trusted)
		time.Sleep(time.Millisecond)
		_, trusted = keeper.Held()
		require.False(t, trusted)

		// Another holder gets a lease with a higher token; a receiver that has
		// seen it refuses the late message of the first.
		time.Sleep(ttl)
		s.SetFaults(store.Faults{})
		second, err := client.GrantLease(ctx, ttl)
		require.NoError(t, err)
		highest, ok := fencing.Check(first.Token, second.Token)
		require.True(t, ok)
		_, ok = fencing.Check(highest, first.Token)
		require.False(t, ok)

		// The first holder notices that its lease is gone and gets a new token.
		time.Sleep(ttl)
		third, trusted := keeper.Held()
		require.True(t, trusted)
		require.Greater(t, third.Token, second.Token)
		cancel()
		synctest.Wait()
	})
}
