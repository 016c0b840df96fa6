package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/warmup"
	"mangostand.example/mangostand/pkg/dynconf"
)

// Sizes of the first deployment, see docs/customers.md.
const (
	coldPlayServers     = 17
	coldPlayEntries     = 74
	coldPlaySlots       = 8
	coldPlayServiceTime = 50 * time.Millisecond
	coldPlayLatency     = 500 * time.Microsecond
	coldPlayExchange    = 250 * time.Millisecond
	coldPlayRate        = 12.0
	coldPlayWarmup      = 3 * time.Second
	coldPlaySlowdown    = 2
)

var coldPlayPolicy = warmup.Policy{Duration: coldPlayWarmup, Rate: coldPlayRate, Overshoot: 1.5, Slack: 8}

// coldPlayServer is an executor beside a backend server that only records the calls it
// gets.
type coldPlayServer struct {
	executor *Executor
	writer   *board.Writer[*board.BackendServer]
	mu       sync.Mutex
	arrivals []time.Time
}

// coldPlay is a fleet without a network: real entries and executors, whose messages are
// delays.
type coldPlay struct {
	servers []*coldPlayServer
	entries []*Entry
	start   time.Time

	mu    sync.Mutex
	calls []coldPlayCall
	waits sync.WaitGroup
}

// coldPlayCall is what a caller got.
type coldPlayCall struct {
	arrived    time.Time
	took       time.Duration
	retry      int
	answered   bool
	reason     board.Reason
	retryAfter time.Duration
}

func coldPlayRoutes() *dynconf.RouteTable {
	table := dynconf.EmptyRouteTable()
	table.Version = 1
	table.Clusters = map[string]*dynconf.Cluster{"desk": {Name: "desk", Warmup: dynconf.WarmupLimit{Duration: coldPlayWarmup, Rate: coldPlayRate}}}
	return table
}

// newColdPlay returns a fleet whose backend servers start now. If restartedNodes is set,
// the nodes beside them start now as well.
func newColdPlay(restartedNodes bool) *coldPlay {
	p := &coldPlay{start: time.Now()}
	var records []board.NodeRecord
	for i := range coldPlayServers {
		id := board.InstanceID(fmt.Sprintf("n%d", i))
		b := board.NewMeshBoard(board.NodeIdentity{Instance: id, FailureDomain: "d", Service: "desk"})
		b.Routes.Claim("test").Publish(coldPlayRoutes())
		s := &coldPlayServer{writer: b.LocalServer.Claim("test")}
		s.writer.Publish(&board.BackendServer{ID: "s", State: board.ServerReady, Service: "desk", Slots: coldPlaySlots, StartedAt: p.start})
		s.executor = &Executor{Board: b, Log: zerolog.Nop(), WarmupOvershoot: coldPlayPolicy.Overshoot, WarmupSlack: coldPlayPolicy.Slack}
		if restartedNodes {
			s.executor.StartedAt = p.start
		}
		p.servers = append(p.servers, s)
		records = append(records, board.NodeRecord{Instance: id, FailureDomain: "d", Service: "desk", ServerID: "s", Slots: coldPlaySlots, State: board.ServerReady})
	}
	for i := range coldPlayEntries {
		b := board.NewMeshBoard(board.NodeIdentity{Instance: board.InstanceID(fmt.Sprintf("e%d", i)), FailureDomain: "d"})
		b.Routes.Claim("test").Publish(coldPlayRoutes())
		fleet := &board.Fleet{ByInstance: map[board.InstanceID]*board.MeshEndpoint{}, ByService: map[string][]*board.MeshEndpoint{}, Size: coldPlayEntries}
		for _, record := range records {
			endpoint := &board.MeshEndpoint{Record: record, EndpointStats: &board.EndpointStats{}, Reachability: &board.Reachability{}}
			fleet.ByInstance[record.Instance] = endpoint
			fleet.ByService["desk"] = append(fleet.ByService["desk"], endpoint)
		}
		b.Fleet.Claim("test").Publish(fleet)
		p.entries = append(p.entries, &Entry{Board: b, Codec: coldPlayCodec{}, Log: zerolog.Nop()})
	}
	return p
}

