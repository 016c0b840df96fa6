package mesh

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/concurrency"
	"mangostand.example/mangostand/pkg/decide/estimate"
	"mangostand.example/mangostand/pkg/decide/nesting"
	"mangostand.example/mangostand/pkg/decide/queueing"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/pkg/metrics"
	"mangostand.example/mangostand/pkg/slotqueue"
)

const (
	// drainMargin is subtracted from the drain time: a draining backend server
	// gets no more calls from the queue in that last part.
	drainMargin = 500 * time.Millisecond
	// coldSlowdown is the slowdown assumed for a backend server that has just
	// started and has not reported its load.
	coldSlowdown = 2
	// entrySilence is the time after its deadline at which the executor ends a call
	// itself. Before that its entry does so, unless its machine does not respond any more.
	entrySilence = 500 * time.Millisecond
	// defaultNominalTimeDivisor applies to calls whose rule has no samples yet:
	// their nominal time is assumed to be the time to their objective divided by
	// it.
	defaultNominalTimeDivisor = 3
)

// Executor runs calls on the backend server beside this node. As a
// controller it refuses queued calls when the backend server goes down.
type Executor struct {
	Board   *board.MeshBoard
	Servers *h1.Pool
	Codec   Codec
	Log     zerolog.Logger
	Metrics *metrics.MeshMetrics
	// DrainTime is how long a draining backend server may still get calls.
	DrainTime time.Duration
	// WarmupOvershoot and WarmupSlack define the bound on the calls to a cold backend
	// server, see warmup.Policy.
	WarmupOvershoot, WarmupSlack float64
	// StartedAt is when the node started. Calls of an earlier process may have been sent
	// until then. It is zero if there was none.
	StartedAt time.Time
	// EvacuationTime is the time in which an evacuated failure domain gets no more
	// calls, 0 for no limit.
	EvacuationTime time.Duration

	queue           slotqueue.Queue[queueing.Job]
	warmup          warmupLimiter
	slots           slotAccount
	slotUse         slotUse
	tracker         callTracker
	meanServiceTime board.Stats
	reportSequence  atomic.Uint64
}

// InFlight returns the number of running and queued calls.
func (x *Executor) InFlight() int { return x.queue.Running() + x.queue.Waiting() }

// Running returns the number of calls that have a slot of the backend server.
func (x *Executor) Running() int { return x.queue.Running() }

// Queued returns the number of calls that wait for a slot.
func (x *Executor) Queued() int { return x.queue.Waiting() }

// LoadReport returns a load report for other nodes.
func (x *Executor) LoadReport() board.LoadReport {
	server, now, leaving := x.Board.LocalServer.Load(), time.Now(), x.Board.Shutdown.Load().Leaving
	speed := x.currentSpeed(server, now)
	return board.LoadReport{
		InFlight: uint32(x.queue.Running()), Queued: uint32(x.queue.Waiting()),
		Limit: uint32(x.availableSlots(server)), LatencyMicros: uint32(x.meanServiceTime.ServiceTime().Microseconds()),
		Draining: !server.AcceptsCalls() || leaving, Leaving: leaving, Sequence: x.reportSequence.Add(1),
		SlowdownPercent: uint32(100 * speed.CurrentSlowdown()), MinSlowdownPercent: uint32(100 * max(1, speed.MinSlowdown)),
		LinkBacklogMicros: uint32(x.Board.Link.Backlog(now).Microseconds()), InboundBacklogMicros: uint32(x.Board.InboundLink.Backlog(now).Microseconds()),
		Hangs:               x.slots.hung(now),
		AdmissionWaitMicros: uint32(x.warmupDecision(x.queue.Waiting(), now).Wait.Microseconds()),
	}
}

