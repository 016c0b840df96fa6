package call

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/metrics"
	"mangostand.example/mangostand/pkg/peer"
)

// Entry carries the calls of callers to executors. Any goroutine may use it.
type Entry struct {
	Board *board.Board
	Peers *peer.Transport
	// LocalExecutor is the executor of this node; calls to it skip the network.
	LocalExecutor *Executor
	Log           zerolog.Logger
	// Observer may be nil.
	Observer Observer
	// AtMostOnce is the key protocol of this node.
	AtMostOnce *atmostonce.KeyController
	// Metrics receives the counts of calls; nil drops them.
	Metrics *metrics.Traffic
}

// Serve carries one call and returns its result. The result's body, when there
// is one, must be closed.
func (e *Entry) Serve(ctx context.Context, req *Request) *Result {
	config := e.Board.Config.Load()
	route, refusal := routeOf(config, req)
	if refusal != "" {
		countRetired(e.Board, refusal, req.Caller, req.Service)
		return e.finish(nil, req, e.refuse(ctx, req, refusal), config)
	}
	if e.quarantined(req) {
		return e.finish(nil, req, e.refuse(ctx, req, board.ReasonQuarantined), config)
	}
	applyRoute(req, route, time.Now())
	e.openAttempts(req, config)
	record := &board.RequestRecord{ID: req.ID, Service: req.Service, Caller: req.Caller, Started: time.Now()}
	e.Board.Requests.Add(record)
	defer e.Board.Requests.Remove(record)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	var result *Result
	if route.IsIdempotent(req.Method) {
		result = e.serveIdempotent(ctx, req, route, record)
	} else {
		result = e.serveOnce(ctx, req, route, record)
	}
	result.Body = cancelOnClose(result.Body, cancel)
	return e.finish(record, req, result, config)
}

// routeOf finds the route of a request, or the reason to refuse it.
func routeOf(config *dynconf.Config, req *Request) (*dynconf.Route, board.Reason) {
	service := config.Services[req.Service]
	if service == nil {
		return nil, board.ReasonNoRoute
	}
	if service.Retired {
		return nil, board.ReasonRetired
	}
	route := service.MatchRoute(req.Method, req.Path)
	if route == nil {
		return nil, board.ReasonNoRoute
	}
	if route.Retired {
		return nil, board.ReasonRetired
	}
	if req.Depth > MaxDepth {
		return nil, board.ReasonMalformedRequest
	}
	return route, ""
}

// applyRoute fills in what the caller left open.
func applyRoute(req *Request, route *dynconf.Route, now time.Time) {
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(route.Deadline)
	}
	if !req.PrioritySet {
		req.Priority = route.Priority
	}
}

func (e *Entry) finish(record *board.RequestRecord, req *Request, result *Result, config *dynconf.Config) *Result {
	result.ConfigVersion = config.Version
	result.AttemptsUsed = max(0, int(req.used.Load()))
	e.traffic().Call(uint8(result.Outcome))
	started := time.Time{}
	if record != nil {
		record.Finish(result.Outcome)
		started = record.Started
	}
	e.report(req, result, config, elapsedSince(started))
	return result
}

func elapsedSince(started time.Time) time.Duration {
	if started.IsZero() {
		return 0
	}
	return time.Since(started)
}

// pick chooses an executor for an attempt, or nil when there is none.
func (e *Entry) pick(service string, exclude []board.InstanceID) *board.Endpoint {
	picker := e.Board.Pickers.Load().ByService[service]
	if picker == nil {
		return nil
	}
	cell := picker.Pick(&board.PickRequest{Now: time.Now(), Random: rand.Uint64(), Exclude: exclude})
	if cell == nil {
		e.traffic().NoPick.Inc(1)
		return nil
	}
	e.traffic().Picks.Inc(1)
	return cell
}
