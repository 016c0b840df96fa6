// Package httpfront is the HTTP codec towards callers: it turns a request into
// a call.Request and a call.Result into a response. It holds no decisions.
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

// Response headers that mangostand adds.
const (
	HeaderOutcome       = "Mangostand-Outcome"
	HeaderReason        = "Mangostand-Reason"
	HeaderRequestID     = backend.HeaderRequestID
	HeaderBackendServer = "Mangostand-Backend-Server"
	HeaderAttemptsUsed  = "Mangostand-Attempts-Used"
	HeaderConfigVersion = "Mangostand-Config-Version"
	HeaderPriority      = "Mangostand-Priority"
)

// maxDeadline is the longest deadline a caller may ask for.
const maxDeadline = 10 * time.Minute

// Server carries a call. Its body must be closed by the front.
type Server interface {
	Serve(ctx context.Context, req *call.Request) *call.Result
}

// NewHandler returns the HTTP handler for callers.
func NewHandler(server Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := ParseRequest(w, r)
		if err != nil {
			writeResult(w, &call.Request{ID: newID()}, call.NotRunResult(board.ReasonMalformedRequest), err.Error())
			return
		}
		result := server.Serve(r.Context(), req)
		defer limitWriting(w, req.Deadline)()
		writeResult(w, req, result, "")
	})
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// ParseRequest reads a caller's request. It returns an error when a part is
// malformed or too large.
func ParseRequest(w http.ResponseWriter, r *http.Request) (*call.Request, error) {
	if err := checkPath(r.URL); err != nil {
		return nil, err
	}
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	req := &call.Request{
		ID: newID(), Service: service, Method: r.Method, Path: "/" + rest, Query: r.URL.RawQuery,
		Caller: callerOf(r), AttemptsLeft: -1,
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
	req.Header = forwardedHeader(r.Header)
	return req, nil
}

// callerOf returns the identity of the caller: the name of its certificate,
// else the name it states, else its address.
func callerOf(r *http.Request) string {
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
	if value := h.Get(backend.HeaderKey); value != "" {
		id, err := uuid.Parse(value)
		if err != nil || id.Version() != 7 {
			return errors.Errorf("%s: expected a UUID version 7", backend.HeaderKey)
		}
		req.Key = id.String()
	}
	return parseTree(req, h)
}

func parseTree(req *call.Request, h http.Header) error {
	req.TreeID = h.Get(backend.HeaderTree)
	if len(req.TreeID) > 64 {
		return errors.Errorf("%s: too long", backend.HeaderTree)
	}
	if value := h.Get(backend.HeaderDepth); value != "" {
		depth, err := strconv.Atoi(value)
		if err != nil || depth < 0 || depth > call.MaxDepth {
			return errors.Errorf("%s: expected 0 to %d", backend.HeaderDepth, call.MaxDepth)
		}
		req.Depth = depth
	}
	if value := h.Get(backend.HeaderAttempts); value != "" {
		attempts, err := strconv.Atoi(value)
		if err != nil || attempts < 0 || attempts > 100 {
			return errors.Errorf("%s: expected 0 to 100", backend.HeaderAttempts)
		}
		req.AttemptsLeft = attempts
	}
	return nil
}

// meshHeaders are set anew for the backend server and are not forwarded.
var meshHeaders = [...]string{
	backend.HeaderRequestID, backend.HeaderCaller, backend.HeaderDeadlineMS, backend.HeaderTree,
	backend.HeaderDepth, backend.HeaderAttempts, backend.HeaderKey, HeaderPriority,
}

func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range meshHeaders {
		out.Del(name)
	}
	return out
}

// writeResult writes the response. An incomplete body aborts the connection,
// so that the caller never takes it for a whole answer.
func writeResult(w http.ResponseWriter, req *call.Request, result *call.Result, detail string) {
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
		h.Set(backend.HeaderKey, req.Key)
	}
	if result.Body == nil {
		writeMessage(w, result, detail)
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

func writeMessage(w http.ResponseWriter, result *call.Result, detail string) {
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
