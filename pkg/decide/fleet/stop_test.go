package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a node that is killed while it still takes calls.
func TestPlanStopEndsBeforeTheKill(t *testing.T) {
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 6 * time.Second, time.Minute} {
		plan := PlanStop(grace)
		require.LessOrEqual(t, plan.Execute, plan.Accept, grace)
		require.LessOrEqual(t, plan.Accept, plan.Last, grace)
		require.LessOrEqual(t, plan.Last, grace)
		if grace >= 2*time.Second {
			require.LessOrEqual(t, 2*plan.Execute, plan.Last, "calls that came last have time to end")
		}
	}
}
