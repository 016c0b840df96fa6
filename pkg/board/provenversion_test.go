package board

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/bootclock"
	"mangostand.example/mangostand/pkg/dynconf"
)

// The age of a proof must never shrink on its way between nodes: a node that is cut off
// from the store and hears from another one that is cut off as well would otherwise
// accept withdrawn keys forever.
func TestProvenAgeNeverShrinks(t *testing.T) {
	newNode := func(version uint64) *MeshBoard {
		b := NewMeshBoard(NodeIdentity{})
		b.ConfigProven.Required = true
		b.Routes.Claim("test").Publish(&dynconf.RouteTable{Version: version})
		return b
	}
	a, b := newNode(3), newNode(3)
	start := bootclock.Now()
	a.ConfigProven.Prove(3, start-2*time.Second)
	for range 20 {
		sentAt := b.ConfigRequestSentAt()
		b.ReceiveConfigProof(a.ConfigAdvertisement(time.Now()), sentAt)
		sentAt = a.ConfigRequestSentAt()
		a.ReceiveConfigProof(b.ConfigAdvertisement(time.Now()), sentAt)
	}
	now := bootclock.Now()
	require.GreaterOrEqual(t, a.ConfigProven.Age(3, now), 2*time.Second)
	require.GreaterOrEqual(t, b.ConfigProven.Age(3, now), 2*time.Second)
	require.Less(t, b.ConfigProven.Age(3, now), 3*time.Second)

	// A proof of another version says nothing about the one in force.
	older := newNode(2)
	older.ReceiveConfigProof(a.ConfigAdvertisement(time.Now()), older.ConfigRequestSentAt())
	require.Equal(t, time.Hour, older.ConfigProven.Age(2, now))
	require.Less(t, a.ConfigProven.Age(4, now), 3*time.Second, "a version that has just arrived is newer than the proof")
	a.ConfigProven.Prove(4, now)
	require.Equal(t, time.Hour, a.ConfigProven.Age(3, now))
}
