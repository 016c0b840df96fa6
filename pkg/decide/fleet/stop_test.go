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
		require.LessOrEqual(t, plan.AnnounceLeavingAfter, plan.CloseCallersAfter, grace)
		require.LessOrEqual(t, plan.CloseCallersAfter, plan.ExitAfter, grace)
		require.LessOrEqual(t, plan.ExitAfter, grace)
		if grace >= 2*time.Second {
			require.LessOrEqual(t, 2*plan.AnnounceLeavingAfter, plan.ExitAfter, "calls that came last have time to end")
		}
	}
}