// currentSpeed returns how fast the backend server runs now. Its load reports
// already include the slowdown of a cold start.
func (x *Executor) currentSpeed(server *board.BackendServer, now time.Time) estimate.Speed {
	if report := x.Board.ServerLoad.LatestReport(); report != nil {
		return estimate.Speed{Slowdown: report.Slowdown, MinSlowdown: report.MinSlowdown}.Decayed(now.Sub(report.ReceivedAt), defaultMinSlowdown(server, now))
	}
	return estimate.Speed{MinSlowdown: defaultMinSlowdown(server, now)}
}

// defaultMinSlowdown returns the minimum slowdown to assume for a backend
// server without load reports.
func defaultMinSlowdown(server *board.BackendServer, now time.Time) float64 {
	if now.Before(server.WarmupEndsAt) {
		return coldSlowdown
	}
	return 1
}

// concurrencyLimit returns how many calls may run on the backend server at
// once.
func (x *Executor) concurrencyLimit(server *board.BackendServer) int {
	fleet := x.Board.Fleet.Load()
	sampler := concurrency.SamplesLowLoad(x.Board.Self.Instance, len(fleet.ByService[server.Service]))
	return x.tracker.limit(server.Slots, fleet.Contention, sampler, time.Now())
}

// Execute admits a call and runs it on the backend server. The result
// includes the executor's load report.
func (x *Executor) Execute(ctx context.Context, c *Call, serverID string, maxResponseTime time.Duration, from sender) *Result {
	server := x.Board.LocalServer.Load()
	started := time.Now()
	result := x.execute(ctx, c, server, serverID, maxResponseTime, from)
	load := x.LoadReport()
	result.Load = &load
	result.ServiceTime = x.Board.CallStats.ForRule(c.Rule).ServiceTime()
	x.Metrics.RecordExecutorCall(result.Outcome.String(), string(result.Reason), time.Since(started))
	x.logExecuted(c, result, started)
	return result
}

func (x *Executor) logExecuted(c *Call, result *Result, started time.Time) {
	x.withRefusedCustomer(withCustomer(x.Log.Info(), c.Customer), c, result).Str("event", "executed").Str("id", c.ID).Str("rule", c.Rule).Str("outcome", result.Outcome.String()).
		Str("reason", string(result.Reason)).Int("status", result.Status).Dur("took", time.Since(started)).
		Uint32("running", result.Load.InFlight).Uint32("queued", result.Load.Queued).Uint32("slots", result.Load.Limit).
		Uint32("slowdown_percent", result.Load.SlowdownPercent).Dur("load_age", x.loadReportAge()).
		Int("occupied", x.occupiedSlots(time.Now())).Dur("left", time.Until(c.Deadline)).Send()
}

// loadReportAge returns the age of the backend server's newest load report, or
// -1 if there is none.
func (x *Executor) loadReportAge() time.Duration {
	if report := x.Board.ServerLoad.LatestReport(); report != nil {
		return time.Since(report.ReceivedAt)
	}
	return -1
}

func (x *Executor) execute(ctx context.Context, c *Call, server *board.BackendServer, serverID string, maxResponseTime time.Duration, from sender) *Result {
	job, refused := x.admit(ctx, c, server, serverID, maxResponseTime, from)
	if refused != nil {
		return refused
	}
	return x.runOnServer(ctx, c, server, job, from)
}