// exchange gives each entry the load report of one random server at each interval.
func (p *coldPlay) exchange(ctx context.Context) {
	for _, e := range p.entries {
		go func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(coldPlayExchange)))
				i := rand.IntN(coldPlayServers)
				report := p.servers[i].executor.LoadReport()
				time.Sleep(coldPlayLatency)
				report.ReceivedAt = time.Now()
				e.Board.Fleet.Load().ByService["desk"][i].UpdateLoadReport(report)
			}
		}()
	}
}

// cold reports whether the backend servers are cold.
func (p *coldPlay) cold(now time.Time) bool { return now.Before(p.start.Add(coldPlayWarmup)) }

// execute runs a call on a server.
func (p *coldPlay) execute(s *coldPlayServer, c *Call, maxResponseTime time.Duration) *Result {
	time.Sleep(coldPlayLatency)
	x := s.executor
	c.Received = time.Now()
	job, result := x.admit(context.Background(), c, x.Board.LocalServer.Load(), "s", maxResponseTime, localSender{func() {}})
	if result == nil {
		now := time.Now()
		s.mu.Lock()
		s.arrivals = append(s.arrivals, now)
		s.mu.Unlock()
		serviceTime := coldPlayServiceTime
		if p.cold(now) {
			serviceTime *= coldPlaySlowdown
		}
		time.Sleep(serviceTime)
		x.meanServiceTime.AddServiceTime(serviceTime)
		x.Board.CallStats.ForRule(c.Rule).AddServiceTime(serviceTime)
		x.releaseSlot(job, serviceTime, coldPlaySlots)
		result = &Result{Outcome: Answered, Status: 200}
	}
	load := x.LoadReport()
	result.Load, result.ServiceTime = &load, x.Board.CallStats.ForRule(c.Rule).ServiceTime()
	time.Sleep(coldPlayLatency)
	return result
}

// forward is the loop of forwarder.forward without attempts after the first one.
func (p *coldPlay) forward(e *Entry, c *Call) *Result {
	f := &forwarder{entry: e, call: c}
	last := notSent(board.ReasonNoServer)
	for f.offers < maxOffers {
		endpoint, maxResponseTime := f.pickEndpoint()
		if endpoint == nil {
			break
		}
		if refusal := f.refusalWhileCold(); refusal != nil {
			return refusal
		}
		f.offers++
		endpoint.CallStarted()
		i := slices.IndexFunc(p.servers, func(s *coldPlayServer) bool { return s.executor.Board.Self.Instance == endpoint.Record.Instance })
		last = p.execute(p.servers[i], f.cloneCall(), maxResponseTime)
		endpoint.CallEnded()
		f.recordFeedback(endpoint, last)
		if f.recordOutcome(last, endpoint) {
			break
		}
	}
	return last
}

// call sends one request of a caller, who retries after a refusal as told.
func (p *coldPlay) call(retry, maxRetries int) {
	now := time.Now()
	e := p.entries[rand.IntN(coldPlayEntries)]
	c := &Call{ID: "c", Rule: "read", Service: "desk", Received: now, Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(700 * time.Millisecond)}
	result := p.forward(e, c)
	took := time.Since(now)
	response := e.buildResponse(c, result)
	got := coldPlayCall{arrived: now, took: took, retry: retry, answered: result.Outcome == Answered, reason: result.Reason}
	if text := response.Header.Get("Retry-After"); text != "" {
		got.retryAfter, _ = time.ParseDuration(text)
	}
	p.mu.Lock()
	p.calls = append(p.calls, got)
	p.mu.Unlock()
	if !got.answered && retry < maxRetries {
		time.Sleep(got.retryAfter)
		p.call(retry+1, maxRetries)
	}
}

// demand sends requests at a rate from a time after the start to another one.
func (p *coldPlay) demand(rate float64, from, to time.Duration, maxRetries int) {
	time.Sleep(time.Until(p.start.Add(from)))
	for time.Since(p.start) < to {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		p.waits.Go(func() { p.call(0, maxRetries) })
	}
}

