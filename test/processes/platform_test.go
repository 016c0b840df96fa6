//go:build processes

package processes_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/standin/meshsite"
	"mangostand.example/mangostand/platform/standin"
)

// TestCrashingRequestOnThePlatform guards against a request that crashes more than
// three backend servers when its caller sends it again through every node, and
// against the refusal of other requests because of it. The platform tolerates three
// crashes, and time for all nodes to learn of them.
func TestCrashingRequestOnThePlatform(t *testing.T) {
	for name, path := range map[string]string{"before the response": standin.CrashPath, "within the response": standin.CrashInResponsePath} {
		t.Run(name, func(t *testing.T) { testCrashingRequest(t, path) })
	}
}

func testCrashingRequest(t *testing.T, path string) {
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
			standin.NewCaller(n.CallerAddr).SendPath(ctx, id, standin.ReadPrefix, path, callerTimeout)
			time.Sleep(500 * time.Millisecond)
		}
	}
	require.NotZero(t, crashes())
	require.LessOrEqual(t, crashes(), int64(3))
	lastResult := standin.NewCaller(site.Nodes[0].CallerAddr).SendPath(ctx, "crash-last", standin.ReadPrefix, path, callerTimeout)
	require.Equal(t, standin.NotExecuted, lastResult.Outcome)
	require.Greater(t, lastResult.RetryAfter, time.Minute)
	for i, n := range site.Nodes {
		result := standin.NewCaller(n.CallerAddr).Send(ctx, fmt.Sprintf("read-%d", i), standin.ReadPrefix, callerTimeout)
		require.Equal(t, standin.Served, result.Outcome)
	}
}

// TestColdServersOnThePlatform plays a loss of power: all backend servers end and come
// back cold, while the demand is several times what they bear cold. Guards against
// servers that crash again, against less than they bear, against refusals without
// Retry-After, and against a limit that outlasts the warm-up. A server that turns cold
// again without notice must not crash either.
func TestColdServersOnThePlatform(t *testing.T) {
	const (
		nodes, callersPerNode = 4, 6
		rate, bound           = 12, 26 // the default bound: 1.5 x rate + 8
		warmup                = 3 * time.Second
	)
	bin := os.Getenv("MANGOSTAND_BIN")
	require.NotEmpty(t, bin, "MANGOSTAND_BIN is not set; use make faults")
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	site, err := meshsite.Start(ctx, meshsite.Options{
		Binary: filepath.Join(bin, "mangostandd"), Dir: t.TempDir(), Nodes: nodes, Service: serviceName, Slots: 8,
		ServiceTime: 10 * time.Millisecond, RouteTimeout: 600 * time.Millisecond, RestartDelay: 300 * time.Millisecond,
		ColdStart: standin.ColdStart{Duration: warmup, MaxRequestsPerSecond: bound}, Warmup: dynconf.WarmupLimit{Duration: warmup, Rate: rate},
	})
	require.NoError(t, err)
	defer site.Stop()
	time.Sleep(warmup + time.Second)

	type sample struct {
		at     time.Time
		result standin.Result
	}
	var mu sync.Mutex
	var samples []sample
	callCtx, stop := context.WithCancel(t.Context())
	defer stop()
	var callers sync.WaitGroup
	for _, n := range site.Nodes {
		for i := range callersPerNode {
			callers.Go(func() {
				standin.NewCaller(n.CallerAddr).SendLoop(callCtx, fmt.Sprintf("%s-%d", n.Name, i), 1<<30, 60*time.Millisecond, 700*time.Millisecond, func(r standin.Result) {
					mu.Lock()
					defer mu.Unlock()
					samples = append(samples, sample{time.Now().Add(-r.Latency), r})
				})
			})
		}
	}
	count := func(from, to time.Time) (served, refused, withoutRetryAfter, other int) {
		mu.Lock()
		defer mu.Unlock()
		for _, s := range samples {
			switch {
			case s.at.Before(from) || !s.at.Before(to):
			case s.result.Outcome == standin.Served:
				served++
			case s.result.Outcome == standin.NotExecuted:
				refused++
				if s.result.RetryAfter <= 0 {
					withoutRetryAfter++
				}
			default:
				other++
			}
		}
		return served, refused, withoutRetryAfter, other
	}
	time.Sleep(2 * time.Second)
	for _, n := range site.Nodes {
		n.BackendServer.Crash()
	}
	time.Sleep(300 * time.Millisecond)
	for _, n := range site.Nodes {
		require.NoError(t, n.RestartBackendServer())
	}
	restarted := time.Now()
	time.Sleep(6 * time.Second)
	coldTotal, most := 0, 0
	for _, n := range site.Nodes {
		require.Zero(t, n.CrashCount.Load())
		total, perSecond := n.BackendServer.ColdRequests()
		coldTotal, most = coldTotal+total, max(most, perSecond)
		n.BackendServer.TurnCold(warmup)
	}
	turned := time.Now()
	time.Sleep(2 * time.Second)
	stop()
	callers.Wait()
	served, refused, withoutRetryAfter, other := count(restarted.Add(time.Second), restarted.Add(warmup))
	t.Logf("cold: served %d, refused %d, other %d; requests to cold servers: %d, at most %d in a second", served, refused, other, coldTotal, most)
	require.Greater(t, coldTotal, nodes*rate*2)
	require.Positive(t, refused, "the demand is not above what cold servers bear")
	require.Zero(t, withoutRetryAfter)
	require.Zero(t, other)
	served, refused, _, other = count(restarted.Add(4*time.Second), turned.Add(-100*time.Millisecond))
	t.Logf("warm: served %d, refused %d, other %d", served, refused, other)
	require.Positive(t, served)
	require.Zero(t, refused+other)
	for _, n := range site.Nodes {
		require.Zero(t, n.CrashCount.Load(), "a server that turned cold again has crashed")
	}
}

