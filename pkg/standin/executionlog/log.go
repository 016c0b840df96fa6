// Package executionlog records the non-idempotent executions of all simulated
// backend servers in a separate process, so that at-most-once execution can be
// verified even after a server was killed.
package executionlog

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// States of an execution.
const (
	// StateRunning: the work has started. It remains the state if the server
	// crashes.
	StateRunning = "running"
	// StateCompleted: the work was completed.
	StateCompleted = "completed"
	// StateCanceled: the work was canceled or its deadline passed.
	StateCanceled = "cut"
)

// Execution is an execution of a non-idempotent request.
type Execution struct {
	// ID identifies the execution; two executions of the same request have
	// different IDs.
	ID        string `json:"id"`
	Server    string `json:"server"`
	RequestID string `json:"request_id"`
	// IdempotencyKey is the idempotency key of the request. Nonce is the token from
	// the caller's nonce header.
	IdempotencyKey string    `json:"key,omitempty"`
	Nonce          string    `json:"nonce,omitempty"`
	Caller         string    `json:"caller,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	StartTime      time.Time `json:"started"`
	State          string    `json:"state"`
}

// maxExecutionBytes bounds the body of POST /v1/executions.
const maxExecutionBytes = 16 << 10

// Log stores executions in memory. It is safe for concurrent use.
type Log struct {
	mu         sync.Mutex
	idsByStart []string
	byID       map[string]Execution
}

// New returns an empty log.
func New() *Log { return &Log{byID: map[string]Execution{}} }

// Record adds an execution or replaces the one with the same ID.
func (l *Log) Record(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.byID[e.ID]; !known {
		l.idsByStart = append(l.idsByStart, e.ID)
	}
	l.byID[e.ID] = e
}

// Executions returns the executions in the order of their start.
func (l *Log) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Execution, 0, len(l.idsByStart))
	for _, id := range l.idsByStart {
		list = append(list, l.byID[id])
	}
	return list
}

// Handler returns the handler of the HTTP API: POST and GET /v1/executions.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/executions", func(w http.ResponseWriter, r *http.Request) {
		var e Execution
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExecutionBytes)).Decode(&e); err != nil || e.ID == "" {
			http.Error(w, "malformed execution", http.StatusBadRequest)
			return
		}
		l.Record(e)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /v1/executions", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(l.Executions())
	})
	return mux
}
