package hedge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/decide/estimate"
)

const ms = time.Millisecond

// Guards against second sends of calls that are not late.
func TestDelay(t *testing.T) {
	require.Equal(t, 490*ms, Delay(100*ms, 100*ms, 600*ms))
	require.Equal(t, 600*ms, Delay(400*ms, 100*ms, 600*ms))
}

// Guards against a second send that can't be in time, saves nothing, or is not
// needed.
func TestShouldHedge(t *testing.T) {
	run := Execution{NominalTime: 200 * ms}.Advance(100*ms, 1)
	require.Equal(t, 100*ms, run.Progress)
	require.True(t, ShouldHedge(run, estimate.Speed{Slowdown: 7}, 250*ms))
	require.False(t, ShouldHedge(run, estimate.Speed{Slowdown: 1}, 250*ms), "it will be in time")
	require.False(t, ShouldHedge(run, estimate.Speed{Slowdown: 7}, 150*ms), "the second send would be late")
	nearly := Execution{NominalTime: 200 * ms, Progress: 190 * ms}
	require.False(t, ShouldHedge(nearly, estimate.Speed{Slowdown: 7}, 60*ms), "it is nearly done")
}
