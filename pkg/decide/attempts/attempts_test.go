package attempts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

// Simulates calls that are all sent again. Guards against more additional
// attempts than the ratio and the slack allow, at the service and at the one
// that its executions call.
func TestLimitAppliesToNestedCalls(t *testing.T) {
	limit := Limit{Ratio: 0.2, Slack: 5}
	counts := []board.AttemptCounts{{Service: "desk"}, {Service: "vault"}}
	additional := 0.0
	for range 1000 {
		counts[0].Calls++
		counts[1].Calls += 1.4
		charges, ok := Charge("desk", counts, limit, Rejected)
		if !ok {
			continue
		}
		additional++
		counts[0].AdditionalAttempts += charges["desk"]
		counts[1].AdditionalAttempts += charges["vault"]
	}
	require.Greater(t, additional, 100.0)
	require.LessOrEqual(t, additional, limit.Ratio*counts[0].Calls+limit.Slack)
	require.LessOrEqual(t, 1.4*additional, limit.Ratio*counts[1].Calls+limit.Slack)
}

// Guards against retries of failures that use up the budget for rejected
// calls.
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

// Guards against retries of failures that have a common cause behind all
// servers.
func TestOnlyOutliersAreRetried(t *testing.T) {
	require.True(t, IsOutlier(0.125, []float64{0, 0, 0}))
	require.False(t, IsOutlier(0.5, []float64{0.5, 0.45, 0.6}))
	require.False(t, IsOutlier(0.5, nil))
}
