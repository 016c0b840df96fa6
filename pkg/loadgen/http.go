package loadgen

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"mangostand.example/mangostand/pkg/backend"
	"mangostand.example/mangostand/pkg/httpfront"
)

// outcomeError is the outcome of a call without a whole answer from the node.
const outcomeError = "error"

// deadlineGrace is how long a call may overrun its deadline before the
// generator gives it up.
const deadlineGrace = time.Second

// defaultTimeout bounds calls that have no deadline.
const defaultTimeout = 30 * time.Second

// HTTPDoer sends calls to the caller listeners of nodes.
type HTTPDoer struct {
	client *http.Client
	caller string
}

// NewHTTPSender returns a Doer that states caller as its identity and keeps up
// to connections idle connections to each target. A nil transport means a
// plain one; pass one with a TLS configuration for listeners with TLS.
func NewHTTPSender(caller string, connections int, transport *http.Transport) *HTTPDoer {
	if transport == nil {
		transport = &http.Transport{}
	}
	transport.MaxIdleConnsPerHost = connections
	transport.MaxIdleConns = 0
	transport.DisableCompression = true
	return &HTTPDoer{client: &http.Client{Transport: transport}, caller: caller}
}

// Close frees the idle connections.
func (d *HTTPDoer) Close() { d.client.CloseIdleConnections() }

// Send implements Doer.
func (d *HTTPDoer) Send(ctx context.Context, shot *ScheduledCall) Response {
	timeout := defaultTimeout
	if shot.Spec.Deadline > 0 {
		timeout = shot.Spec.Deadline + deadlineGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := d.newRequest(ctx, shot)
	if err != nil {
		return Response{Outcome: outcomeError}
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return Response{Outcome: outcomeError}
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return Response{Outcome: outcomeError, Status: resp.StatusCode}
	}
	return answerOf(resp)
}

func (d *HTTPDoer) newRequest(ctx context.Context, shot *ScheduledCall) (*http.Request, error) {
	c := shot.Spec
	url := shot.Target.URL + "/" + c.Service + c.Path
	req, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(backend.HeaderCaller, d.caller)
	if c.Deadline > 0 {
		req.Header.Set(backend.HeaderDeadlineMS, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	}
	if c.Priority != "" {
		req.Header.Set(httpfront.HeaderPriority, c.Priority)
	}
	return req, nil
}

func answerOf(resp *http.Response) Response {
	additional, _ := strconv.Atoi(resp.Header.Get(httpfront.HeaderAttemptsUsed))
	outcome := resp.Header.Get(httpfront.HeaderOutcome)
	if outcome == "" {
		outcome = outcomeError
	}
	return Response{
		Outcome: outcome, Status: resp.StatusCode, Instance: resp.Header.Get(httpfront.HeaderBackendServer),
		AdditionalAttempts: additional,
	}
}
