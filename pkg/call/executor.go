package call

import (
	"context"
	"io"
	"math"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/backend"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/metrics"
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/slotqueue"
	"mangostand.example/mangostand/pkg/wire"
)

// Executor runs calls on the backend server of this node. It is safe for
// concurrent use.
type Executor struct {
	Instance    board.InstanceID
	Incarnation uint64
	Board       *board.Board
	Backend     *backend.Client
	// AtMostOnce runs the protocol that executes non-idempotent calls at most
	// once.
	AtMostOnce *atmostonce.KeyController
	Log        zerolog.Logger

	// Metrics holds the counters of admission. If it is nil, nothing is counted.
	Metrics *metrics.TrafficMetrics

	queue          slotqueue.Queue[queuedCall]
	reportSequence atomic.Uint64
}

// InFlight returns the number of calls that run on the backend server.
func (x *Executor) InFlight() int64 { return int64(x.queue.Running()) }

// LoadReport returns the current load of the executor, which is sent with each
// response.
func (x *Executor) LoadReport() board.LoadReport {
	local := x.Board.LocalServer.Load()
	return board.LoadReport{
		InFlight:               uint32(x.queue.Running()),
		Queued:                 uint32(x.queue.Waiting()),
		Limit:                  x.admissionLimits(local).ConcurrencyLimit,
		LatencyMicros:          uint32(min(x.Board.ServiceTimes.Median().Microseconds(), math.MaxUint32)),
		Draining:               local.Draining,
		Sequence:               x.reportSequence.Add(1),
		ServerReportedInFlight: local.ReportedInFlight,
	}
}

// HandleCall executes a call from another node and writes the response.
func (x *Executor) HandleCall(ctx context.Context, frame wire.Frame, stream *peer.Stream) error {
	var message wire.Call
	if err := frame.Decode(&message); err != nil {
		return errors.Trace(err)
	}
	result := x.Execute(ctx, &message)
	head := encodeResponse(&message, result, x)
	if err := wire.WriteMessage(stream, wire.TypeCallResponse, head); err != nil {
		closeBody(result.Body)
		return errors.Trace(err)
	}
	if result.Body == nil {
		return nil
	}
	_, err := io.Copy(stream, result.Body)
	if closeErr := result.Body.Close(); err == nil {
		err = closeErr
	}
	// An error aborts the stream, so the entry sees an incomplete response.
	return errors.Trace(err)
}

func closeBody(body io.ReadCloser) {
	if body != nil {
		_ = body.Close()
	}
}

func encodeResponse(message *wire.Call, result *Result, x *Executor) *wire.CallResponse {
	return &wire.CallResponse{
		RequestID: message.RequestID, Outcome: result.Outcome, Reason: string(result.Reason),
		Status: uint16(result.Status), Header: encodeHeader(result.Header),
		ContentLength: result.ContentLength, LoadReport: result.LoadReport,
		AttemptsUsed:  int16(max(-maxEncodedAttempts, min(result.AttemptsUsed, maxEncodedAttempts))),
		ConfigVersion: x.Board.Config.Load().Version,
		Epoch:         x.responseEpoch(message),
	}
}

// Execute checks a call, admits it and runs it on the backend server. The
// request record stays on the board until the body of the result is closed.
func (x *Executor) Execute(ctx context.Context, message *wire.Call) *Result {
	record := &board.RequestRecord{
		ID: message.RequestID, Service: message.Service, Caller: message.Caller, Digest: message.RequestDigest, Started: time.Now(),
	}
	local := x.Board.LocalServer.Load()
	record.ExecutionResult = func() board.ExecutionResult { return connectionLostResult(message, local) }
	x.Board.Requests.Add(record)
	result := x.executeInCallTree(ctx, message, record)
	x.sealRefusedGrant(message, result)
	record.Finish(result.Outcome)
	result.Body = onClose(result.Body, func() { x.Board.Requests.Remove(record) })
	result.LoadReport = x.LoadReport()
	return result
}

