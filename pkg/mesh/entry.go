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
	"mangostand.example/mangostand/pkg/decide/pacing"
	"mangostand.example/mangostand/pkg/decide/queueing"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/pkg/metrics"
)

// Entry is the ingress of the mesh: it receives requests of callers and
// forwards them to executors.
type Entry struct {
	Board *board.MeshBoard
	Peers *h1.Pool
	// LocalExecutor is the executor of this node; calls to it skip the network.
	LocalExecutor *Executor
	Codec         Codec
	Log           zerolog.Logger
	Metrics       *metrics.MeshMetrics
	// AttemptLimit bounds the additional attempts per service within
	// AttemptWindow. Its slack is that of the whole fleet, of which this node
	// uses an equal share.
	AttemptLimit  attempts.Limit
	AttemptWindow time.Duration
	// RevocationTime is the time in which a withdrawn API key is void, also without
	// contact to the store. 0 means that there is no such limit.
	RevocationTime time.Duration
	// CrossDomainTimePerMB is the time that a megabyte between failure domains is
	// worth; 0 means that bytes do not count.
	CrossDomainTimePerMB time.Duration

	inFlight atomic.Int64
	// offers numbers the offers to other nodes.
	offers atomic.Uint64
	// coldRoom holds, for each service with cold backend servers, what was promised to
	// refused callers.
	coldRoom coldRoom
}

const (
	// noConfigRetryAfter is the Retry-After while the node has no configuration
	// yet. A starting node needs a few calls to the store to get it.
	noConfigRetryAfter = 200 * time.Millisecond
	// noServerRetryAfter is the Retry-After while no backend server is known:
	// heartbeats and node records arrive within a few hundred milliseconds.
	noServerRetryAfter = 100 * time.Millisecond
	// bodyRetryAfter is the Retry-After while the node holds too many bytes of request
	// bodies. A body is held for about the time of a call.
	bodyRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the least Retry-After of a call that would not end before the
	// node does. A retry at once would meet the same node.
	stoppingRetryAfter = 500 * time.Millisecond
)

// RefuseBody responds to a request whose body this node cannot hold.
func (e *Entry) RefuseBody(r *h1.Request) *h1.Response {
	id, _ := e.Codec.ParseCallerHeader(r.Header, r.ReceivedAt)
	return e.refuse(e.Board.Routes.Load().Version, id, http.StatusServiceUnavailable, board.ReasonBodyMemory, bodyRetryAfter)
}

