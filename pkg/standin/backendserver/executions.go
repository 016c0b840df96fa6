package backendserver

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/backend"
	"mangostand.example/mangostand/pkg/standin/executionlog"
)

// States of an execution.
const (
	StateRunning   = executionlog.StateRunning
	StateCompleted = executionlog.StateCompleted
	StateCanceled  = executionlog.StateCanceled
)

// Execution is an entry of the execution log.
type Execution = executionlog.Execution

// executionRecorder records the non-idempotent executions of a server, in memory
// and in the execution log process, which outlives a crash of the server. The
// latter is skipped if logClient is nil.
type executionRecorder struct {
	logClient *executionlog.Client
	sequence  atomic.Uint64

	mu      sync.Mutex
	entries []*Execution
}

func newLogClient(url string) *executionlog.Client {
	if url == "" {
		return nil
	}
	return executionlog.NewClient(url)
}

// recordStart records an execution before its work starts. It returns nil for
// idempotent methods. It returns an error if the execution log process did not
// store the entry; the call must then not be executed, so that every execution is
// recorded.
func (e *executionRecorder) recordStart(ctx context.Context, server string, r *http.Request) (*Execution, error) {
	if isIdempotent(r.Method) {
		return nil, nil
	}
	now := time.Now()
	execution := &Execution{
		ID:     server + "-" + strconv.FormatInt(now.UnixNano(), 36) + "-" + strconv.FormatUint(e.sequence.Add(1), 10),
		Server: server, RequestID: r.Header.Get(backend.HeaderRequestID), IdempotencyKey: r.Header.Get(backend.HeaderIdempotencyKey),
		Nonce: r.Header.Get(HeaderNonce), Caller: r.Header.Get(backend.HeaderCaller),
		Method: r.Method, Path: r.URL.Path, StartTime: now, State: StateRunning,
	}
	if e.logClient != nil {
		if err := e.logClient.Record(ctx, execution); err != nil {
			return nil, errors.Annotate(err, "execution log")
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries = append(e.entries, execution)
	return execution, nil
}

// recordEnd records the final state of an execution. A nil execution is ignored.
func (e *executionRecorder) recordEnd(execution *Execution, state string) {
	if execution == nil {
		return
	}
	e.mu.Lock()
	execution.State = state
	finished := *execution
	e.mu.Unlock()
	if e.logClient == nil {
		return
	}
	// The context of the call may already be canceled, but its end must be recorded.
	ctx, cancel := context.WithTimeout(context.Background(), recordEndTimeout)
	defer cancel()
	_ = e.logClient.Record(ctx, &finished)
}

// recordEndTimeout bounds the request that records the end of an execution.
const recordEndTimeout = time.Second

// snapshot returns a copy of the recorded executions.
func (e *executionRecorder) snapshot() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	entries := make([]Execution, 0, len(e.entries))
	for _, execution := range e.entries {
		entries = append(entries, *execution)
	}
	return entries
}