// executeInCallTree executes a call with the attempt budget of its call tree on
// the board, where nested calls find it, and reports how many attempts they
// used.
func (x *Executor) executeInCallTree(ctx context.Context, message *wire.Call, record *board.RequestRecord) *Result {
	delegated := int(message.AttemptsLeft)
	deadline := record.Started.Add(time.Duration(message.TimeToDeadlineMicros) * time.Microsecond)
	treeBudget := x.Board.TreeBudgets.Open(message.TreeID, delegated, deadline)
	result := x.execute(ctx, message, record)
	result.AttemptsUsed = x.Board.TreeBudgets.Close(message.TreeID, treeBudget, delegated)
	result.fromExecutor = true
	return result
}

// execute checks, admits and runs a call, and records the outcome of a
// non-idempotent one.
func (x *Executor) execute(ctx context.Context, message *wire.Call, record *board.RequestRecord) *Result {
	local := x.Board.LocalServer.Load()
	if reason := x.refusalReason(local, message); reason != "" {
		countRetired(x.Board, reason, message.Caller, message.Service)
		return NotRunResult(reason)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(message.TimeToDeadlineMicros)*time.Microsecond)
	if ctx.Err() != nil {
		cancel()
		return NotRunResult(board.ReasonDeadlineBeforeStart)
	}
	if reason := x.acquireSlot(ctx, local, message, record); reason != "" {
		cancel()
		return NotRunResult(reason)
	}
	ctx, cancel, execution, refusal := x.beginAtMostOnce(ctx, cancel, message)
	if refusal != nil {
		cancel()
		x.release(local)
		return refusal
	}
	record.Advance(board.RequestRunning)
	started := time.Now()
	result := x.runOnServer(ctx, local, message)
	x.observeResponseEnd(ctx, result, message, local)
	result = recordOutcome(execution, result)
	result.Body = onClose(result.Body, func() {
		x.finishExecution(local, result, time.Since(started))
		cancel()
	})
	return result
}

// refusalReason returns the reason to refuse a call before it is admitted, or
// "" if there is none.
func (x *Executor) refusalReason(local *board.LocalServer, message *wire.Call) board.Reason {
	switch {
	case !local.Announced:
		return board.ReasonBackendDown
	case local.Draining:
		return board.ReasonDraining
	case local.Service != message.Service:
		return board.ReasonNoServer
	case message.ExecutorIncarnation != 0 && message.ExecutorIncarnation != x.Incarnation:
		return board.ReasonWrongIncarnation
	case x.isQuarantined(message):
		return board.ReasonQuarantined
	}
	config := x.Board.Config.Load()
	if service := config.Services[message.Service]; service != nil {
		route := service.MatchRoute(message.Method, message.Path)
		if service.Retired || (route != nil && route.Retired) {
			return board.ReasonRetired
		}
	}
	return ""
}

// runOnServer sends the call to the backend server and returns its response. If
// no connection can be made, it announces the server as down.
func (x *Executor) runOnServer(ctx context.Context, local *board.LocalServer, message *wire.Call) *Result {
	response, err := x.Backend.Do(ctx, &backend.Request{
		Addr: local.Addr, Method: message.Method, Path: message.Path, Query: message.Query,
		Header: decodeHeader(message.Header), Body: message.Body, RequestID: message.RequestID,
		Caller: message.Caller, TreeID: message.TreeID, Depth: int(message.Depth), AttemptsLeft: int(message.AttemptsLeft),
		IdempotencyKey: message.Key,
	})
	switch {
	case err == nil:
		return &Result{
			Outcome: outcomeFromStatus(response.Status), Status: response.Status, Header: response.Header,
			Body: response.Body, ContentLength: response.ContentLength,
		}
	case errors.Is(err, backend.ErrNotSent):
		if ctx.Err() != nil {
			return NotRunResult(board.ReasonDeadlineBeforeStart)
		}
		x.Board.Announcements.Post(board.Announcement{Kind: board.AnnounceDown, Server: *local})
		return NotRunResult(board.ReasonBackendDown)
	case ctx.Err() != nil:
		return UnknownResult(noResponseReason(ctx))
	}
	return UnknownResult(board.ReasonConnectionLost)
}
