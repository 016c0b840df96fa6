package board

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a holder of a contact key that was paused past the end of its
// lease and acts as if it still had it.
func TestHoldsContactEndsWithTheLease(t *testing.T) {
	end := time.Unix(1_700_000_000, 0)
	n := &Neighbours{Contact: Contact{Key: "contacts/r/0", Token: 1, Until: end}}
	require.True(t, n.HoldsContact(end.Add(-1)))
	require.False(t, n.HoldsContact(end))
	require.False(t, (&Neighbours{}).HoldsContact(end))
}