// InFlight returns the number of calls without a response.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// Handle responds to one request of a caller.
func (e *Entry) Handle(ctx context.Context, r *h1.Request) *h1.Response {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	id, deadline := e.Codec.ParseCallerHeader(r.Header, r.ReceivedAt)
	table := e.Board.Routes.Load()
	if table.Version == 0 {
		return e.refuse(table.Version, id, http.StatusServiceUnavailable, board.ReasonNoConfiguration, noConfigRetryAfter)
	}
	if id == "" {
		return e.refuse(table.Version, id, http.StatusBadRequest, board.ReasonMalformedRequest, 0)
	}
	rule := table.MatchRule(r.Host, r.Target)
	if rule == nil {
		return e.refuse(table.Version, id, http.StatusNotFound, board.ReasonNoRoute, 0)
	}
	identified := e.identifyCustomer(table, rule, r.Header)
	if response := e.refuseCredential(table.Version, id, identified); response != nil {
		return response
	}
	objective, timeUsed := r.ReceivedAt.Add(rule.LatencyObjective), time.Duration(0)
	if !deadline.IsZero() {
		timeUsed = e.Board.CallStats.ForRule(rule.Name).ObserveCallerTimeout(deadline.Sub(r.ReceivedAt))
		objective = objective.Add(-timeUsed)
	}
	timeoutAt := r.ReceivedAt.Add(rule.Timeout)
	if deadline.IsZero() || deadline.After(timeoutAt) {
		deadline = timeoutAt
	}
	service := rule.PickService(rand.Float64())
	c := newCall(id, rule, service)
	c.Method, c.Target, c.Host, c.Header, c.Body = r.Method, r.Target, r.Host, r.Header, r.Body
	if rule.LargeRequests && len(c.Body) >= pacing.MinPacedBytes {
		c.BodyBytes = int64(len(c.Body))
	}
	c.Received, c.Deadline, c.Objective = r.ReceivedAt, deadline, objective
	c.CallerService, c.ConfigVersion = e.Board.Self.Service, table.Version
	c.EndBy = e.Board.Shutdown.Load().ExitAt
	if holder := identified.Customer; holder != nil {
		c.Customer, c.CustomerRank, c.Retry = holder.Name, holder.PriorityRank, queueing.IsRetry(timeUsed)
	}
	c.HoldsCallerSlot = isNested(table, rule, c)
	h1.RemoveHopByHopHeaders(c.Header)
	c.Header.Del(hopHeader)
	if retryAfter := quarantineLeft(e.Board, c, r.ReceivedAt); retryAfter > 0 {
		return e.refuseCustomer(table.Version, c.Customer, id, http.StatusServiceUnavailable, board.ReasonQuarantined, retryAfter)
	}
	if response := e.admitByQuota(ctx, c, identified.Customer); response != nil {
		return response
	}
	e.Board.AttemptCounters.AddCall(service, e.AttemptWindow, time.Now())
	return e.forwardCall(ctx, c)
}

// chargeAttempt takes one additional attempt for a service from the attempt
// budgets. It returns false if they do not allow one.
func (e *Entry) chargeAttempt(service string, cause attempts.Cause) bool {
	now := time.Now()
	limit := e.AttemptLimit
	limit.Slack /= float64(max(1, e.Board.Fleet.Load().Size))
	charges, allowed := attempts.Charge(service, e.Board.AttemptCounters.Counts(e.AttemptWindow, now), limit, cause)
	for name, amount := range charges {
		e.Board.AttemptCounters.AddAttempts(name, amount, e.AttemptWindow, now)
	}
	return allowed
}

// refuse responds to a request that is not forwarded, as a version of the routes
// decided.
func (e *Entry) refuse(version uint64, id string, status int, reason board.Reason, retryAfter time.Duration) *h1.Response {
	return e.refuseCustomer(version, "", id, status, reason, retryAfter)
}

// refuseCustomer is refuse for a request of a customer, "" for none.
func (e *Entry) refuseCustomer(version uint64, customer, id string, status int, reason board.Reason, retryAfter time.Duration) *h1.Response {
	e.recordRefusal(customer, reason)
	withCustomer(e.Log.Info(), customer).Str("event", "refused").Str("id", id).Int("status", status).Str("reason", string(reason)).
		Uint64("config_version", version).Dur("retry_after", retryAfter).Send()
	e.Metrics.RecordEntryCall("refused", string(reason), 0)
	response := &h1.Response{Status: status, Header: http.Header{}, BufferedBody: []byte(string(reason) + "\n")}
	e.Codec.SetLocalReplyHeader(response.Header, id, retryAfter)
	return response
}

// forwardCall forwards a call and returns the response for the caller.
func (e *Entry) forwardCall(ctx context.Context, c *Call) *h1.Response {
	callCtx, cancel := context.WithCancel(ctx)
	watch := (&deadlineWatch{cancel: cancel, call: c, deadline: c.Deadline, role: "entry", log: &e.Log, metrics: e.Metrics}).start()
	f := &forwarder{entry: e, call: c}
	result := f.forward(callCtx)
	giveBackQuota(c, result.Outcome)
	// A response that has arrived, or still arrives, is delivered even if the deadline
	// passes meanwhile.
	if result.Outcome == Answered && !result.buffered && result.Body != nil {
		result.Body = watch.follow(result.Body)
	} else {
		watch.stop()
	}
	elapsed := time.Since(c.Received)
	response := e.buildResponse(c, result)
	e.logCall(f, result, response.Status, elapsed)
	if result.Outcome != Answered {
		cancel()
		return response
	}
	response.Body = onClose(paceBody(e.Board.Link, result.Body, result.Length), cancel)
	return response
}