// playReport is the outcome of a play.
type playReport struct {
	// maxPerSecond and maxPerFifth are the largest numbers of calls that one cold
	// server got in any second and any fifth of a second.
	maxPerSecond, maxPerFifth int
	// coldRate is the rate of served calls per server from 1.1 s to the end of the
	// warm-up, when restarted nodes have begun to send as well.
	coldRate float64
	// refusals counts refused calls, slowRefusals those that took longer than 50 ms.
	refusals, slowRefusals int
	withoutRetryAfter      int
	reasons                map[board.Reason]int
	// failedLate counts the calls that arrived 4 s after the start and were refused.
	late, failedLate int
	// retries counts retried calls before the end of the warm-up.
	retries, answeredRetries int
}

// largestWindow returns the largest number of times within any window.
func largestWindow(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (p *coldPlay) report() playReport {
	r := playReport{reasons: map[board.Reason]int{}}
	served := 0
	for _, s := range p.servers {
		var cold []time.Time
		for _, at := range s.arrivals {
			if p.cold(at) {
				cold = append(cold, at)
			}
			if p.cold(at) && at.Sub(p.start) >= 1100*time.Millisecond {
				served++
			}
		}
		r.maxPerSecond = max(r.maxPerSecond, largestWindow(cold, time.Second))
		r.maxPerFifth = max(r.maxPerFifth, largestWindow(cold, 200*time.Millisecond))
	}
	r.coldRate = float64(served) / (coldPlayWarmup - 1100*time.Millisecond).Seconds() / coldPlayServers
	for _, c := range p.calls {
		late := c.arrived.Sub(p.start) >= 4*time.Second
		if late {
			r.late++
		}
		if c.retry > 0 && p.cold(c.arrived) {
			r.retries++
			if c.answered {
				r.answeredRetries++
			}
		}
		if c.answered {
			continue
		}
		r.refusals++
		r.reasons[c.reason]++
		if late {
			r.failedLate++
		}
		if c.took > 50*time.Millisecond {
			r.slowRefusals++
		}
		if c.retryAfter <= 0 {
			r.withoutRetryAfter++
		}
	}
	return r
}

// All servers of a service have lost power and come back cold at the same time, while
// the demand is three times what they bear, with and without callers that retry.
// Guards against a server that gets more than it bears and crashes, against a rate
// below what all of them bear, against refusals that come late or without Retry-After,
// and against a limit that outlasts the warm-up.
func TestAllServersOfAServiceAreColdAtOnce(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // see pkg/control/healthcheck
	for name, c := range map[string]struct {
		restartedNodes bool
		noExchanges    bool
		maxRetries     int
		rate           float64
	}{
		"servers only":               {false, false, 0, 3 * coldPlayServers * coldPlayRate},
		"with the nodes":             {true, false, 0, 3 * coldPlayServers * coldPlayRate},
		"callers that retry":         {false, false, 3, 3 * coldPlayServers * coldPlayRate},
		"little more than is borne":  {false, false, 0, 1.3 * coldPlayServers * coldPlayRate},
		"exchanges do not get there": {false, true, 0, 3 * coldPlayServers * coldPlayRate},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(2 * coldPlayExchange) // until the exchanges have ended
				}()
				p := newColdPlay(c.restartedNodes)
				if !c.noExchanges {
					p.exchange(ctx)
				}
				p.demand(c.rate, 0, 5*time.Second, c.maxRetries)
				p.waits.Wait()
				r := p.report()
				t.Logf("%+v", r)
				require.LessOrEqual(t, float64(r.maxPerSecond), coldPlayPolicy.Bound())
				require.LessOrEqual(t, r.maxPerFifth, coldPlayPolicy.Allowance().PerBurst)
				require.Greater(t, r.coldRate, 0.9*coldPlayRate)
				require.Less(t, r.coldRate, 1.2*coldPlayRate)
				require.Zero(t, r.withoutRetryAfter)
				require.Less(t, r.slowRefusals, r.refusals/20+1)
				require.Greater(t, r.late, 100)
				require.Zero(t, r.failedLate)
			})
		})
	}
}
