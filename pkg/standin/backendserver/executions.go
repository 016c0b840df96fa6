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
	StateCut       = executionlog.StateCancelled
)

// Execution is one entry of the execution log.
type Execution = executionlog.Execution

// executions logs the non-idempotent executions of one server and passes them
// to the execution log process, which survives the server.
type executions struct {
	collector *executionlog.Client
	count     atomic.Uint64

	mu   sync.Mutex
	list []*Execution
}

func newCollector(url string) *executionlog.Client {
	if url == "" {
		return nil
	}
	return executionlog.NewClient(url)
}

// begin logs an execution before its work starts. It returns nil for reads,
// and an error when the execution log process did not take the entry, so that
// no work goes unrecorded.
func (e *executions) begin(ctx context.Context, server string, r *http.Request) (*Execution, error) {
	if isIdempotent(r.Method) {
		return nil, nil
	}
	now := time.Now()
	execution := &Execution{
		ID:     server + "-" + strconv.FormatInt(now.UnixNano(), 36) + "-" + strconv.FormatUint(e.count.Add(1), 10),
		Server: server, RequestID: r.Header.Get(backend.HeaderRequestID), IdempotencyKey: r.Header.Get(backend.HeaderIdempotencyKey),
		Nonce: r.Header.Get(HeaderNonce), Caller: r.Header.Get(backend.HeaderCaller),
		Method: r.Method, Path: r.URL.Path, StartTime: now, State: StateRunning,
	}
	if e.collector != nil {
		if err := e.collector.Record(ctx, execution); err != nil {
			return nil, errors.Annotate(err, "execution log")
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, execution)
	return execution, nil
}

// end stores the state of a finished execution.
func (e *executions) end(execution *Execution, state string) {
	if execution == nil {
		return
	}
	e.mu.Lock()
	execution.State = state
	finished := *execution
	e.mu.Unlock()
	if e.collector == nil {
		return
	}
	// The call may be cancelled already, and its end is logged all the same.
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	_ = e.collector.Record(ctx, &finished)
}

const endTimeout = time.Second

// all returns a copy of the log.
func (e *executions) all() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Execution, 0, len(e.list))
	for _, execution := range e.list {
		list = append(list, *execution)
	}
	return list
}
