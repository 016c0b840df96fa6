package healthcheck

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/platform"
)

const coldResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + platform.HeaderInstanceID + ": s\r\n" + platform.HeaderWarmup + ": 2000\r\n\r\n"

// newWarmupFixture returns a fixture with a limit for cold servers while a call runs
// and each response to a call reports the load.
func newWarmupFixture(t *testing.T, listens bool, rate float64) *livenessFixture {
	f := newLivenessFixture(t, listens, coldResponse)
	f.Board.Routes.Load().Clusters["desk"].Warmup = dynconf.WarmupLimit{Duration: time.Second, Rate: rate}
	f.inFlight.Store(1)
	f.lastHealthCheck = time.Now().Add(-time.Minute) // not the first one
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			f.Board.ServerLoad.SetReport(board.ServerLoadReport{Slots: 4, ReceivedAt: time.Now()})
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return f
}

// Guards against a server that turns cold again and is not asked because its responses
// to calls report its load, and against additional health checks without a limit.
func TestWarmupIsFetchedWhileCallsRun(t *testing.T) {
	for name, c := range map[string]struct {
		rate  float64
		asked bool
	}{"with a limit": {12, true}, "without a limit": {0, false}} {
		t.Run(name, func(t *testing.T) {
			f := newWarmupFixture(t, true, c.rate)
			reports := make(chan time.Duration, 64)
			f.OnWarmup = func(server *board.BackendServer, left time.Duration) {
				require.Equal(t, "s", server.ID)
				reports <- left
			}
			time.Sleep(20 * time.Millisecond)
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			f.Run(ctx)
			elapsed := time.Since(start)
			if !c.asked {
				require.Empty(t, reports)
				return
			}
			require.Equal(t, 2*time.Second, <-reports)
			require.GreaterOrEqual(t, len(reports), 2)
			require.LessOrEqual(t, len(reports), int(elapsed/maxWarmupAge)+1)
		})
	}
}

// Guards against a server that has ended, which a health check finds out, and is taken
// for the same process when it comes back.
func TestRefusedHealthCheckAnnouncesTheEnd(t *testing.T) {
	f := newWarmupFixture(t, false, 12)
	f.tick(t.Context(), time.Now())
	server, announced := f.announcedUnreachable(t)
	require.True(t, announced)
	require.Equal(t, f.server, server)

	unlimited := newWarmupFixture(t, false, 0)
	unlimited.pollHealth(t.Context(), time.Now(), unlimited.server.Addr)
	_, announced = unlimited.announcedUnreachable(t)
	require.False(t, announced)
}