// admit waits until a call may be sent to the backend server. It then holds a slot. The
// result is not nil if the call is refused.
func (x *Executor) admit(ctx context.Context, c *Call, server *board.BackendServer, serverID string, maxResponseTime time.Duration, from sender) (queueing.Job, *Result) {
	if reason := checkServer(server, c, serverID); reason != "" {
		return queueing.Job{}, notSent(reason)
	}
	if x.evacuated() {
		return queueing.Job{}, notSent(board.ReasonEvacuated)
	}
	now := time.Now()
	speed := x.currentSpeed(server, now)
	job := x.newJob(c, speed, maxResponseTime)
	load := x.loadFor(job, x.availableSlots(server), now, estimate.Load{Speed: speed, MeanServiceTime: x.meanServiceTimeOr(job.NominalTime)})
	decision := queueing.Admit(job, load, now)
	if decision.Result != queueing.Accepted {
		result := notSent(refusalReason(decision.Result))
		result.QueueWait = decision.QueueWait
		return job, result
	}
	if result := x.refusedWhileCold(c, job, decision.ResponseTime, load.Waiting, now); result != nil {
		return job, result
	}
	if reason := x.awaitLink(ctx, c, job, from); reason != "" {
		return job, notSent(reason)
	}
	body, err := from.Accept(ctx, x.bodyTimeoutFor(c))
	if errors.Is(err, h1.ErrBodyRefused) {
		return job, notSent(board.ReasonBodyMemory)
	}
	if err != nil {
		return job, notSent(board.ReasonBodyMissing)
	}
	if body != nil {
		c.Body = body
	}
	if quarantineLeft(x.Board, c, now) > 0 {
		return job, notSent(board.ReasonQuarantined)
	}
	if reason := x.acquireSlot(ctx, job, x.availableSlots(server)); reason != "" {
		return job, x.notStarted(job, reason, decision.QueueWait)
	}
	return job, nil
}

// observeOrigin records where a call entered and reports whether it is nested. Nested
// calls carry no API key, so those of customers say nothing about the others of the rule.
func (x *Executor) observeOrigin(c *Call) bool {
	if c.Customer != "" {
		return false
	}
	stats := x.Board.CallStats.ForRule(c.Rule)
	stats.ObserveOrigin(c.CallerService)
	service, same, other := stats.Origins()
	if service != c.CallerService {
		return false
	}
	fleet := x.Board.Fleet.Load()
	share := float64(len(fleet.ByService[service])) / float64(max(1, fleet.Size))
	return nesting.MadeByServers(nesting.Origins{Same: same, Other: other, Share: share})
}

// meanServiceTimeOr returns the mean service time of all calls, or the given
// time if there are no samples yet.
func (x *Executor) meanServiceTimeOr(nominalTime time.Duration) time.Duration {
	if mean := x.meanServiceTime.ServiceTime(); mean > 0 {
		return mean
	}
	return nominalTime
}

func refusalReason(r queueing.Result) board.Reason {
	switch r {
	case queueing.SlowerThanAlternative:
		return board.ReasonSlowerThanAlternative
	case queueing.TooLate:
		return board.ReasonDeadlineBeforeStart
	case queueing.NodeStops:
		return board.ReasonNodeStopping
	}
	return board.ReasonOverloaded
}

