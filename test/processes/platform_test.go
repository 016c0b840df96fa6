//go:build processes

package processes_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/standin/meshsite"
	"mangostand.example/mangostand/platform/standin"
)

// TestCrashingRequestOnThePlatform guards against a request that crashes more than
// three backend servers when its caller sends it again through every node, and
// against the refusal of other requests because of it. The platform tolerates three
// crashes, and time for all nodes to learn of them.
func TestCrashingRequestOnThePlatform(t *testing.T) {
	bin := os.Getenv("MANGOSTAND_BIN")
	require.NotEmpty(t, bin, "MANGOSTAND_BIN is not set; use make faults")
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	site, err := meshsite.Start(ctx, meshsite.Options{
		Binary: filepath.Join(bin, "mangostandd"), Dir: t.TempDir(), Nodes: 6, Service: serviceName, Slots: 6,
		ServiceTime: 10 * time.Millisecond, RouteTimeout: 800 * time.Millisecond, RestartDelay: time.Second,
	})
	require.NoError(t, err)
	defer site.Stop()
	crashes := func() (total int64) {
		for _, n := range site.Nodes {
			total += n.CrashCount.Load()
		}
		return total
	}
	callerTimeout := time.Second
	for round := range 4 {
		for i, n := range site.Nodes {
			id := fmt.Sprintf("crash-%d-%d", round, i)
			standin.NewCaller(n.CallerAddr).SendPath(ctx, id, standin.ReadPrefix, standin.CrashPath, callerTimeout)
			time.Sleep(500 * time.Millisecond)
		}
	}
	require.NotZero(t, crashes())
	require.LessOrEqual(t, crashes(), int64(3))
	lastResult := standin.NewCaller(site.Nodes[0].CallerAddr).SendPath(ctx, "crash-last", standin.ReadPrefix, standin.CrashPath, callerTimeout)
	require.Equal(t, standin.NotExecuted, lastResult.Outcome)
	require.Greater(t, lastResult.RetryAfter, time.Minute)
	for i, n := range site.Nodes {
		result := standin.NewCaller(n.CallerAddr).Send(ctx, fmt.Sprintf("read-%d", i), standin.ReadPrefix, callerTimeout)
		require.Equal(t, standin.Served, result.Outcome)
	}
}
