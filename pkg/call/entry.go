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

// Entry is the ingress of the mesh: it forwards calls of callers to executors.
// It is safe for concurrent use.
type Entry struct {
	Board *board.Board
	Peers *peer.Transport
	// LocalExecutor is the executor of this node; calls to it bypass the
	// network. It may be nil.
	LocalExecutor *Executor
	Log           zerolog.Logger
	// Observer may be nil.
	Observer Observer
	// AtMostOnce runs the protocol that executes non-idempotent calls at most
	// once.
	AtMostOnce *atmostonce.KeyController
	// Metrics holds the counters of calls. If it is nil, nothing is counted.
	Metrics *metrics.TrafficMetrics
}

// Serve forwards one call and returns its result. The caller must close the
// body of the result if it is not nil.
func (e *Entry) Serve(ctx context.Context, req *Request) *Result {
	config := e.Board.Config.Load()
	route, reason := matchRoute(config, req)
	if reason != "" {
		countRetired(e.Board, reason, req.Caller, req.Service)
		return e.finish(nil, req, e.refuse(ctx, req, reason), config)
	}
	if e.isQuarantined(req) {
		return e.finish(nil, req, e.refuse(ctx, req, board.ReasonQuarantined), config)
	}
	applyRouteDefaults(req, route, time.Now())
	e.joinCallTree(req, config)
	record := &board.RequestRecord{ID: req.ID, Service: req.Service, Caller: req.Caller, Started: time.Now()}
	e.Board.Requests.Add(record)
	defer e.Board.Requests.Remove(record)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	var result *Result
	if route.IsIdempotent(req.Method) {
		result = e.serveIdempotent(ctx, req, route, record)
	} else {
		result = e.serveNonIdempotent(ctx, req, route, record)
	}
	result.Body = cancelOnClose(result.Body, cancel)
	return e.finish(record, req, result, config)
}

// matchRoute returns the route of a request, or the reason to refuse it.
func matchRoute(config *dynconf.Config, req *Request) (*dynconf.Route, board.Reason) {
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

// applyRouteDefaults sets the deadline and the priority to those of the route
// if the caller sent none.
func applyRouteDefaults(req *Request, route *dynconf.Route, now time.Time) {
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(route.Deadline)
	}
	if !req.PrioritySet {
		req.Priority = route.Priority
	}
}

// finish completes the result and counts, logs and records the end of the
// call. The record is nil for a call that was refused before it was routed.
func (e *Entry) finish(record *board.RequestRecord, req *Request, result *Result, config *dynconf.Config) *Result {
	result.ConfigVersion = config.Version
	result.AttemptsUsed = max(0, int(req.attemptsUsed.Load()))
	e.metricsOrDiscard().CountCall(uint8(result.Outcome))
	started := time.Time{}
	if record != nil {
		record.Finish(result.Outcome)
		started = record.Started
	}
	e.reportFinished(req, result, config, elapsedSince(started))
	return result
}

func elapsedSince(started time.Time) time.Duration {
	if started.IsZero() {
		return 0
	}
	return time.Since(started)
}

// pickEndpoint chooses the endpoint for an attempt. It returns nil if none is
// available.
func (e *Entry) pickEndpoint(service string, exclude []board.InstanceID) *board.Endpoint {
	picker := e.Board.Pickers.Load().ByService[service]
	if picker == nil {
		return nil
	}
	endpoint := picker.Pick(&board.PickRequest{Now: time.Now(), Random: rand.Uint64(), Exclude: exclude})
	if endpoint == nil {
		e.metricsOrDiscard().PicksWithoutInstance.Inc(1)
		return nil
	}
	e.metricsOrDiscard().Picks.Inc(1)
	return endpoint
}
