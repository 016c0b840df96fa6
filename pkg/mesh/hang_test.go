package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/queueing"
	"mangostand.example/mangostand/pkg/dynconf"
)

// fullServer is a backend server that goes on with abandoned calls and never responds
// to a request that finds all slots taken.
type fullServer struct {
	slots   int64
	running atomic.Int64
	// hung counts the requests that found no slot.
	hung atomic.Int64
}

// serve runs a request and reports whether it responds.
func (s *fullServer) serve(d time.Duration) bool {
	if s.running.Add(1) > s.slots {
		s.running.Add(-1)
		s.hung.Add(1)
		return false
	}
	time.Sleep(d)
	s.running.Add(-1)
	return true
}

// newHangExecutor returns an executor with four slots on a node that started earlier.
// If seen is set, another node of the service has seen its backend server hang.
func newHangExecutor(seen bool) *Executor {
	b := board.NewMeshBoard(board.NodeIdentity{Instance: "n", Service: "desk"})
	table := dynconf.EmptyRouteTable()
	table.Version = 1
	table.Hosts["h"] = []*dynconf.RouteRule{{Name: "read", Timeout: 2 * time.Second}}
	b.Routes.Claim("test").Publish(table)
	b.LocalServer.Claim("test").Publish(&board.BackendServer{ID: "s", State: board.ServerReady, Service: "desk", Slots: 4})
	// The contention decides on the limit: all slots may be used.
	endpoint := &board.MeshEndpoint{EndpointStats: &board.EndpointStats{}, Reachability: &board.Reachability{}}
	endpoint.UpdateLoadReport(board.LoadReport{Hangs: seen, Sequence: 1, ReceivedAt: time.Now()})
	b.Fleet.Claim("test").Publish(&board.Fleet{Contention: board.ContentionNone, ByService: map[string][]*board.MeshEndpoint{"desk": {endpoint}}})
	return &Executor{Board: b, Log: zerolog.Nop()}
}

func hangCall() *Call {
	now := time.Now()
	return &Call{ID: "c", Rule: "read", Service: "desk", Received: now, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
}

// report fetches the load as a health check does, if there is room for one.
func (s *fullServer) report(x *Executor) bool {
	release, ok := x.ReserveForHealthCheck()
	if !ok {
		return false
	}
	load := board.ServerLoadReport{Running: int(s.running.Load()), Slots: int(s.slots), Slowdown: 1, RequestedAt: time.Now()}
	if !s.serve(0) {
		return false
	}
	release()
	x.OnHealthReport(load)
	return true
}

// A server with four slots gets three times the calls that it can run, and callers
// abandon half of them. Guards against requests that the server cannot queue and never
// responds to, and against slots that stay empty for long: three quarters of the calls
// run that ran when abandoned calls did not count.
func TestHangingServerGetsNoMoreThanItCanQueue(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const serviceTime, duration = 40 * time.Millisecond, time.Minute
	ranBySeen := map[bool]int64{}
	for _, seen := range []bool{false, true} {
		t.Run(fmt.Sprint("a server of the service hung: ", seen), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, server := newHangExecutor(seen), &fullServer{slots: 4}
				x.Board.CallStats.ForRule("read").AddServiceTime(serviceTime)
				start := time.Now()
				var ran, reports atomic.Int64
				run := func() {
					c := hangCall()
					job, refused := x.admit(context.Background(), c, x.Board.LocalServer.Load(), "", 0, localSender{func() {}})
					if refused != nil {
						return
					}
					tracked := x.tracker.start(job, 1, time.Now(), func() {})
					answered := make(chan bool, 1)
					go func() { answered <- server.serve(time.Duration((0.7 + 0.6*rand.Float64()) * float64(serviceTime))) }()
					timer := time.NewTimer(time.Duration(rand.IntN(100)) * time.Millisecond)
					defer timer.Stop()
					select {
					case ok := <-answered:
						if ok {
							ran.Add(1)
							x.tracker.finish(tracked, time.Now())
							break
						}
						<-timer.C
						x.tracker.finish(tracked, time.Now())
						x.abandon(tracked, time.Now())
					case <-timer.C:
						x.tracker.finish(tracked, time.Now())
						x.abandon(tracked, time.Now())
					}
					x.releaseSlot(job, 0, x.availableSlots(x.Board.LocalServer.Load()))
				}
				server.report(x)
				go func() {
					last := start
					for time.Since(start) < duration {
						time.Sleep(25 * time.Millisecond)
						if time.Since(last) >= 50*time.Millisecond && server.report(x) {
							reports.Add(1)
							last = time.Now()
						}
					}
				}()
				for time.Since(start) < duration {
					time.Sleep(time.Duration(rand.ExpFloat64() * float64(serviceTime) / 12))
					go run()
				}
				time.Sleep(3 * time.Second)
				t.Logf("ran %d, hung %d, reports %d, seen %v", ran.Load(), server.hung.Load(), reports.Load(), x.slots.hung(time.Now()))
				ranBySeen[seen] = ran.Load()
				if !seen {
					require.Positive(t, server.hung.Load(), "the load is not one under which this server hangs")
					return
				}
				require.Zero(t, server.hung.Load())
				require.Greater(t, reports.Load(), int64(duration/time.Second)*6, "health checks get their turn")
				require.Greater(t, float64(ran.Load()), 0.75*float64(ranBySeen[false]))
			})
		})
	}
}

