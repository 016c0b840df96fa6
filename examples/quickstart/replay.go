package main

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/httpfront"
	"mangostand.example/mangostand/pkg/standin/backendserver"
)

// oneWayLatency is the simulated one-way network latency between a client and any
// address. The client adds it to calls through nodes and to direct calls alike.
const oneWayLatency = time.Millisecond

// clientTimeout bounds a call. It exceeds the deadlines of all routes.
const clientTimeout = 5 * time.Second

// Call is a call to a target.
type Call struct {
	RecordedCall
	// Nonce identifies the call: it is contained in the response and serves as the
	// idempotency key.
	Nonce string
	// Target is the instance that the call is sent to.
	Target *instance
	// Repeated is set if the call has the idempotency key of an earlier call.
	Repeated bool
}

// Result is the result of a call as the client observed it.
type Result struct {
	Call
	Outcome string
	Reason  string
	Latency time.Duration
	// Mismatch describes why a complete response does not belong to the call, or is
	// empty.
	Mismatch string
	// BackendServer is the backend server that responded, as reported by the node.
	BackendServer string
}

// client sends calls, either to nodes or directly to backend servers.
type client struct {
	direct     bool
	httpClient *http.Client
	// callCount selects the targets in round-robin order.
	callCount atomic.Uint64
}

func newClient(direct bool) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	return &client{direct: direct, httpClient: &http.Client{Transport: transport, Timeout: clientTimeout}}
}

// outcomeUnknown is the outcome of a call without a complete response.
const outcomeUnknown = "unknown"

// send sends a call. Its latency is measured from the scheduled time, so that a
// client that falls behind does not hide a delay (coordinated omission).
func (c *client) send(ctx context.Context, call Call, scheduledAt time.Time) Result {
	result := Result{Call: call, Outcome: outcomeUnknown}
	time.Sleep(oneWayLatency)
	resp, body, err := c.roundTrip(ctx, call)
	time.Sleep(oneWayLatency)
	result.Latency = time.Since(scheduledAt)
	if err != nil {
		result.Reason = "no complete response"
		return result
	}
	result.Outcome = resp.Header.Get(httpfront.HeaderOutcome)
	result.Reason = resp.Header.Get(httpfront.HeaderReason)
	result.BackendServer = resp.Header.Get(httpfront.HeaderBackendServer)
	if c.direct {
		result.Outcome = outcomeFromStatus(resp.StatusCode)
	}
	if result.Outcome == board.OutcomeSucceeded.String() {
		if err := backendserver.VerifyResponseBody(body, call.Method, call.Path, call.Nonce); err != nil {
			result.Mismatch = err.Error()
		}
	}
	return result
}

// outcomeFromStatus returns the outcome of a direct call, whose response has no
// outcome header.
func outcomeFromStatus(status int) string {
	if status >= http.StatusInternalServerError {
		return board.OutcomeFailed.String()
	}
	return board.OutcomeSucceeded.String()
}

func (c *client) roundTrip(ctx context.Context, call Call) (*http.Response, []byte, error) {
	url := "http://" + call.Target.callerAddr + "/" + call.Service + call.Path
	if c.direct {
		url = "http://" + call.Target.serverAddr + call.Path
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, url, strings.NewReader(call.Body))
	if err != nil {
		return nil, nil, err
	}
	// Without GetBody, net/http cannot rewind the body and does not retry the call.
	req.GetBody = nil
	req.Header.Set("Mangostand-Caller", call.Caller)
	req.Header.Set(backendserver.HeaderNonce, call.Nonce)
	if call.Method == http.MethodPost {
		req.Header.Set("Idempotency-Key", call.Nonce)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// pickTarget returns the target of the next call in round-robin order: any instance,
// or, for a direct call, one with a backend server of the service.
func (c *client) pickTarget(f *fleet, r RecordedCall) *instance {
	index := c.callCount.Add(1)
	candidates := f.instances
	if c.direct {
		candidates = nil
		for _, inst := range f.instances {
			if inst.service.Name == r.Service {
				candidates = append(candidates, inst)
			}
		}
	}
	return candidates[index%uint64(len(candidates))]
}

// newCall returns a call with a new nonce.
func (c *client) newCall(f *fleet, r RecordedCall) Call {
	return Call{RecordedCall: r, Nonce: uuid.Must(uuid.NewV7()).String(), Target: c.pickTarget(f, r)}
}

// replay sends the recorded calls at their offsets for the given duration, without
// waiting for earlier calls (open loop), and returns when all calls have ended.
func (c *client) replay(ctx context.Context, f *fleet, recorded []RecordedCall, duration time.Duration) []Result {
	var collected resultList
	var wg sync.WaitGroup
	startedAt := time.Now()
	for count := 0; ; count++ {
		r := recorded[count%len(recorded)]
		offset := time.Duration(count/len(recorded))*recordingPeriod + r.Offset
		if offset >= duration || !sleep(ctx, time.Until(startedAt.Add(offset))) {
			break
		}
		scheduledAt := startedAt.Add(offset)
		call := c.newCall(f, r)
		wg.Go(func() { collected.add(c.send(ctx, call, scheduledAt)) })
	}
	wg.Wait()
	return collected.results
}

// resultList collects the results of concurrent calls.
type resultList struct {
	mu      sync.Mutex
	results []Result
}

func (l *resultList) add(r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}
