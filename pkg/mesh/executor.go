package mesh

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/concurrency"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/queueing"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/pkg/metrics"
)

const (
	// drainMargin is left before the end of the drain time: a leaving backend
	// server gets no call from the queue any more.
	drainMargin = 500 * time.Millisecond
	// coldSlowdown is how long work takes on a backend server that has just
	// started and has not told its load, relative to the usual time.
	coldSlowdown = 2
	// defaultWork is assumed for a rule without samples, as a share of its
	// objective.
	defaultWork = 3
)

// Executor runs calls on the backend server beside this node.
type Executor struct {
	Board   *board.MeshBoard
	Servers *h1.Pool
	Codec   Codec
	Log     zerolog.Logger
	Metrics *metrics.Mesh
	// DrainTime is how long a leaving backend server may still get calls.
	DrainTime time.Duration

	gate    gate
	runs    runs
	mean    board.Stats
	reports atomic.Uint64
}

// InFlight returns the calls that run or wait.
func (x *Executor) InFlight() int { return int(x.gate.running.Load() + x.gate.waiting.Load()) }

// LoadReport returns a report for other nodes.
func (x *Executor) LoadReport() board.LoadReport {
	server, now := x.Board.LocalServer.Load(), time.Now()
	speed := x.speed(server, now)
	return board.LoadReport{
		InFlight: uint32(x.gate.running.Load()), Queued: uint32(x.gate.waiting.Load()),
		Limit: uint32(x.limit(server)), LatencyMicros: uint32(x.mean.ServiceTime().Microseconds()),
		Draining: !server.AcceptsCalls() || x.Board.Shutdown.Load().Leaving, Sequence: x.reports.Add(1),
		SlowdownPercent: uint32(100 * speed.CurrentSlowdown()), MinSlowdownPercent: uint32(100 * max(1, speed.MinSlowdown)),
		LinkBacklogMicros: uint32(x.Board.Link.Backlog(now).Microseconds()),
	}
}

// speed returns how fast the backend server works now. Its load reports include
// the time after its start.
func (x *Executor) speed(server *board.BackendServer, now time.Time) estimate.Speed {
	if pulse := x.Board.ServerLoad.LatestReport(); pulse != nil {
		return estimate.Speed{Slowdown: pulse.Slowdown, MinSlowdown: pulse.MinSlowdown}.Decayed(now.Sub(pulse.ReceivedAt), assumedFloor(server, now))
	}
	return estimate.Speed{MinSlowdown: assumedFloor(server, now)}
}

// assumedFloor returns the floor of a backend server without load reports.
func assumedFloor(server *board.BackendServer, now time.Time) float64 {
	if now.Before(server.WarmupEndsAt) {
		return coldSlowdown
	}
	return 1
}

// limit returns the number of calls that the backend server runs at once.
func (x *Executor) limit(server *board.BackendServer) int {
	return x.runs.limit(server.Slots, x.Board.Fleet.Load().Contention, time.Now())
}

// Serve checks a call, admits it and runs it. The answer carries the load.
func (x *Executor) Serve(ctx context.Context, c *Call, serverID string, patience time.Duration, admitted taker) *Answer {
	server := x.Board.LocalServer.Load()
	started := time.Now()
	answer := x.serve(ctx, c, server, serverID, patience, admitted)
	load := x.LoadReport()
	answer.Load = &load
	answer.Work = x.Board.CallStats.ForRule(c.Rule).ServiceTime()
	x.Metrics.Executed(answer.Outcome.String(), string(answer.Reason), time.Since(started))
	x.logServed(c, answer, started)
	return answer
}

func (x *Executor) logServed(c *Call, a *Answer, started time.Time) {
	x.Log.Info().Str("event", "executed").Str("id", c.ID).Str("rule", c.Rule).Str("outcome", a.Outcome.String()).
		Str("reason", string(a.Reason)).Int("status", a.Status).Dur("took", time.Since(started)).
		Uint32("running", a.Load.InFlight).Uint32("queued", a.Load.Queued).Uint32("slots", a.Load.Limit).
		Uint32("slowdown_percent", a.Load.SlowdownPercent).Dur("load_age", x.pulseAge()).
		Dur("left", time.Until(c.Deadline)).Send()
}

