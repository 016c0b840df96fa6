package mesh

import (
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/queueing"
	"mangostand.example/mangostand/pkg/decide/warmup"
)

// minWarmupWake is the shortest time after which the queue is tried again. Two
// goroutines that compete for the last call of the allowance may both be refused
// although there is room.
const minWarmupWake = time.Millisecond

// overtakingCalls is the number of later calls that are expected to be sent before a
// queued one, since other executors have refused them before. Without it calls at the
// end of the queue are refused only when it is too late for them.
const overtakingCalls = 1

// warmupLimiter limits the calls to the backend server of this node while it is cold.
type warmupLimiter struct {
	window sendWindow
	// wakeArmed is set while a timer is due to try the queue again.
	wakeArmed atomic.Bool
}

// warmupPolicy returns the limit that the configuration sets for the service of this
// node.
func (x *Executor) warmupPolicy() warmup.Policy {
	cluster := x.Board.Routes.Load().Clusters[x.Board.Self.Service]
	if cluster == nil {
		return warmup.Policy{}
	}
	return warmup.Policy{Duration: cluster.Warmup.Duration, Rate: cluster.Warmup.Rate, Overshoot: x.WarmupOvershoot, Slack: x.WarmupSlack}
}

// warmupState returns what is known about the warm-up of a backend server.
func warmupState(server *board.BackendServer) warmup.ServerState {
	return warmup.ServerState{Reported: server.WarmupReported, ReportedEnd: server.WarmupEndsAt, StartedAt: server.StartedAt}
}

// OnWarmup announces that the backend server reported in a response how long it stays
// cold, if the configuration limits cold backend servers and the report changes what
// is known.
func (x *Executor) OnWarmup(server *board.BackendServer, left time.Duration) {
	if !x.warmupPolicy().Enabled() || !warmupState(x.Board.LocalServer.Load()).ChangedBy(left, time.Now()) {
		return
	}
	x.Board.Announcements.Post(board.ServerEvent{Kind: board.ServerEventWarmup, Server: *server, Warmup: left, WarmupReported: true})
}

// unknownSendsUntil returns the time until which an earlier process of the node may
// have sent calls that count.
func (x *Executor) unknownSendsUntil() time.Time {
	if x.StartedAt.IsZero() {
		return time.Time{}
	}
	return x.StartedAt.Add(warmup.SenderStartGap)
}

// warmupDecision returns the decision on a call that is sent after ahead other calls.
func (x *Executor) warmupDecision(ahead int, now time.Time) warmup.Decision {
	policy := x.warmupPolicy()
	if !policy.Enabled() {
		return warmup.Decision{}
	}
	sender := warmup.Sender{History: x.warmup.window.history(now), UnknownUntil: x.unknownSendsUntil()}
	return policy.Decide(warmupState(x.Board.LocalServer.Load()), sender, ahead, now)
}

// permitSend counts a call that is about to be sent and reports whether the limit of a
// cold backend server permits it. The calls to a warm backend server count as well,
// since it may become cold at any moment.
func (x *Executor) permitSend() bool {
	now := time.Now()
	policy := x.warmupPolicy()
	if !policy.Enabled() || !policy.ColdUntil(warmupState(x.Board.LocalServer.Load())).After(now) {
		x.warmup.window.add(now)
		return true
	}
	if !now.Before(x.unknownSendsUntil()) && x.warmup.window.tryAdd(policy.Allowance(), now) {
		return true
	}
	x.wakeQueueIn(max(minWarmupWake, x.warmupDecision(0, now).Wait))
	return false
}

// wakeQueueIn tries after a delay to grant slots to the queued calls. A pending
// attempt is not replaced: it comes at most a second later and arranges the next one.
func (x *Executor) wakeQueueIn(delay time.Duration) {
	if !x.warmup.wakeArmed.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(delay, func() {
		x.warmup.wakeArmed.Store(false)
		x.wakeQueue()
	})
}

// wakeQueue grants free slots to the queued calls.
func (x *Executor) wakeQueue() {
	slots := x.availableSlots(x.Board.LocalServer.Load())
	x.queue.Grant(slots, x.nextJob(slots))
}

// refusedWhileCold returns the result of a call that the backend server cannot get in
// time because it is cold, or nil. ahead is the number of calls that are sent before it
// and expected its response time without the wait.
func (x *Executor) refusedWhileCold(c *Call, job queueing.Job, expected time.Duration, ahead int, now time.Time) *Result {
	decision := x.warmupDecision(ahead, now)
	if decision.Wait <= 0 {
		return nil
	}
	var result *Result
	switch {
	case job.MaxResponseTime > 0 && expected+decision.Wait > job.MaxResponseTime:
		result = notSent(board.ReasonSlowerThanAlternative)
	case now.Add(x.warmupDecision(ahead+overtakingCalls, now).Wait).After(queueing.LatestStart(job)):
		result = notSent(board.ReasonWarmingUp)
	default:
		return nil
	}
	result.QueueWait = decision.Wait
	x.logRefusedWhileCold(c, result, decision, now)
	return result
}

// notStarted returns the result of a call that waited in the queue and got no slot.
func (x *Executor) notStarted(job queueing.Job, reason board.Reason, expectedWait time.Duration) *Result {
	result := refusedInQueue(job, reason, expectedWait)
	if reason != board.ReasonDeadlineBeforeStart {
		return result
	}
	if wait := x.warmupDecision(x.queue.Waiting(), time.Now()).Wait; wait > 0 {
		result.Reason, result.QueueWait = board.ReasonWarmingUp, wait
	}
	return result
}

// logRefusedWhileCold logs a refusal with the inputs of the decision and their age.
func (x *Executor) logRefusedWhileCold(c *Call, result *Result, decision warmup.Decision, now time.Time) {
	server, policy := x.Board.LocalServer.Load(), x.warmupPolicy()
	x.Metrics.IncrementCounter("warmup_refused", map[string]string{"reason": string(result.Reason)})
	x.Log.Info().Str("event", "warmup_refused").Str("id", c.ID).Str("reason", string(result.Reason)).Str("server", server.ID).
		Int64("born", server.StartMillis).Bool("reported", server.WarmupReported).Dur("state_age", now.Sub(server.LastHeardAt)).
		Dur("cold_for", decision.ColdFor).Dur("wait", decision.Wait).Int("sent", x.warmup.window.history(now).Sent()).
		Int("allowance", policy.Allowance().PerSecond).Float64("rate", policy.Rate).Float64("bound", policy.Bound()).
		Uint64("config_version", x.Board.Routes.Load().Version).Send()
}
