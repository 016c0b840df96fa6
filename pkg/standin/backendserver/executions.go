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
	StateCancelled = executionlog.StateCancelled
)

// Execution is one entry of the execution log.
type Execution = executionlog.Execution

// executionRecorder logs the non-idempotent executionRecorder of one server and passes them
// to the execution log process, which survives the server.
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

// recordStart logs an execution before its work starts. It returns nil for reads,
// and an error when the execution log process did not take the entry, so that
// no work goes unrecorded.
func (e *executionRecorder) recordStart(ctx context.Context, server string, r *http.Request) (*Execution, error) {
	if isIdempotent(r.Method) {
		return nil, nil
	}
	now := time.Now()
	execution := &Execution{
		ID:     server + "-" + strconv.FormatInt(now.UnixNano(), 36) + "-" + strconv.FormatUint(e.sequence.Add(1), 10),
		Server: server, RequestID: r.Header.Get(backend.HeaderRequestID), IdempotencyKey: r.Header.Get(backend.HeaderKey),
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

// recordEnd stores the state of a finished execution.
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
	// The call may be cancelled already, and its end is logged all the same.
	ctx, cancel := context.WithTimeout(context.Background(), recordEndTimeout)
	defer cancel()
	_ = e.logClient.Record(ctx, &finished)
}

const recordEndTimeout = time.Second

// snapshot returns a copy of the log.
func (e *executionRecorder) snapshot() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	entries := make([]Execution, 0, len(e.entries))
	for _, execution := range e.entries {
		entries = append(entries, *execution)
	}
	return entries
}
