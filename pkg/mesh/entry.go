package mesh

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/attempts"
	"mangostand.example/mangostand/pkg/decide/queueing"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/pkg/metrics"
)

// Entry carries the calls of the callers beside this node to executors.
type Entry struct {
	Board *board.MeshBoard
	Peers *h1.Pool
	// LocalExecutor is the executor of this node; calls to it skip the network.
	LocalExecutor *Executor
	Codec         Codec
	Log           zerolog.Logger
	Metrics       *metrics.Mesh
	// AttemptLimit bounds the additional attempts for a service of all nodes in the
	// window.
	AttemptLimit  attempts.Limit
	AttemptWindow time.Duration

	active atomic.Int64
}

const (
	// noConfigRetry is advised while the node knows no configuration, which
	// takes a starting node a few calls to the store.
	noConfigRetry = 200 * time.Millisecond
	// noServerRetry is advised while no backend server is known: heartbeats and
	// records arrive within a few hundred milliseconds.
	noServerRetry = 100 * time.Millisecond
)

// InFlight returns the number of calls that are not answered yet.
func (e *Entry) InFlight() int { return int(e.active.Load()) }

// Handle answers one request of a caller.
func (e *Entry) Handle(ctx context.Context, r *h1.Request) *h1.Response {
	e.active.Add(1)
	defer e.active.Add(-1)
	id, deadline := e.Codec.CallOf(r.Header, r.Received)
	table := e.Board.Routes.Load()
	if table.Version == 0 {
		return e.refuse(id, http.StatusServiceUnavailable, board.ReasonNoConfiguration, noConfigRetry)
	}
	if id == "" {
		return e.refuse(id, http.StatusBadRequest, board.ReasonMalformedRequest, 0)
	}
	rule := table.Find(r.Host, r.Target)
	if rule == nil {
		return e.refuse(id, http.StatusNotFound, board.ReasonNoRoute, 0)
	}
	objective := r.Received.Add(rule.Objective)
	if !deadline.IsZero() {
		objective = objective.Add(-e.Board.CallStats.ForRule(rule.Name).ObserveCallerTimeout(deadline.Sub(r.Received)))
	}
	latest := r.Received.Add(rule.Timeout)
	if deadline.IsZero() || deadline.After(latest) {
		deadline = latest
	}
	service := rule.Choose(rand.Float64())
	c := newCall(id, rule, service)
	c.Method, c.Target, c.Host, c.Header, c.Body = r.Method, r.Target, r.Host, r.Header, r.Body
	c.Received, c.Deadline, c.Objective = r.Received, deadline, objective
	c.CallerService, c.Version = e.Board.Self.Service, table.Version
	h1.RemoveHopHeaders(c.Header)
	c.Header.Del(headerHop)
	if wait := refusedFor(e.Board, c, r.Received); wait > 0 {
		return e.refuse(id, http.StatusServiceUnavailable, board.ReasonQuarantined, wait)
	}
	e.Board.AttemptCounters.AddCall(service, e.AttemptWindow, time.Now())
	return e.answer(ctx, c)
}

// takeAttempt spends one more attempt for a service if the budgets allow it.
func (e *Entry) takeAttempt(service string, cause attempts.Cause) bool {
	now := time.Now()
	limit := e.AttemptLimit
	limit.Slack /= float64(max(1, e.Board.Fleet.Load().Size))
	spending, allowed := attempts.Charge(service, e.Board.AttemptCounters.Counts(e.AttemptWindow, now), limit, cause)
	for name, spend := range spending {
		e.Board.AttemptCounters.AddAttempts(name, spend, e.AttemptWindow, now)
	}
	return allowed
}

// refuse answers a request that is not carried.
func (e *Entry) refuse(id string, status int, reason board.Reason, retryAfter time.Duration) *h1.Response {
	e.Log.Info().Str("event", "refused").Str("id", id).Int("status", status).Str("reason", string(reason)).
		Uint64("config_version", e.Board.Routes.Load().Version).Dur("retry_after", retryAfter).Send()
	e.Metrics.Called("refused", string(reason), 0)
	response := &h1.Response{Status: status, Header: http.Header{}, Text: []byte(string(reason) + "\n")}
	e.Codec.Refusal(response.Header, id, retryAfter)
	return response
}

// answer carries a call and turns its outcome into an answer for the caller.
func (e *Entry) answer(ctx context.Context, c *Call) *h1.Response {
	work, cancel := context.WithCancel(ctx)
	due := time.AfterFunc(time.Until(c.Deadline), cancel)
	p := &passage{entry: e, call: c}
	a := p.carry(work)
	// A ready answer is delivered whole, also when the deadline passes.
	due.Stop()
	took := time.Since(c.Received)
	response := e.responseOf(c, a)
	e.logCall(p, a, response.Status, took)
	if a.Outcome != Answered {
		cancel()
		return response
	}
	response.Body = onClose(pace(e.Board.Link, a.Body, a.Length), cancel)
	return response
}

// responseOf chooses the answer for the caller.
func (e *Entry) responseOf(c *Call, a *Answer) *h1.Response {
	if a.Outcome == Answered {
		return &h1.Response{Status: a.Status, Header: a.Header, Body: a.Body, Length: a.Length}
	}
	response := &h1.Response{Header: http.Header{}, Text: []byte(a.Outcome.String() + ": " + string(a.Reason) + "\n")}
	switch {
	case a.Outcome != Unknown:
		response.Status = http.StatusServiceUnavailable
		advice := queueing.RetryAfter(max(a.Wait, waitOf(a.Reason)), time.Until(c.Objective), time.Until(c.Deadline), a.Work)
		e.Codec.Refusal(response.Header, c.ID, advice)
		return response
	case time.Now().Before(c.Deadline):
		response.Status = http.StatusBadGateway
	default:
		response.Status = http.StatusGatewayTimeout
	}
	e.Codec.Refusal(response.Header, c.ID, 0)
	return response
}

func waitOf(reason board.Reason) time.Duration {
	if reason == board.ReasonNoServer {
		return noServerRetry
	}
	return 0
}

func (e *Entry) logCall(p *passage, a *Answer, status int, took time.Duration) {
	c := p.call
	line := e.Log.Info()
	if a.Outcome != Answered {
		line = e.Log.Warn()
	}
	line.Str("event", "call").Str("id", c.ID).Str("rule", c.Rule).Str("service", c.Service).
		Uint64("config_version", c.Version).Str("outcome", a.Outcome.String()).Str("reason", string(a.Reason)).
		Int("status", status).Str("executor", string(p.last)).Int("offers", p.offers).Int("sent", p.sent).
		Dur("expected", p.expected).Dur("load_age", p.loadAge).Dur("took", took).
		Dur("left", time.Until(c.Deadline)).Send()
	e.Metrics.Called(a.Outcome.String(), string(a.Reason), took)
}
