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
	"mangostand.example/mangostand/pkg/wire"
)

// Executor runs calls on the local backend server. Any goroutine may use it.
type Executor struct {
	Instance    board.InstanceID
	Incarnation uint64
	Board       *board.Board
	Backend     *backend.Client
	// AtMostOnce is the key protocol of this node.
	AtMostOnce *atmostonce.KeyController
	Log        zerolog.Logger

	// Metrics receives the counts of admission; nil drops them.
	Metrics *metrics.Traffic

	gate    gate
	reports atomic.Uint64
}

// InFlight returns the calls that run on the backend server now.
func (x *Executor) InFlight() int64 { return x.gate.running.Load() }

// LoadReport returns the load report that rides on each answer.
func (x *Executor) LoadReport() board.LoadReport {
	local := x.Board.LocalServer.Load()
	return board.LoadReport{
		InFlight:               uint32(x.gate.running.Load()),
		Queued:                 uint32(x.gate.waiting.Load()),
		Limit:                  x.admission(local).ConcurrencyLimit,
		LatencyMicros:          uint32(min(x.Board.ServiceTimes.Median().Microseconds(), math.MaxUint32)),
		Draining:               local.Draining,
		Sequence:               x.reports.Add(1),
		ServerReportedInFlight: local.ReportedInFlight,
	}
}

// HandleCall answers a call from another node.
func (x *Executor) HandleCall(ctx context.Context, frame wire.Frame, stream *peer.Stream) error {
	var message wire.Call
	if err := frame.Decode(&message); err != nil {
		return errors.Trace(err)
	}
	result := x.Serve(ctx, &message)
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
	// An error aborts the stream, so that the entry sees an incomplete answer.
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
		ContentLength: result.ContentLength, LoadReport: result.Load,
		AttemptsUsed:  int16(max(-maxCarried, min(result.AttemptsUsed, maxCarried))),
		ConfigVersion: x.Board.Config.Load().Version,
		Epoch:         x.epochOf(message),
	}
}

// Serve checks a call, admits it and runs it on the backend server.
func (x *Executor) Serve(ctx context.Context, message *wire.Call) *Result {
	record := &board.RequestRecord{
		ID: message.RequestID, Service: message.Service, Caller: message.Caller, Digest: message.RequestDigest, Started: time.Now(),
	}
	local := x.Board.LocalServer.Load()
	record.ExecutionResult = func() board.ExecutionResult { return execution(message, local) }
	x.Board.Requests.Add(record)
	result := x.serveTree(ctx, message, record)
	x.rejectOnce(message, result)
	record.Finish(result.Outcome)
	result.Body = onClose(result.Body, func() { x.Board.Requests.Remove(record) })
	result.Load = x.LoadReport()
	return result
}

// serveTree keeps the attempt budget of the call's tree on the board while the
// call runs, and reports how much of it the nested calls have used.
func (x *Executor) serveTree(ctx context.Context, message *wire.Call, record *board.RequestRecord) *Result {
	lent := int(message.AttemptsLeft)
	deadline := record.Started.Add(time.Duration(message.TimeToDeadlineMicros) * time.Microsecond)
	tree := x.Board.TreeBudgets.Open(message.TreeID, lent, deadline)
	result := x.serve(ctx, message, record)
	result.AttemptsUsed = x.Board.TreeBudgets.Close(message.TreeID, tree, lent)
	result.answered = true
	return result
}

func (x *Executor) serve(ctx context.Context, message *wire.Call, record *board.RequestRecord) *Result {
	local := x.Board.LocalServer.Load()
	if reason := x.refusal(local, message); reason != "" {
		countRetired(x.Board, reason, message.Caller, message.Service)
		return NotRunResult(reason)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(message.TimeToDeadlineMicros)*time.Microsecond)
	if ctx.Err() != nil {
		cancel()
		return NotRunResult(board.ReasonDeadlineBeforeStart)
	}
	if reason := x.admit(ctx, local, message, record); reason != "" {
		cancel()
		return NotRunResult(reason)
	}
	ctx, cancel, once, refused := x.beginOnce(ctx, cancel, message)
	if refused != nil {
		cancel()
		x.gate.release(x.admission(local).ConcurrencyLimit)
		return refused
	}
	record.Advance(board.RequestRunning)
	started := time.Now()
	result := x.run(ctx, local, message)
	x.watchEnd(ctx, result, message, local)
	result = finishOnce(once, result)
	result.Body = onClose(result.Body, func() {
		x.ended(local, result, time.Since(started))
		cancel()
	})
	return result
}

// refusal returns the reason to refuse a call before the backend server is
// touched, or "".
func (x *Executor) refusal(local *board.LocalServer, message *wire.Call) board.Reason {
	switch {
	case !local.Announced:
		return board.ReasonBackendDown
	case local.Draining:
		return board.ReasonDraining
	case local.Service != message.Service:
		return board.ReasonNoServer
	case message.ExecutorIncarnation != 0 && message.ExecutorIncarnation != x.Incarnation:
		return board.ReasonWrongIncarnation
	case x.quarantined(message):
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

// run sends the call to the backend server.
func (x *Executor) run(ctx context.Context, local *board.LocalServer, message *wire.Call) *Result {
	response, err := x.Backend.Do(ctx, &backend.Request{
		Addr: local.Addr, Method: message.Method, Path: message.Path, Query: message.Query,
		Header: decodeHeader(message.Header), Body: message.Body, RequestID: message.RequestID,
		Caller: message.Caller, Tree: message.TreeID, Depth: int(message.Depth), AttemptsLeft: int(message.AttemptsLeft),
		Key: message.Key,
	})
	switch {
	case err == nil:
		return &Result{
			Outcome: outcomeOfStatus(response.Status), Status: response.Status, Header: response.Header,
			Body: response.Body, ContentLength: response.ContentLength,
		}
	case errors.Is(err, backend.ErrNotSent):
		if ctx.Err() != nil {
			return NotRunResult(board.ReasonDeadlineBeforeStart)
		}
		x.Board.Announcements.Post(board.Announcement{Kind: board.AnnounceDown, Server: *local})
		return NotRunResult(board.ReasonBackendDown)
	case ctx.Err() != nil:
		return Unknown(lostReason(ctx))
	}
	return Unknown(board.ReasonConnectionLost)
}