// checkServer returns why the backend server cannot take the call, or "" if it
// can.
func checkServer(server *board.BackendServer, c *Call, serverID string) board.Reason {
	switch {
	case server.ID == "" || server.Down || server.Unconfirmed:
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

// runOnServer sends a call that holds a slot to the backend server.
func (x *Executor) runOnServer(ctx context.Context, c *Call, admittedTo *board.BackendServer, job queueing.Job, from sender) *Result {
	server := x.Board.LocalServer.Load()
	granted := time.Now()
	release := sync.OnceFunc(func() {
		held := time.Since(granted)
		x.releaseSlot(job, held, x.availableSlots(x.Board.LocalServer.Load()))
		x.recordSlotTime(c, held)
	})
	slotPassedOn := false
	defer func() {
		if !slotPassedOn {
			release()
		}
	}()
	now := time.Now()
	switch {
	case server.ID != admittedTo.ID || server.StartMillis != admittedTo.StartMillis:
		return notSent(board.ReasonWrongIncarnation)
	case server.State >= board.ServerDraining && now.Sub(server.DrainingSince) > x.DrainTime-drainMargin:
		return notSent(board.ReasonDraining)
	case x.evacuated():
		return notSent(board.ReasonEvacuated)
	case now.After(c.Deadline):
		// The process was paused, or the body came late. The caller has left.
		return notSent(board.ReasonDeadlineBeforeStart)
	}
	if job.EndBy = x.endBy(c.EndBy); !queueing.CanStart(job, now) {
		return notSent(board.ReasonNodeStopping)
	}
	tracked := x.tracker.start(job, x.currentSpeed(server, now).CurrentSlowdown(), now, from.NotifySlow)
	concurrent := x.queue.Running()
	expectedBytes := x.Board.CallStats.ForRule(c.Rule).ResponseSize()
	x.Board.Link.AddPending(expectedBytes)
	ctx, cancel := context.WithCancel(ctx)
	watch := (&deadlineWatch{cancel: cancel, call: c, deadline: c.Deadline.Add(entrySilence), role: "executor", log: &x.Log, metrics: x.Metrics}).start()
	result := x.sendToServer(ctx, c, server)
	x.Board.Link.AddPending(-expectedBytes)
	ended := time.Now()
	serviceTime := x.tracker.finish(tracked, ended)
	if job.Nested {
		x.slotUse.addNested(ended.Sub(now), ended)
	}
	if result.Outcome == Unknown && result.Reason == board.ReasonCanceledByCaller {
		x.abandon(tracked, ended)
	}
	concurrent = (concurrent + x.queue.Running() + 1) / 2
	if result.buffered || result.Body == nil {
		watch.stop()
		cancel()
		x.reportEnd(c, server, tracked, result.end())
		release()
	} else {
		slotPassedOn = true
		result.Body = onClose(watch.follow(result.Body), cancel)
		result.Body = onClose(h1.ObserveEnd(result.Body, func(err error) {
			x.reportEnd(c, server, tracked, result.endOfBody(ctx, err))
		}), release)
	}
	if result.Outcome == Answered && result.Status < http.StatusInternalServerError {
		x.recordSample(c, serviceTime, tracked.maxSlowdown, concurrent, server.Slots)
		x.meanServiceTime.AddServiceTime(serviceTime)
		x.Board.CallStats.ForRule(c.Rule).AddServiceTime(serviceTime)
	}
	return result
}

// recordSample adds the service time of a call to the samples from which the
// concurrency limit is computed. Calls during which the host was slow are
// skipped.
func (x *Executor) recordSample(c *Call, serviceTime time.Duration, maxSlowdown float64, concurrent, slots int) {
	sample := concurrency.Sample{Running: concurrent, Slots: slots, MaxSlowdown: maxSlowdown}
	if sample.HostSlow() {
		return
	}
	stats := x.Board.CallStats.ForRule(c.Rule)
	if sample.LowLoad() {
		stats.AddLowLoadTime(serviceTime)
	}
	if lowLoadTime := stats.LowLoadTime(); lowLoadTime > 0 {
		sample.RelativeTime = float64(serviceTime) / float64(lowLoadTime)
		now := time.Now()
		if decision := x.tracker.addSample(sample, now); decision != nil {
			x.Board.ServerLoad.SetContention(decision.Contention())
			x.Log.Info().Str("event", "concurrency").Float64("full_to_calm", decision.HighToLowLoadRatio()).
				Int("limit", decision.Limit(slots, board.ContentionUnknown, false, now)).Int("slots", slots).Send()
		}
	}
}

// OnLoadReport stores a load report of the backend server.
func (x *Executor) OnLoadReport(report board.ServerLoadReport) {
	report.ReceivedAt = time.Now()
	report.MinSlowdown = x.tracker.applyLoadReport(report.Slowdown, defaultMinSlowdown(x.Board.LocalServer.Load(), report.ReceivedAt), report.ReceivedAt)
	x.Board.ServerLoad.SetReport(report)
	x.observePeers()
}

// HandleHop responds to a call that another node forwards.
func (x *Executor) HandleHop(ctx context.Context, r *h1.Request) *h1.Response {
	var hop hopRequest
	if err := decodeHop(r.Header.Get(hopHeader), &hop); err != nil {
		x.Log.Warn().Err(err).Str("event", "hop_refused").Msg("malformed hop header")
		return &h1.Response{Status: http.StatusBadRequest}
	}
	if !r.AwaitsContinue() {
		x.Log.Warn().Str("event", "hop_refused").Str("id", hop.ID).Msg("hop request without Expect: 100-continue")
		return &h1.Response{Status: http.StatusBadRequest}
	}
	x.Board.ReceiveEvacuation(hop.Evacuation, hop.FromAddr)
	x.Board.ReceiveConfigAdvertisement(hop.Config, hop.FromAddr, r.ReceivedAt)
	r.Header.Del(hopHeader)
	c := hop.toCall(r.ReceivedAt)
	c.Method, c.Target, c.Host, c.Header, c.Body = r.Method, r.Target, r.Host, r.Header, r.Body
	h1.RemoveHopByHopHeaders(c.Header)
	if !x.mayAcceptFrom(hop.Config) {
		return x.hopResponse(&hop, x.refuseHop(c, board.ReasonNoConfiguration, r.ReceivedAt))
	}
	if x.Board.Shutdown.Load().Leaving {
		// The entry does not know yet that this node leaves. The process may end before
		// the call does.
		return x.hopResponse(&hop, x.refuseHop(c, board.ReasonNodeStopping, r.ReceivedAt))
	}
	result := x.Execute(ctx, c, hop.ServerID, time.Duration(hop.MaxResponseTimeMicros)*time.Microsecond, remoteSender{r, hop.BodySize})
	return x.hopResponse(&hop, result)
}

// hopResponse returns the response to another node with the result of a call.
func (x *Executor) hopResponse(hop *hopRequest, result *Result) *h1.Response {
	response := &h1.Response{
		Status: result.Status, Header: result.Header, Body: paceBody(x.Board.Link, result.Body, result.Length), ContentLength: result.Length,
	}
	if result.Outcome != Answered {
		response.Status = http.StatusServiceUnavailable
	}
	if response.Header == nil {
		response.Header = http.Header{}
	}
	response.Header.Set(hopHeader, encodeHop(hopResponse{
		Outcome: result.Outcome, Reason: result.Reason, Load: *result.Load,
		ServiceTimeMicros: result.ServiceTime.Microseconds(), QueueWaitMicros: result.QueueWait.Microseconds(),
		Config: x.Board.ConfigAdvertisement(time.Now()), Executor: x.Board.Self.Instance,
		Evacuation: x.Board.EvacuationHopAdvertisement(), ID: hop.ID, Offer: hop.Offer,
	}))
	return response
}

// IsHop reports whether a request between nodes carries a call.
func IsHop(r *h1.Request) bool { return r.Header.Get(hopHeader) != "" }

// Name returns the controller name.
func (x *Executor) Name() string { return "executor" }

// Run refuses the queued calls when the backend server is gone or down, or when its
// failure domain is evacuated, and those that cannot end before this node or their entry
// does. It returns when ctx ends.
func (x *Executor) Run(ctx context.Context) {
	changed := x.Board.LocalServer.Subscribe()
	evacuationChanged := x.Board.Evacuation.Subscribe()
	shutdownChanged := x.Board.Shutdown.Subscribe()
	// stopChecks is nil while no queued call is known to have to end early.
	var stopChecks <-chan time.Time
	for {
		if x.refuseUnfinishable(time.Now()) && stopChecks == nil {
			stopChecks = time.After(stopCheckInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			if server := x.Board.LocalServer.Load(); server.Down || server.State == board.ServerGone {
				x.queue.RefuseAll(board.ReasonBackendDown)
				continue
			}
			// The backend server may be warm now.
			x.wakeQueue()
		case <-evacuationChanged:
			if x.evacuated() {
				x.queue.RefuseAll(board.ReasonEvacuated)
			}
		case <-shutdownChanged:
		case stop := <-x.Board.EntryStops.Events():
			x.applyEntryStop(stop)
		case <-stopChecks:
			stopChecks = nil
		}
	}
}
