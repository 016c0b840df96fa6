package board

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a node that was paused beyond the end of its contact lease and
// continues to act as its holder.
func TestHoldsContactLeaseUntilExpiry(t *testing.T) {
	end := time.Unix(1_700_000_000, 0)
	n := &Neighbours{ContactLease: ContactLease{Key: "contacts/r/0", Token: 1, ExpiresAt: end}}
	require.True(t, n.HoldsContactLease(end.Add(-1)))
	require.False(t, n.HoldsContactLease(end))
	require.False(t, (&Neighbours{}).HoldsContactLease(end))
}
