package mesh

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/warmup"
)

// coldPlayCodec writes the Retry-After of a refusal.
type coldPlayCodec struct{ Codec }

func (coldPlayCodec) SetLocalReplyHeader(header http.Header, _ string, retryAfter time.Duration) {
	if retryAfter > 0 {
		header.Set("Retry-After", retryAfter.String())
	}
}

// Guards against a count that is lost or kept for longer than a second, and against
// goroutines that together send more than the allowance.
func TestSendWindow(t *testing.T) {
	var w sendWindow
	start := time.Unix(1000, 0)
	for i := range 10 {
		w.add(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	require.Equal(t, 10, w.history(start.Add(900*time.Millisecond)).Sent())
	require.Equal(t, 10, w.history(start.Add(time.Second)).Sent())
	require.Equal(t, 9, w.history(start.Add(1050*time.Millisecond)).Sent())
	require.Equal(t, 0, w.history(start.Add(2*time.Second)).Sent())
	w.remove(w.add(start.Add(3 * time.Second)))
	require.Equal(t, 0, w.history(start.Add(3*time.Second)).Sent())

	now := start.Add(5 * time.Second)
	admitted := make(chan bool, 400)
	for range 400 {
		go func() { admitted <- w.tryAdd(warmup.Allowance{PerSecond: 14, PerBurst: 14}, now) }()
	}
	count := 0
	for range 400 {
		if <-admitted {
			count++
		}
	}
	require.LessOrEqual(t, count, 14)
	require.Equal(t, count, w.history(now).Sent())
}

// sendAll lets calls arrive at one executor every interval for a time and returns when
// they were sent.
func sendAll(p *coldPlay, interval, duration time.Duration) []time.Time {
	s := p.servers[0]
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		now := time.Now()
		c := &Call{ID: "c", Rule: "read", Service: "desk", Received: now, Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(700 * time.Millisecond)}
		p.waits.Go(func() { p.execute(s, c, 0) })
	}
	p.waits.Wait()
	return s.arrivals
}

// Guards against a restarted node that sends to a cold server, or to one of unknown
// state, while calls of its predecessor count in the same second.
func TestRestartedNodeWaitsBesideAColdServer(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for name, c := range map[string]struct {
		server board.BackendServer
		waits  bool
	}{
		"cold":    {board.BackendServer{WarmupReported: true}, true},
		"unknown": {board.BackendServer{}, true},
		"warm":    {board.BackendServer{WarmupReported: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newColdPlay(true)
				server := *p.servers[0].executor.Board.LocalServer.Load()
				server.WarmupReported = c.server.WarmupReported
				if c.waits {
					server.WarmupEndsAt = p.start.Add(2 * time.Second)
				}
				p.servers[0].writer.Publish(&server)
				sent := sendAll(p, 5*time.Millisecond, 1500*time.Millisecond)
				require.NotEmpty(t, sent)
				if !c.waits {
					require.Less(t, sent[0].Sub(p.start), 10*time.Millisecond)
					return
				}
				require.Greater(t, sent[0].Sub(p.start), time.Second)
				require.Less(t, sent[0].Sub(p.start), 1100*time.Millisecond)
				require.LessOrEqual(t, largestWindow(sent, time.Second), coldPlayPolicy.Allowance().PerSecond)
			})
		})
	}
}

// A warm server at 40 calls/s reports without notice that it is cold again. Guards
// against calls that were sent before and do not count, and against a limit that is not
// lifted when the server reports that it is warm.
func TestServerTurnsColdAgain(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		p := newColdPlay(false)
		s := p.servers[0]
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.executor.Run(ctx)
		publish := func(left time.Duration) {
			server := *s.executor.Board.LocalServer.Load()
			server.WarmupReported, server.WarmupEndsAt = true, time.Now().Add(left)
			s.writer.Publish(&server)
		}
		publish(0)
		warm := len(sendAll(p, 25*time.Millisecond, 2*time.Second))
		require.Greater(t, warm, 70)
		publish(3 * time.Second)
		turned := time.Now()
		all := sendAll(p, 10*time.Millisecond, 2*time.Second)
		cold := all[warm:]
		require.Greater(t, cold[0].Sub(turned), 500*time.Millisecond, "the calls of the last second count")
		require.LessOrEqual(t, largestWindow(cold, time.Second), coldPlayPolicy.Allowance().PerSecond)
		require.GreaterOrEqual(t, float64(len(cold)), 1.2*coldPlayRate)
		publish(0)
		synctest.Wait()
		warm = len(s.arrivals)
		require.Greater(t, len(sendAll(p, 25*time.Millisecond, time.Second))-warm, 35)
	})
}

// Guards against a load report without the wait, and against a wait that is reported
// without a limit in the configuration.
func TestLoadReportNamesTheAdmissionWait(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		p := newColdPlay(false)
		x := p.servers[0].executor
		require.Zero(t, x.LoadReport().AdmissionWaitMicros)
		for x.permitSend() {
		}
		wait := time.Duration(x.LoadReport().AdmissionWaitMicros) * time.Microsecond
		require.Greater(t, wait, 100*time.Millisecond)
		time.Sleep(wait)
		require.True(t, x.permitSend())

		unlimited := &Executor{Board: board.NewMeshBoard(board.NodeIdentity{Service: "desk"}), StartedAt: time.Now()}
		for range 100 {
			require.True(t, unlimited.permitSend())
		}
		require.Zero(t, unlimited.LoadReport().AdmissionWaitMicros)
	})
}
