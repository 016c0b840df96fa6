// Package executionlog keeps the non-idempotent executions of all backend
// server stand-ins in a process of its own, so that at-most-once can be
// checked after a server was killed.
package executionlog

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// States of an execution.
const (
	// StateRunning: the work has started. It stays so when the server dies.
	StateRunning = "running"
	// StateCompleted: the work was done.
	StateCompleted = "completed"
	// StateCancelled: the work was cancelled or its deadline passed.
	StateCancelled = "cut"
)

// Execution is one execution of a non-idempotent request.
type Execution struct {
	// ID identifies the execution; two executions of a request differ in it.
	ID        string `json:"id"`
	Server    string `json:"server"`
	RequestID string `json:"request_id"`
	// IdempotencyKey is the idempotency key, Nonce the caller's own token.
	IdempotencyKey string    `json:"key,omitempty"`
	Nonce          string    `json:"nonce,omitempty"`
	Caller         string    `json:"caller,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	StartTime      time.Time `json:"started"`
	State          string    `json:"state"`
}

// maxEntrySize bounds one posted execution in bytes.
const maxEntrySize = 16 << 10

// Log holds the executions. Any goroutine may use it.
type Log struct {
	mu    sync.Mutex
	order []string
	byID  map[string]Execution
}

// New returns an empty log.
func New() *Log { return &Log{byID: map[string]Execution{}} }

// Record adds an execution, or replaces the entry with the same ID.
func (l *Log) Record(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.byID[e.ID]; !known {
		l.order = append(l.order, e.ID)
	}
	l.byID[e.ID] = e
}

// Executions returns the executions in the order of their start.
func (l *Log) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Execution, 0, len(l.order))
	for _, id := range l.order {
		list = append(list, l.byID[id])
	}
	return list
}

// Handler returns the HTTP interface: POST and GET /v1/executions.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/executions", func(w http.ResponseWriter, r *http.Request) {
		var e Execution
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEntrySize)).Decode(&e); err != nil || e.ID == "" {
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
