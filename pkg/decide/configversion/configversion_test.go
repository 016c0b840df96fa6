package configversion

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an order of versions that lets a node go back or replaces one
// content by another under the same version.
func TestDecide(t *testing.T) {
	current := Stamp{Version: 2, ChangeID: "b"}
	cases := map[Stamp]Decision{
		{}:                            RefuseOlder,
		{Version: 1, ChangeID: "b"}:   RefuseOlder,
		{Version: 2, ChangeID: "b"}:   Unchanged,
		{Version: 2, ChangeID: "x"}:   RefuseConflict,
		{Version: 3, ChangeID: "a"}:   Accept,
		{Version: 100, ChangeID: "b"}: Accept,
	}
	for offered, want := range cases {
		require.Equal(t, want, Decide(current, offered), offered)
		require.Equal(t, offered.Version < 2, NeedsWriteBack(current, offered), offered)
	}
	require.Equal(t, Unchanged, Decide(Stamp{}, Stamp{}))
}

// Guards against a pull that asks peers without the version while others have
// it, and against one that never reaches the origin.
func TestPullOrder(t *testing.T) {
	sources := []Source{{"old", 1}, {"unknown", 0}, {"has", 3}, {"ahead", 4}, {"origin", 3}}
	random := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		order := PullOrder(sources, 3, "origin", 4, random)
		require.ElementsMatch(t, []string{"has", "ahead"}, order[:2])
		require.Equal(t, []string{"unknown", "origin"}, order[2:])
		order = PullOrder(sources, 3, "origin", 2, random)
		require.NotContains(t, order, "unknown")
		require.Equal(t, "origin", order[1])
		require.Len(t, PullOrder(sources, 3, "", 1, random), 1)
	}
	require.Empty(t, PullOrder(sources[:1], 3, "", 3, random))
}
