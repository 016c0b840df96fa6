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

// distance is the one-way latency between a client and any address. It is
// added on this side, in the same way for calls through nodes and for direct
// calls.
const distance = time.Millisecond

// callTimeout is how long a client waits; it is above each route's deadline.
const callTimeout = 5 * time.Second

// Call is one call that was sent.
type Call struct {
	Recorded
	// Nonce is the token in the answer and the idempotency key.
	Nonce string
	// Target is the host that the call was sent to.
	Target *host
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
	// Server is the backend server that answered, as the node named it.
	Server string
}

// client sends calls, either to nodes or directly to backend servers.
type client struct {
	direct bool
	http   *http.Client
	// turn spreads the calls over the hosts.
	turn atomic.Uint64
}

func newClient(direct bool) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	return &client{direct: direct, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// outcomeLost is the outcome of a call without a whole answer.
const outcomeLost = "unknown"

// send makes one call. The latency counts from when the call was due, so that
// a late client does not hide a delay.
func (c *client) send(ctx context.Context, call Call, due time.Time) Result {
	result := Result{Call: call, Outcome: outcomeLost}
	time.Sleep(distance)
	resp, body, err := c.exchange(ctx, call)
	time.Sleep(distance)
	result.Latency = time.Since(due)
	if err != nil {
		result.Reason = "no whole answer"
		return result
	}
	result.Outcome = resp.Header.Get(httpfront.HeaderOutcome)
	result.Reason = resp.Header.Get(httpfront.HeaderReason)
	result.Server = resp.Header.Get(httpfront.HeaderBackendServer)
	if c.direct {
		result.Outcome = outcomeOfDirect(resp.StatusCode)
	}
	if result.Outcome == board.OutcomeSucceeded.String() {
		if err := backendserver.VerifyResponseBody(body, call.Method, call.Path, call.Nonce); err != nil {
			result.Mismatch = err.Error()
		}
	}
	return result
}

func outcomeOfDirect(status int) string {
	if status >= http.StatusInternalServerError {
		return board.OutcomeFailed.String()
	}
	return board.OutcomeSucceeded.String()
}

func (c *client) exchange(ctx context.Context, call Call) (*http.Response, []byte, error) {
	url := "http://" + call.Target.callers + "/" + call.Service + call.Path
	if c.direct {
		url = "http://" + call.Target.server + call.Path
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
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// target returns the host for the next call: any node, or, for direct calls,
// the backend servers of the service in turn.
func (c *client) target(f *fleet, r Recorded) *host {
	turn := c.turn.Add(1)
	candidates := f.hosts
	if c.direct {
		candidates = nil
		for _, h := range f.hosts {
			if h.service.Name == r.Service {
				candidates = append(candidates, h)
			}
		}
	}
	return candidates[turn%uint64(len(candidates))]
}

// newCall returns a call with a fresh key.
func (c *client) newCall(f *fleet, r Recorded) Call {
	return Call{Recorded: r, Nonce: uuid.Must(uuid.NewV7()).String(), Target: c.target(f, r)}
}

// replay sends the recorded calls in an open loop for a duration and returns
// when each has ended.
func (c *client) replay(ctx context.Context, f *fleet, recorded []Recorded, duration time.Duration) []Result {
	var results resultList
	var wg sync.WaitGroup
	started := time.Now()
	for n := 0; ; n++ {
		r := recorded[n%len(recorded)]
		at := time.Duration(n/len(recorded))*period + r.Offset
		if at >= duration || !pause(ctx, time.Until(started.Add(at))) {
			break
		}
		due := started.Add(at)
		call := c.newCall(f, r)
		wg.Go(func() { results.add(c.send(ctx, call, due)) })
	}
	wg.Wait()
	return results.list
}

// resultList collects results of concurrent calls.
type resultList struct {
	mu   sync.Mutex
	list []Result
}

func (l *resultList) add(r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}
