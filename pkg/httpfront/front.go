// Package httpfront is the HTTP front end for callers: it decodes a request
// into a call.Request and encodes a call.Result as a response. It makes no
// decisions about calls.
package httpfront

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/backend"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/call"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/wire"
)

// Headers that Mangostand adds to responses, and the request header
// HeaderPriority.
const (
	HeaderOutcome       = "Mangostand-Outcome"
	HeaderReason        = "Mangostand-Reason"
	HeaderRequestID     = backend.HeaderRequestID
	HeaderBackendServer = "Mangostand-Backend-Server"
	HeaderAttemptsUsed  = "Mangostand-Attempts-Used"
	HeaderConfigVersion = "Mangostand-Config-Version"
	HeaderPriority      = "Mangostand-Priority"
)

// maxDeadline is the longest deadline that a caller may request.
const maxDeadline = 10 * time.Minute

// CallServer serves calls. The front end closes the body of the result.
type CallServer interface {
	Serve(ctx context.Context, req *call.Request) *call.Result
}

// NewHandler returns the HTTP handler for callers.
func NewHandler(callServer CallServer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := ParseRequest(w, r)
		if err != nil {
			writeResponse(w, &call.Request{ID: newRequestID()}, call.NotRunResult(board.ReasonMalformedRequest), err.Error())
			return
		}
		result := callServer.Serve(r.Context(), req)
		defer setWriteDeadline(w, req.Deadline)()
		writeResponse(w, req, result, "")
	})
}

func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// ParseRequest decodes the request of a caller, including its body. It returns
// an error if a part of the request is malformed or too large.
func ParseRequest(w http.ResponseWriter, r *http.Request) (*call.Request, error) {
	if err := validatePath(r.URL); err != nil {
		return nil, err
	}
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	req := &call.Request{
		ID: newRequestID(), Service: service, Method: r.Method, Path: "/" + path, Query: r.URL.RawQuery,
		Caller: callerIdentity(r), AttemptsLeft: -1,
	}
	if err := parseHeaders(req, r.Header); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errors.Errorf("request body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, errors.Errorf("request body cannot be read: %v", err)
	}
	req.Body = body
	req.Header = headerToForward(r.Header)
	return req, nil
}

// callerIdentity returns the common name of the caller's certificate, else the
// value of backend.HeaderCaller, else the address of the caller without the
// port.
func callerIdentity(r *http.Request) string {
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		return r.TLS.PeerCertificates[0].Subject.CommonName
	}
	if name := r.Header.Get(backend.HeaderCaller); name != "" {
		return name
	}
	host := r.RemoteAddr
	if i := strings.LastIndex(host, ":"); i >= 0 {
		host = host[:i]
	}
	return host
}

// parseHeaders decodes the headers with which a caller controls its call.
func parseHeaders(req *call.Request, h http.Header) error {
	if value := h.Get(backend.HeaderDeadlineMS); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
			return errors.Errorf("%s: expected 0 to %d", backend.HeaderDeadlineMS, maxDeadline.Milliseconds())
		}
		req.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if value := h.Get(HeaderPriority); value != "" {
		p, ok := dynconf.ParsePriority(value)
		if !ok {
			return errors.Errorf("%s: unknown priority", HeaderPriority)
		}
		req.Priority, req.PrioritySet = p, true
	}
	if value := h.Get(backend.HeaderIdempotencyKey); value != "" {
		id, err := uuid.Parse(value)
		if err != nil || id.Version() != 7 {
			return errors.Errorf("%s: expected a UUID version 7", backend.HeaderIdempotencyKey)
		}
		req.Key = id.String()
	}
	return parseTreeHeaders(req, h)
}

// parseTreeHeaders decodes the headers that a nested call inherits from its
// call tree.
func parseTreeHeaders(req *call.Request, h http.Header) error {
	req.TreeID = h.Get(backend.HeaderCallTree)
	if len(req.TreeID) > 64 {
		return errors.Errorf("%s: too long", backend.HeaderCallTree)
	}
	if value := h.Get(backend.HeaderCallDepth); value != "" {
		depth, err := strconv.Atoi(value)
		if err != nil || depth < 0 || depth > call.MaxDepth {
			return errors.Errorf("%s: expected 0 to %d", backend.HeaderCallDepth, call.MaxDepth)
		}
		req.Depth = depth
	}
	if value := h.Get(backend.HeaderAttemptsLeft); value != "" {
		attempts, err := strconv.Atoi(value)
		if err != nil || attempts < 0 || attempts > 100 {
			return errors.Errorf("%s: expected 0 to 100", backend.HeaderAttemptsLeft)
		}
		req.AttemptsLeft = attempts
	}
	return nil
}

// replacedHeaders are the request headers that Mangostand interprets. They are
// not forwarded; the executor sets those that the backend server receives.
var replacedHeaders = [...]string{
	backend.HeaderRequestID, backend.HeaderCaller, backend.HeaderDeadlineMS, backend.HeaderCallTree,
	backend.HeaderCallDepth, backend.HeaderAttemptsLeft, backend.HeaderIdempotencyKey, HeaderPriority,
}

func headerToForward(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range replacedHeaders {
		out.Del(name)
	}
	return out
}

// writeResponse writes the response. An incomplete body aborts the connection,
// so that the caller cannot mistake it for a complete response.
func writeResponse(w http.ResponseWriter, req *call.Request, result *call.Result, detail string) {
	h := w.Header()
	for name, values := range result.Header {
		h[name] = values
	}
	h.Set(HeaderOutcome, result.Outcome.String())
	h.Set(HeaderRequestID, req.ID)
	h.Set(HeaderConfigVersion, strconv.FormatUint(result.ConfigVersion, 10))
	h.Set(HeaderAttemptsUsed, strconv.Itoa(result.AttemptsUsed))
	if result.Reason != "" {
		h.Set(HeaderReason, string(result.Reason))
	}
	if result.Instance != "" {
		h.Set(HeaderBackendServer, string(result.Instance))
	}
	if req.Key != "" {
		h.Set(backend.HeaderIdempotencyKey, req.Key)
	}
	if result.Body == nil {
		writeTextResponse(w, result, detail)
		return
	}
	defer result.Body.Close()
	if result.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(result.ContentLength, 10))
	}
	w.WriteHeader(result.Status)
	if _, err := io.Copy(w, result.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// writeTextResponse writes the response for a result without a body. Its text is
// a line with the outcome, the reason and the detail, if any.
func writeTextResponse(w http.ResponseWriter, result *call.Result, detail string) {
	if result.Status == http.StatusServiceUnavailable || result.Status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(result.Status)
	text := result.Outcome.String() + ": " + string(result.Reason)
	if detail != "" {
		text += ": " + detail
	}
	_, _ = io.WriteString(w, text+"\n")
}
