// Package backend is the HTTP client that the executor uses towards the
// backend server beside it.
package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// ErrNotSent means that no connection could be made, so that the backend
// server cannot have seen the request.
const ErrNotSent = errors.ConstError("request not sent to the backend server")

// Header names that the backend server sees. It passes those of the call tree
// on to its nested calls.
const (
	HeaderRequestID      = "Mangostand-Request-Id"
	HeaderCaller         = "Mangostand-Caller"
	HeaderDeadlineMS     = "Mangostand-Deadline-Ms"
	HeaderCallTree       = "Mangostand-Tree"
	HeaderCallDepth      = "Mangostand-Depth"
	HeaderAttemptsLeft   = "Mangostand-Attempts"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	dialTimeout = time.Second
	// maxIdleConns keeps one warm connection per slot of a usual server.
	maxIdleConns = 64
)

// Request is a call to the backend server.
type Request struct {
	Addr           string
	Method         string
	Path           string
	Query          string
	Header         http.Header
	Body           []byte
	RequestID      string
	Caller         string
	TreeID         string
	Depth          int
	AttemptsLeft   int
	IdempotencyKey string
}

// Response is the head of an answer with its unread body.
type Response struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64
}

// Client sends calls to the backend server. Any goroutine may use it.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client that opens at most connections connections.
func NewClient(connections int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: min(connections, maxIdleConns),
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// Do sends a request once. It never repeats it: the transport of net/http only
// repeats requests it believes idempotent, so that is switched off by a body
// without GetBody.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	conn := &connectionTrace{}
	req, err := newRequest(conn.attach(ctx), r)
	if err != nil {
		return nil, errors.Annotatef(ErrNotSent, "%v", err)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		if !conn.obtained.Load() {
			return nil, errors.Annotatef(ErrNotSent, "%v", err)
		}
		return nil, errors.Trace(err)
	}
	removeHopHeaders(resp.Header)
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, ContentLength: resp.ContentLength}, nil
}

func newRequest(ctx context.Context, r *Request) (*http.Request, error) {
	target := &url.URL{Scheme: "http", Host: r.Addr, Path: r.Path, RawQuery: r.Query}
	req, err := http.NewRequestWithContext(ctx, r.Method, target.String(), io.NopCloser(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.ContentLength = int64(len(r.Body))
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	removeHopHeaders(req.Header)
	req.Header.Set(HeaderRequestID, r.RequestID)
	setIfPresent(req.Header, HeaderCaller, r.Caller)
	setIfPresent(req.Header, HeaderCallTree, r.TreeID)
	setIfPresent(req.Header, HeaderIdempotencyKey, r.IdempotencyKey)
	req.Header.Set(HeaderCallDepth, strconv.Itoa(r.Depth+1))
	req.Header.Set(HeaderAttemptsLeft, strconv.Itoa(r.AttemptsLeft))
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadlineMS, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return req, nil
}

func setIfPresent(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// hopHeaders apply to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes the headers of one connection: those above and
// those that the header Connection names.
func removeHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