func (x *Executor) pulseAge() time.Duration {
	if pulse := x.Board.ServerLoad.LatestReport(); pulse != nil {
		return time.Since(pulse.ReceivedAt)
	}
	return -1
}

func (x *Executor) serve(ctx context.Context, c *Call, server *board.BackendServer, serverID string, patience time.Duration, admitted taker) *Answer {
	if reason := refusal(server, c, serverID); reason != "" {
		return notSent(reason)
	}
	now := time.Now()
	speed := x.speed(server, now)
	job := queueing.Job{
		Rank: c.Rank, NominalTime: usualTime(x.Board.CallStats, c), MinSlowdown: speed.MinSlowdown, Objective: c.Objective, Deadline: c.Deadline, MaxResponseTime: patience,
	}
	load := x.gate.load(job, estimate.Load{Slots: x.limit(server), Speed: speed, MeanServiceTime: x.meanOr(job.NominalTime)})
	verdict := queueing.Admit(job, load, now)
	if verdict.Result != queueing.Accepted {
		answer := notSent(reasonOf(verdict.Result))
		answer.Wait = verdict.QueueWait
		return answer
	}
	body, err := admitted.Take(ctx)
	if err != nil {
		return notSent(board.ReasonBodyMissing)
	}
	if body != nil {
		c.Body = body
	}
	if refusedFor(x.Board, c, now) > 0 {
		return notSent(board.ReasonQuarantined)
	}
	if reason := x.acquire(ctx, job, x.limit(server)); reason != "" {
		return notSent(reason)
	}
	return x.run(ctx, c, server, job, admitted)
}

func (x *Executor) meanOr(usual time.Duration) time.Duration {
	if mean := x.mean.ServiceTime(); mean > 0 {
		return mean
	}
	return usual
}

func reasonOf(r queueing.Result) board.Reason {
	switch r {
	case queueing.SlowerThanAlternative:
		return board.ReasonSlowerThanAlternative
	case queueing.TooLate:
		return board.ReasonDeadlineBeforeStart
	}
	return board.ReasonOverloaded
}

// refusal returns the reason to refuse a call before the backend server is
// touched, or "".
func refusal(server *board.BackendServer, c *Call, serverID string) board.Reason {
	switch {
	case server.ID == "" || server.Down:
		return board.ReasonBackendDown
	case server.State >= board.ServerDraining:
		return board.ReasonDraining
	case server.Service != c.Service:
		return board.ReasonNoServer
	case serverID != "" && serverID != server.ID:
		return board.ReasonWrongIncarnation
	}
	return ""
}

// acquire takes a slot for a call or returns the reason for a refusal.
func (x *Executor) acquire(ctx context.Context, job queueing.Job, slots int) board.Reason {
	if x.gate.waiting.Load() == 0 && x.gate.tryRun(slots) {
		return ""
	}
	reason := x.gate.wait(ctx, x.gate.enter(job, slots))
	if reason != "" {
		return reason
	}
	if ctx.Err() != nil {
		x.gate.release(slots)
		return board.ReasonCanceledByCaller
	}
	return ""
}

// run sends a call that holds a slot to the backend server.
func (x *Executor) run(ctx context.Context, c *Call, admittedTo *board.BackendServer, job queueing.Job, from taker) *Answer {
	server := x.Board.LocalServer.Load()
	slots := x.limit(server)
	now := time.Now()
	switch {
	case server.ID != admittedTo.ID || server.StartMillis != admittedTo.StartMillis:
		x.gate.release(slots)
		return notSent(board.ReasonWrongIncarnation)
	case server.State >= board.ServerDraining && now.Sub(server.DrainingSince) > x.DrainTime-drainMargin:
		x.gate.release(slots)
		return notSent(board.ReasonDraining)
	}
	run := x.runs.begin(job, x.speed(server, now).CurrentSlowdown(), now, from.Slow)
	beside := x.gate.running.Load()
	expected := x.Board.CallStats.ForRule(c.Rule).ResponseSize()
	x.Board.Link.AddPending(expected)
	answer := x.send(ctx, c, server)
	reportExecution(x.Board, c, server, answer)
	x.Board.Link.AddPending(-expected)
	worked := x.runs.end(run, time.Now())
	beside = (beside + x.gate.running.Load() + 1) / 2
	if answer.whole || answer.Body == nil {
		x.gate.release(slots)
	} else {
		answer.Body = onClose(answer.Body, func() { x.gate.release(slots) })
	}
	if answer.lost() {
		x.Board.SuspectedServers.Post(*server)
	}
	if answer.Outcome == Answered && answer.Status < http.StatusInternalServerError {
		x.sample(c, worked, run.most, int(beside), server.Slots)
		x.mean.AddServiceTime(worked)
		x.Board.CallStats.ForRule(c.Rule).AddServiceTime(worked)
	}
	return answer
}

