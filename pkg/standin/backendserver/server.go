// Package backendserver stands in for a backend server in local runs and
// tests: it has slots, announces itself and keeps a log of its executions.
package backendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/localapi"
)

// Config describes one stand-in.
type Config struct {
	Service string
	// Addr is the listen address, host:port.
	Addr string
	// Node is the URL of the node's local listener.
	Node        string
	Slots       int
	Connections int
	// ServiceTime is how long one call holds a slot.
	ServiceTime time.Duration
}

// Execution is one entry of the execution log.
type Execution struct {
	RequestID string    `json:"request_id"`
	Key       string    `json:"key,omitempty"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Started   time.Time `json:"started"`
}

// Server is one running stand-in.
type Server struct {
	config      Config
	incarnation uint64
	slots       chan struct{}

	mu         sync.Mutex
	executions []Execution
}

// New returns a stand-in that is not serving yet.
func New(c Config) *Server {
	return &Server{config: c, incarnation: uint64(time.Now().UnixNano()), slots: make(chan struct{}, c.Slots)}
}

// Handler serves calls and, under /standin/, the execution log.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/executions", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(s.executions)
	})
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.record(r)
	select {
	case <-time.After(s.config.ServiceTime):
	case <-r.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %d\n", s.config.Service, r.Method, r.URL.Path, len(body))
}

func (s *Server) record(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, Execution{
		RequestID: r.Header.Get("Mangostand-Request-Id"), Key: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.Path, Started: time.Now(),
	})
}

// announceInterval is the heartbeat period that nodes expect.
const announceInterval = time.Second

// Announce repeats the announcement until ctx ends.
func (s *Server) Announce(ctx context.Context) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if err := s.announceOnce(ctx); err != nil && ctx.Err() != nil {
			return errors.Trace(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Server) announceOnce(ctx context.Context) error {
	data, err := json.Marshal(localapi.Announcement{
		Service: s.config.Service, Addr: s.config.Addr, Slots: uint32(s.config.Slots),
		Connections: uint32(s.config.Connections), Incarnation: s.incarnation, InFlight: uint32(len(s.slots)),
	})
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.config.Node+"/v1/announce", bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(resp.Body.Close())
}