// TestHangingServersOnThePlatform runs servers that never respond to a request that
// they cannot queue, under more load than they bear and with callers that leave early.
// Guards against a hang that goes unnoticed, and against requests that hang from then
// on.
func TestHangingServersOnThePlatform(t *testing.T) {
	const nodes = 3
	bin := os.Getenv("MANGOSTAND_BIN")
	require.NotEmpty(t, bin, "MANGOSTAND_BIN is not set; use make faults")
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	site, err := meshsite.Start(ctx, meshsite.Options{
		Binary: filepath.Join(bin, "mangostandd"), Dir: t.TempDir(), Nodes: nodes, Service: serviceName, Slots: 4,
		ServiceTime: 50 * time.Millisecond, RouteTimeout: 800 * time.Millisecond, HangsWhenFull: true,
	})
	require.NoError(t, err)
	defer site.Stop()
	time.Sleep(time.Second)
	var outcomes [4]atomic.Int64
	callCtx, stop := context.WithCancel(t.Context())
	defer stop()
	var callers sync.WaitGroup
	for _, n := range site.Nodes {
		for i := range 10 {
			timeout := 800 * time.Millisecond
			if i%2 == 0 {
				timeout = 70 * time.Millisecond
			}
			callers.Go(func() {
				standin.NewCaller(n.CallerAddr).SendLoop(callCtx, fmt.Sprintf("%s-%d", n.Name, i), 3, 10*time.Millisecond, timeout, func(r standin.Result) {
					outcomes[r.Outcome].Add(1)
				})
			})
		}
	}
	hung := func() (total int64) {
		for _, n := range site.Nodes {
			total += n.BackendServer.Hung()
		}
		return total
	}
	var counts []int64
	for range 6 {
		time.Sleep(2 * time.Second)
		counts = append(counts, hung())
	}
	stop()
	callers.Wait()
	t.Logf("hung after each 2 s: %v; served %d, not run %d, unknown %d", counts, outcomes[standin.Served].Load(), outcomes[standin.NotExecuted].Load(), outcomes[standin.Unknown].Load())
	require.Zero(t, outcomes[standin.Invalid].Load())
	require.Positive(t, counts[5], "the load is not one under which these servers hang")
	require.Equal(t, counts[2], counts[5])
}
