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

// outcomeError is the outcome of a call without a complete response from the
// node.
const outcomeError = "error"

// deadlineGrace is the time from the deadline of a call until the load generator
// abandons it.
const deadlineGrace = time.Second

// defaultTimeout is the timeout of calls without a deadline.
const defaultTimeout = 30 * time.Second

// HTTPSender sends calls over HTTP to the nodes' listeners for callers.
type HTTPSender struct {
	client *http.Client
	caller string
}

// NewHTTPSender returns a Sender that identifies itself as caller and keeps up to
// maxIdleConns idle connections to each target. A nil transport means the zero
// http.Transport; listeners with TLS need one with a TLS configuration. The
// limits on idle connections and DisableCompression are set in either case.
func NewHTTPSender(caller string, maxIdleConns int, transport *http.Transport) *HTTPSender {
	if transport == nil {
		transport = &http.Transport{}
	}
	transport.MaxIdleConnsPerHost = maxIdleConns
	transport.MaxIdleConns = 0
	transport.DisableCompression = true
	return &HTTPSender{client: &http.Client{Transport: transport}, caller: caller}
}

// Close closes the idle connections.
func (s *HTTPSender) Close() { s.client.CloseIdleConnections() }

// Send implements Sender.
func (s *HTTPSender) Send(ctx context.Context, call *ScheduledCall) Response {
	timeout := defaultTimeout
	if call.Spec.Deadline > 0 {
		timeout = call.Spec.Deadline + deadlineGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := s.newRequest(ctx, call)
	if err != nil {
		return Response{Outcome: outcomeError}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return Response{Outcome: outcomeError}
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return Response{Outcome: outcomeError, Status: resp.StatusCode}
	}
	return newResponse(resp)
}

func (s *HTTPSender) newRequest(ctx context.Context, call *ScheduledCall) (*http.Request, error) {
	spec := call.Spec
	url := call.Target.URL + "/" + spec.Service + spec.Path
	req, err := http.NewRequestWithContext(ctx, spec.Method, url, bytes.NewReader(spec.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(backend.HeaderCaller, s.caller)
	if spec.Deadline > 0 {
		req.Header.Set(backend.HeaderDeadlineMS, strconv.FormatInt(spec.Deadline.Milliseconds(), 10))
	}
	if spec.Priority != "" {
		req.Header.Set(httpfront.HeaderPriority, spec.Priority)
	}
	return req, nil
}

func newResponse(resp *http.Response) Response {
	additionalAttempts, _ := strconv.Atoi(resp.Header.Get(httpfront.HeaderAttemptsUsed))
	outcome := resp.Header.Get(httpfront.HeaderOutcome)
	if outcome == "" {
		outcome = outcomeError
	}
	return Response{
		Outcome: outcome, Status: resp.StatusCode, Instance: resp.Header.Get(httpfront.HeaderBackendServer),
		AdditionalAttempts: additionalAttempts,
	}
}