// Guards against abandoned calls that take slots of a service that never hung: most
// backend servers drop a call when its connection closes.
func TestAbandonedCallsAreHarmlessElsewhere(t *testing.T) {
	for _, seen := range []bool{false, true} {
		t.Run(fmt.Sprint("hung: ", seen), func(t *testing.T) {
			x := newHangExecutor(seen)
			x.OnLoadReport(board.ServerLoadReport{Slots: 4, Slowdown: 1})
			now := time.Now()
			for range 3 {
				c := x.tracker.start(nominalJob(time.Second), 1, now, func() {})
				x.tracker.finish(c, now)
				x.abandon(c, now)
			}
			want := 4
			if seen {
				want = 1
			}
			require.Equal(t, want, x.availableSlots(x.Board.LocalServer.Load()))
			require.EqualValues(t, want, x.LoadReport().Limit)
			// The server has dropped them.
			time.Sleep(15 * time.Millisecond)
			x.OnHealthReport(board.ServerLoadReport{Slots: 4, Slowdown: 1, RequestedAt: time.Now()})
			require.Equal(t, 4, x.availableSlots(x.Board.LocalServer.Load()))
		})
	}
}

// A node restarts while three calls of its predecessor run. Guards against calls that
// the server cannot queue, and against slots that stay taken after those calls have
// ended.
func TestCallsOfThePredecessorCount(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		available := func(x *Executor) int { return x.availableSlots(x.Board.LocalServer.Load()) }
		report := func(x *Executor, running int) {
			x.OnHealthReport(board.ServerLoadReport{Running: running, Slots: 4, Slowdown: 1, RequestedAt: time.Now()})
		}
		x := newHangExecutor(false)
		x.StartedAt = time.Now()
		require.False(t, x.NeedsHealthReport())
		report(x, 3)
		require.Equal(t, 1, available(x))
		require.True(t, x.NeedsHealthReport(), "the load decides how many calls are sent")
		require.True(t, x.queue.TakeSlot(available(x)))
		x.tracker.start(nominalJob(time.Second), 1, time.Now(), func() {})
		time.Sleep(20 * time.Millisecond)
		report(x, 3)
		require.Equal(t, 2, available(x), "one of three has ended, one of four is ours")
		time.Sleep(2 * time.Second)
		require.Equal(t, 4, available(x), "no call outlasts its timeout")

		dropped := newHangExecutor(false)
		dropped.StartedAt = time.Now()
		report(dropped, 3)
		report(dropped, 0)
		require.Equal(t, 4, available(dropped))

		running := newHangExecutor(false)
		running.StartedAt = time.Now().Add(-time.Minute)
		report(running, 3)
		require.Equal(t, 4, available(running), "not at its start")
	})
}

// Guards against a slow call that is taken for a server that hangs: all other nodes of
// the service would be told.
func TestSlowCallIsNoHang(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for name, c := range map[string]struct {
		reported int
		hangs    bool
	}{"known to the server": {2, false}, "unknown to the server": {1, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newHangExecutor(false)
				for range 2 {
					x.queue.TakeSlot(4)
					x.tracker.start(nominalJob(50*time.Millisecond), 1, time.Now(), func() {})
				}
				for range 10 {
					time.Sleep(50 * time.Millisecond)
					x.OnHealthReport(board.ServerLoadReport{Running: c.reported, Slots: 4, Slowdown: 1, RequestedAt: time.Now()})
				}
				require.True(t, x.NeedsHealthReport())
				require.Equal(t, c.hangs, x.LoadReport().Hangs)
				time.Sleep(hangMemory + time.Second)
				require.False(t, x.LoadReport().Hangs)
			})
		})
	}
}

func nominalJob(nominal time.Duration) queueing.Job { return queueing.Job{NominalTime: nominal} }

// Guards against calls of this process that are taken for those of its predecessor: the
// load report of a server under load contains calls that were sent just before it.
func TestOwnCallsAreNotThoseOfThePredecessor(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		x := newHangExecutor(false)
		x.StartedAt = time.Now()
		for range 3 {
			x.tracker.start(nominalJob(time.Second), 1, time.Now(), func() {})
		}
		time.Sleep(time.Millisecond)
		x.OnHealthReport(board.ServerLoadReport{Running: 3, Slots: 4, Slowdown: 1, RequestedAt: time.Now()})
		require.Equal(t, 4, x.availableSlots(x.Board.LocalServer.Load()))
	})
}
