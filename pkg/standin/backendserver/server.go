// Package backendserver stands in for a backend server in local runs and
// tests: it has slots, a connection limit, a cold start and faults that can be
// switched over HTTP, announces itself and keeps a log of its executions.
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

// Config describes one stand-in. Zero values of the optional parts switch them
// off.
type Config struct {
	// Instance names the server in its execution log.
	Instance string
	Service  string
	// ListenAddr is the listen address, host:port.
	ListenAddr string
	// NodeURL is the URL of the node's local listener.
	NodeURL string
	// ExecutionLogURL is the URL of the execution log process, or "".
	ExecutionLogURL string
	// Slots is the number of calls that run at once.
	Slots int
	// MaxConnections is the most connections that are open at once; 0 means no limit.
	MaxConnections int
	// MaxWaiting is the most calls that wait for a slot; further calls get 503.
	// 0 means no limit.
	MaxWaiting int
	// ServiceTime is how long one call holds a slot.
	ServiceTime time.Duration
	// MaxServiceTimeFactor is the largest factor on ServiceTime; the factor is drawn anew
	// every 5 to 50 ms. Values up to 1 mean a steady service time.
	MaxServiceTimeFactor float64
	// WarmUpTime is the time over which the service time falls from
	// ColdFactor times its value to its value.
	WarmUpTime      time.Duration
	ColdStartFactor float64
	// ConnectDelay is the time that a new connection takes.
	ConnectDelay time.Duration
	// ProbeDelay is the time that the load endpoint takes.
	ProbeDelay time.Duration
	// LargeResponseBytes is the size in bytes of answers below LargePath.
	LargeResponseBytes  int
	LargeResponsePrefix string
	// Seed of the random swings.
	Seed uint64
}

// HeaderNonce carries a caller's token that the answer must contain.
const HeaderNonce = "Standin-Nonce"

// HeaderCrash marks a request that ends the process of each server that runs
// it.
const HeaderCrash = "Standin-Crash"

// exitCrashed is the exit status after a marked request.
const exitCrashed = 70

// maxBodySize bounds the body of a call in bytes.
const maxBodySize = 4 << 20

// Server is one running stand-in.
type Server struct {
	config      Config
	incarnation uint64
	started     time.Time
	slots       chan struct{}
	waiting     atomic.Int64
	faults      atomic.Pointer[Faults]
	draining    atomic.Bool
	report      reportedLoad
	swing       *swing
	executions  executions
	inFlight    atomic.Int64
	counters    counters
	// exit ends the process; tests replace it.
	exit func(status int)
}

// New returns a stand-in that is not serving yet.
func New(c Config) *Server {
	s := &Server{
		config: c, incarnation: uint64(time.Now().UnixNano()), started: time.Now(),
		slots: make(chan struct{}, c.Slots), swing: newSwing(c.MaxServiceTimeFactor, c.Seed), exit: os.Exit,
	}
	s.faults.Store(&Faults{})
	s.executions.collector = newCollector(c.ExecutionLogURL)
	return s
}

// Handler serves calls and, under /standin/, load, faults and executions.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/load", s.serveLoad)
	mux.HandleFunc("GET /standin/executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.executions.all())
	})
	mux.HandleFunc("GET /standin/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.counters.read())
	})
	mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.faults.Load())
	})
	mux.HandleFunc("PUT /standin/faults", s.setFaults)
	mux.HandleFunc("POST /standin/drain", func(w http.ResponseWriter, _ *http.Request) {
		s.draining.Store(true)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// serveCall runs one call: it reads the body, waits for a slot, logs the
// execution, works and answers.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	faults := s.faults.Load()
	if faults.FailFast {
		http.Error(w, "failing fast", http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize))
	if err != nil {
		http.Error(w, "body cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer cancel()
	if err := s.acquire(ctx); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.run(ctx, w, r, len(body), faults)
}

// run works on a call that holds a slot.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, size int, faults *Faults) {
	execution, err := s.executions.begin(ctx, s.config.Instance, r)
	if err != nil {
		http.Error(w, "not run: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get(HeaderCrash) != "" && !faults.IgnoreCrash {
		s.exit(exitCrashed)
	}
	if err := s.work(ctx, faults); err != nil {
		s.counters.cut.Add(1)
		s.executions.end(execution, StateCut)
		http.Error(w, "work was cut: "+err.Error(), http.StatusGatewayTimeout)
		return
	}
	s.counters.completed.Add(1)
	s.executions.end(execution, StateCompleted)
	answer := NewAnswer(s.config.Service, s.config.Instance, r.Method, r.URL.Path, r.Header.Get(HeaderNonce), size, s.answerSize(r))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if faults.Truncate {
		_, _ = w.Write(answer[:len(answer)/2])
		// Without a flush a short answer would end before its head.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

// acquire waits for a slot. It sheds the call when too many wait already.
func (s *Server) acquire(ctx context.Context) error {
	select {
	case s.slots <- struct{}{}:
		return nil
	default:
	}
	waiting := s.waiting.Add(1)
	defer s.waiting.Add(-1)
	if s.config.MaxWaiting > 0 && waiting > int64(s.config.MaxWaiting) {
		s.counters.shed.Add(1)
		return errors.New("shedding load")
	}
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "waiting for a slot")
	}
}

// work holds the slot for the service time, or until the call is cancelled.
func (s *Server) work(ctx context.Context, faults *Faults) error {
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

// withDeadline returns a context that ends with the call's own deadline or
// when the caller cancels.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
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
