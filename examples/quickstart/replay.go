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

// oneWayLatency is the one-way latency between a client and any address. It is
// added on this side, in the same way for calls through nodes and for direct
// calls.
const oneWayLatency = time.Millisecond

// clientTimeout is how long a client waits; it is above each route's deadline.
const clientTimeout = 5 * time.Second

// Call is one call that was sent.
type Call struct {
	RecordedCall
	// Nonce is the token in the answer and the idempotency key.
	Nonce string
	// Target is the host that the call was sent to.
	Target *instance
	// Repeated is set when the call carries the key of an earlier one.
	Repeated bool
}

// Result is what the client saw of a call.
type Result struct {
	Call
	Outcome string
	Reason  string
	Latency time.Duration
	// Mismatch says why a whole answer does not belong to the call.
	Mismatch string
	// BackendServer is the backend server that answered, as the node named it.
	BackendServer string
}

// client sends calls, either to nodes or directly to backend servers.
type client struct {
	direct     bool
	httpClient *http.Client
	// callCount spreads the calls over the hosts.
	callCount atomic.Uint64
}

func newClient(direct bool) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	return &client{direct: direct, httpClient: &http.Client{Transport: transport, Timeout: clientTimeout}}
}

// outcomeUnknown is the outcome of a call without a whole answer.
const outcomeUnknown = "unknown"

// send makes one call. The latency counts from when the call was due, so that
// a late client does not hide a delay.
func (c *client) send(ctx context.Context, call Call, scheduledAt time.Time) Result {
	result := Result{Call: call, Outcome: outcomeUnknown}
	time.Sleep(oneWayLatency)
	resp, body, err := c.roundTrip(ctx, call)
	time.Sleep(oneWayLatency)
	result.Latency = time.Since(scheduledAt)
	if err != nil {
		result.Reason = "no whole answer"
		return result
	}
	result.Outcome = resp.Header.Get(httpfront.HeaderOutcome)
	result.Reason = resp.Header.Get(httpfront.HeaderReason)
	result.BackendServer = resp.Header.Get(httpfront.HeaderBackendServer)
	if c.direct {
		result.Outcome = outcomeFromStatus(resp.StatusCode)
	}
	if result.Outcome == board.OutcomeSucceeded.String() {
		if err := backendserver.VerifyAnswer(body, call.Method, call.Path, call.Nonce); err != nil {
			result.Mismatch = err.Error()
		}
	}
	return result
}

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
	// A body that cannot be rewound keeps net/http from sending a call twice.
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

// pickTarget returns the host for the next call: any node, or, for direct calls,
// the backend servers of the service in turn.
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

// newCall returns a call with a fresh key.
func (c *client) newCall(f *fleet, r RecordedCall) Call {
	return Call{RecordedCall: r, Nonce: uuid.Must(uuid.NewV7()).String(), Target: c.pickTarget(f, r)}
}

// replay sends the recorded calls in an open loop for a duration and returns
// when each has ended.
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

// resultList collects results of concurrent calls.
type resultList struct {
	mu      sync.Mutex
	results []Result
}

func (l *resultList) add(r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}