// sample takes the work of a call for the limit of calls at once.
func (x *Executor) sample(c *Call, worked time.Duration, mostSlowdown float64, beside, slots int) {
	sample := concurrency.Sample{Running: beside, Slots: slots, MaxSlowdown: mostSlowdown}
	if sample.HostSlow() {
		return
	}
	work := x.Board.CallStats.ForRule(c.Rule)
	if sample.LowLoad() {
		work.AddLowLoadTime(worked)
	}
	if calm := work.LowLoadTime(); calm > 0 {
		sample.RelativeTime = float64(worked) / float64(calm)
		now := time.Now()
		if verdict := x.runs.sample(sample, now); verdict != nil {
			x.Board.ServerLoad.SetContention(verdict.Contention())
			x.Log.Info().Str("event", "concurrency").Float64("full_to_calm", verdict.HighToLowLoadRatio()).
				Int("limit", verdict.Limit(slots, board.ContentionUnknown, now)).Int("slots", slots).Send()
		}
	}
}

// OnLoadReport takes a load report of the backend server.
func (x *Executor) OnLoadReport(view board.ServerLoadReport) {
	view.ReceivedAt = time.Now()
	view.MinSlowdown = x.runs.pulse(view.Slowdown, assumedFloor(x.Board.LocalServer.Load(), view.ReceivedAt), view.ReceivedAt)
	x.Board.ServerLoad.SetReport(view)
}

// HandleHop answers a call of another node.
func (x *Executor) HandleHop(ctx context.Context, r *h1.Request) *h1.Response {
	var h hop
	if err := decodeHop(r.Header.Get(headerHop), &h); err != nil {
		x.Log.Warn().Err(err).Str("event", "hop_refused").Msg("call of another node not understood")
		return &h1.Response{Status: http.StatusBadRequest}
	}
	if !r.Held() {
		x.Log.Warn().Str("event", "hop_refused").Str("id", h.ID).Msg("call of another node without an expectation")
		return &h1.Response{Status: http.StatusBadRequest}
	}
	x.Board.ReceiveConfigAdvertisement(h.Config, h.From, r.Received)
	r.Header.Del(headerHop)
	c := h.call(r.Received)
	c.Method, c.Target, c.Host, c.Header, c.Body = r.Method, r.Target, r.Host, r.Header, r.Body
	h1.RemoveHopHeaders(c.Header)
	answer := x.Serve(ctx, c, h.ServerID, time.Duration(h.PatienceMicros)*time.Microsecond, remoteTake{r})
	response := &h1.Response{
		Status: answer.Status, Header: answer.Header, Body: pace(x.Board.Link, answer.Body, answer.Length), Length: answer.Length,
	}
	if answer.Outcome != Answered {
		response.Status = http.StatusServiceUnavailable
	}
	if response.Header == nil {
		response.Header = http.Header{}
	}
	response.Header.Set(headerHop, encodeHop(hopAnswer{
		Outcome: answer.Outcome, Reason: answer.Reason, Load: *answer.Load,
		WorkMicros: answer.Work.Microseconds(), WaitMicros: answer.Wait.Microseconds(),
		Config: x.Board.ConfigAdvertisement(time.Now()), Executor: x.Board.Self.Instance,
	}))
	return response
}

// IsHop reports whether a request of another node carries a call.
func IsHop(r *h1.Request) bool { return r.Header.Get(headerHop) != "" }

// Name returns the name of the executor as a controller.
func (x *Executor) Name() string { return "executor" }

// Run refuses the calls that wait for a backend server that has gone or is
// down, until ctx ends.
func (x *Executor) Run(ctx context.Context) {
	changed := x.Board.LocalServer.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			if server := x.Board.LocalServer.Load(); server.Down || server.State == board.ServerGone {
				x.gate.refuseAll(board.ReasonBackendDown)
			}
		}
	}
}
