package attempts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Plays a minute of calls in which every call is to be sent again, and guards
// against more arrivals than the ratio and the slack allow, at the service and
// at the one that its runs call.
func TestBudgetHoldsForNestedCalls(t *testing.T) {
	limit := Limit{Ratio: 0.2, Slack: 5}
	counts := []board.AttemptCounts{{Service: "desk"}, {Service: "vault"}}
	repeats := 0.0
	for range 1000 {
		counts[0].Calls++
		counts[1].Calls += 1.4
		spending, ok := Charge("desk", counts, limit, Rejected)
		if !ok {
			continue
		}
		repeats++
		counts[0].AdditionalAttempts += spending["desk"]
		counts[1].AdditionalAttempts += spending["vault"]
	}
	require.Greater(t, repeats, 100.0)
	require.LessOrEqual(t, repeats, limit.Ratio*counts[0].Calls+limit.Slack)
	require.LessOrEqual(t, 1.4*repeats, limit.Ratio*counts[1].Calls+limit.Slack)
}

// Guards against repeated failures that use up what rejected calls need.
func TestBudgetIsReservedForUsefulCauses(t *testing.T) {
	counts := []board.AttemptCounts{{Service: "desk", Calls: 100, AdditionalAttempts: 14}}
	limit := Limit{Ratio: 0.2}
	_, ok := Charge("desk", counts, limit, Failed)
	require.False(t, ok)
	_, ok = Charge("desk", counts, limit, Lost)
	require.True(t, ok)
	counts[0].AdditionalAttempts = 18
	_, ok = Charge("desk", counts, limit, Lost)
	require.False(t, ok)
	_, ok = Charge("desk", counts, limit, Rejected)
	require.True(t, ok)
}

// Guards against repeating failures that come from behind all servers.
func TestOnlyOutliersAreRepeated(t *testing.T) {
	require.True(t, IsOutlier(0.125, []float64{0, 0, 0}))
	require.False(t, IsOutlier(0.5, []float64{0.5, 0.45, 0.6}))
	require.False(t, IsOutlier(0.5, nil))
}