// buildResponse returns the backend server's response, or one that tells the
// caller why there is none: 503 if the call was not executed, 502 or 504 if
// it may have been.
func (e *Entry) buildResponse(c *Call, result *Result) *h1.Response {
	if result.Outcome == Answered {
		return &h1.Response{Status: result.Status, Header: result.Header, Body: result.Body, ContentLength: result.Length}
	}
	response := &h1.Response{Header: http.Header{}, BufferedBody: []byte(result.Outcome.String() + ": " + string(result.Reason) + "\n")}
	switch {
	case result.Outcome != Unknown:
		response.Status = http.StatusServiceUnavailable
		advice := retryAfter(c, result, rand.Float64())
		switch result.Reason {
		case board.ReasonWarmingUp:
			advice = e.retryAfterWhileCold(c.Service, result.QueueWait, time.Now())
		case board.ReasonEvacuated:
			advice = evacuatedRetryAfter
		}
		e.Codec.SetLocalReplyHeader(response.Header, c.ID, advice)
		return response
	case time.Now().Before(c.Deadline):
		response.Status = http.StatusBadGateway
	default:
		response.Status = http.StatusGatewayTimeout
	}
	e.Codec.SetLocalReplyHeader(response.Header, c.ID, 0)
	return response
}

// retryAfter returns the Retry-After of a refused call. Callers of customers return
// at different times, given by a position from 0 to 1.
func retryAfter(c *Call, result *Result, position float64) time.Duration {
	wait, objectiveLeft, deadlineLeft := max(result.QueueWait, minRetryAfter(result.Reason)), time.Until(c.Objective), time.Until(c.Deadline)
	if c.Customer != "" {
		return queueing.SpreadRetryAfter(wait, objectiveLeft, deadlineLeft, result.ServiceTime, position)
	}
	return queueing.RetryAfter(wait, objectiveLeft, deadlineLeft, result.ServiceTime)
}

// minRetryAfter returns the least Retry-After for a refusal with the reason.
func minRetryAfter(reason board.Reason) time.Duration {
	switch reason {
	case board.ReasonNoServer:
		return noServerRetryAfter
	case board.ReasonBodyMemory:
		return bodyRetryAfter
	case board.ReasonNodeStopping:
		return stoppingRetryAfter
	}
	return 0
}

func (e *Entry) logCall(f *forwarder, result *Result, status int, elapsed time.Duration) {
	c := f.call
	event := e.Log.Info()
	if result.Outcome != Answered {
		event = e.Log.Warn()
	}
	if result.Outcome == NotSent || result.Outcome == Rejected {
		e.recordRefusal(c.Customer, result.Reason)
	}
	withCustomer(event, c.Customer).Str("event", "call").Str("id", c.ID).Str("rule", c.Rule).Str("service", c.Service).
		Uint64("config_version", c.ConfigVersion).Str("outcome", result.Outcome.String()).Str("reason", string(result.Reason)).
		Int("status", status).Str("executor", string(f.lastExecutor)).Int("offers", f.offers).Int("sent", f.attemptsSent).
		Dur("expected", f.expectedTime).Dur("load_age", f.loadAge).Dur("took", elapsed).
		Str("domain_cause", f.locality.Cause.String()).Float64("leaving_share", f.locality.State.Share).Float64("leaving_target", f.locality.Target).Dur("leaving_age", f.locality.Age).
		Dur("left", time.Until(c.Deadline)).Send()
	e.Metrics.RecordEntryCall(result.Outcome.String(), string(result.Reason), elapsed)
}
