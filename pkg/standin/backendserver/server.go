// Package backendserver simulates a backend server in tests and local runs. It has
// a limited number of slots and connections and a warm-up phase, announces itself
// to its node, records its executions, and injects faults that are set over HTTP.
package backendserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/backend"
)

// Config configures a Server. The zero value of an optional field disables the
// feature.
type Config struct {
	// Instance is the name of the server in the execution log.
	Instance string
	Service  string
	// ListenAddr is the listen address, host:port, which is also announced to the
	// node.
	ListenAddr string
	// NodeURL is the URL of the node's local listener.
	NodeURL string
	// ExecutionLogURL is the URL of the execution log process, "" for none.
	ExecutionLogURL string
	// Slots is the number of calls that are executed concurrently.
	Slots int
	// MaxConnections is the largest number of open connections; 0 means no limit.
	MaxConnections int
	// MaxWaiting is the largest number of calls that wait for a slot; further calls
	// are rejected with 503. 0 means no limit.
	MaxWaiting int
	// ServiceTime is how long a call holds its slot.
	ServiceTime time.Duration
	// MaxServiceTimeFactor is the upper bound of a random factor on ServiceTime,
	// which changes every 5 to 50 ms. Values up to 1 mean a constant service time.
	MaxServiceTimeFactor float64
	// WarmUpTime is the time after the start over which the service time falls
	// linearly from ColdStartFactor times ServiceTime to ServiceTime.
	WarmUpTime      time.Duration
	ColdStartFactor float64
	// ConnectDelay is the delay before the first read of a new connection.
	ConnectDelay time.Duration
	// ProbeDelay is the response time of the load endpoint.
	ProbeDelay time.Duration
	// LargeResponseBytes is the minimum size of responses to paths with the prefix
	// LargeResponsePrefix.
	LargeResponseBytes  int
	LargeResponsePrefix string
	// Seed seeds the random variation of the service time.
	Seed uint64
}

// HeaderNonce carries a token of the caller that the response must contain.
const HeaderNonce = "Standin-Nonce"

// HeaderCrash marks a request that crashes the process of each server that executes
// it.
const HeaderCrash = "Standin-Crash"

// crashExitStatus is the exit status after a request with HeaderCrash.
const crashExitStatus = 70

// maxRequestBodyBytes bounds the request body of a call.
const maxRequestBodyBytes = 4 << 20

// Server is a simulated backend server.
type Server struct {
	config       Config
	incarnation  uint64
	startTime    time.Time
	slots        chan struct{}
	waiting      atomic.Int64
	faults       atomic.Pointer[Faults]
	draining     atomic.Bool
	cachedReport cachedLoadReport
	variation    *serviceTimeVariation
	executions   executionRecorder
	inFlight     atomic.Int64
	counters     callCounters
	// exit terminates the process; tests replace it.
	exit func(status int)
}

// New returns a server that is not listening yet.
func New(c Config) *Server {
	s := &Server{
		config: c, incarnation: uint64(time.Now().UnixNano()), startTime: time.Now(),
		slots: make(chan struct{}, c.Slots), variation: newServiceTimeVariation(c.MaxServiceTimeFactor, c.Seed), exit: os.Exit,
	}
	s.faults.Store(&Faults{})
	s.executions.logClient = newLogClient(c.ExecutionLogURL)
	return s
}

// Handler returns the handler of calls and, under /standin/, of load, executions,
// counters, faults and drain.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/load", s.handleLoad)
	mux.HandleFunc("GET /standin/executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.executions.snapshot())
	})
	mux.HandleFunc("GET /standin/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.counters.snapshot())
	})
	mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.faults.Load())
	})
	mux.HandleFunc("PUT /standin/faults", s.handlePutFaults)
	mux.HandleFunc("POST /standin/drain", func(w http.ResponseWriter, _ *http.Request) {
		s.draining.Store(true)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/", s.handleCall)
	return mux
}

// handleCall serves a call: it reads the body, waits for a slot and executes the
// call.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	w.Header().Set(backend.HeaderRequestID, r.Header.Get(backend.HeaderRequestID))
	faults := s.faults.Load()
	if faults.FailFast {
		http.Error(w, "failing fast", http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBodyBytes))
	if err != nil {
		http.Error(w, "reading the request body: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel, err := callContext(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer cancel()
	if err := s.acquireSlot(ctx); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.executeCall(ctx, w, r, len(body), faults)
}

// executeCall executes a call that holds a slot and writes the response. The
// execution is recorded before the work starts and after it ends.
func (s *Server) executeCall(ctx context.Context, w http.ResponseWriter, r *http.Request, bodySize int, faults *Faults) {
	execution, err := s.executions.recordStart(ctx, s.config.Instance, r)
	if err != nil {
		http.Error(w, "not run: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get(HeaderCrash) != "" && !faults.IgnoreCrashRequests {
		s.exit(crashExitStatus)
	}
	if err := s.simulateWork(ctx, faults); err != nil {
		s.counters.canceled.Add(1)
		s.executions.recordEnd(execution, StateCanceled)
		http.Error(w, "execution canceled: "+err.Error(), http.StatusGatewayTimeout)
		return
	}
	s.counters.completed.Add(1)
	s.executions.recordEnd(execution, StateCompleted)
	response := NewResponseBody(s.config.Service, s.config.Instance, r.Method, r.URL.Path, r.Header.Get(HeaderNonce), bodySize, s.minResponseBytes(r))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	if faults.TruncateResponses {
		_, _ = w.Write(response[:len(response)/2])
		// Without a flush, a short response would be aborted before its header is
		// sent.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(response)
}

// acquireSlot waits for a slot. It returns an error if too many calls are waiting
// already or if ctx is done.
func (s *Server) acquireSlot(ctx context.Context) error {
	select {
	case s.slots <- struct{}{}:
		return nil
	default:
	}
	waiting := s.waiting.Add(1)
	defer s.waiting.Add(-1)
	if s.config.MaxWaiting > 0 && waiting > int64(s.config.MaxWaiting) {
		s.counters.shed.Add(1)
		return errors.New("too many calls are waiting for a slot")
	}
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "waiting for a slot")
	}
}

// simulateWork waits for the service time. It returns an error if ctx is done
// earlier.
func (s *Server) simulateWork(ctx context.Context, faults *Faults) error {
	if faults.Hang {
		<-ctx.Done()
		return ctx.Err()
	}
	timer := time.NewTimer(s.serviceTime(faults, time.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callContext returns a context that is done when the deadline in the request
// header passes or when the caller cancels the request.
func callContext(r *http.Request) (context.Context, context.CancelFunc, error) {
	value := r.Header.Get(backend.HeaderDeadlineMS)
	if value == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil {
		return nil, nil, errors.Errorf("%s: expected milliseconds", backend.HeaderDeadlineMS)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	return ctx, cancel, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
