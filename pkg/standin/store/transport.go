package store

import (
	"bytes"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// errNoResponse is the error that a client gets if the handler aborts its request.
const errNoResponse = errors.ConstError("connection closed without a response")

// Transport returns an HTTP transport that calls the store's handler in process. It
// is for tests with a simulated clock (testing/synctest), in which no goroutine may
// block on a socket.
func (s *Store) Transport() http.RoundTripper { return inProcessTransport{s.Handler()} }

type inProcessTransport struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper.
func (t inProcessTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil {
		r.Body = http.NoBody
	}
	response := &responseBuffer{header: http.Header{}, status: http.StatusOK}
	done := make(chan bool, 1)
	go func() { done <- t.runHandler(response, r) }()
	select {
	case complete := <-done:
		if !complete {
			return nil, errNoResponse
		}
		return response.toResponse(r), nil
	case <-r.Context().Done():
		return nil, errors.Trace(r.Context().Err())
	}
}

// runHandler calls the handler and reports whether it returned normally instead of
// aborting the request with http.ErrAbortHandler.
func (t inProcessTransport) runHandler(w http.ResponseWriter, r *http.Request) (complete bool) {
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	t.handler.ServeHTTP(w, r)
	return true
}

// responseBuffer is an http.ResponseWriter that buffers the response.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *responseBuffer) Header() http.Header         { return b.header }
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }
func (b *responseBuffer) WriteHeader(status int)      { b.status = status }

func (b *responseBuffer) toResponse(r *http.Request) *http.Response {
	return &http.Response{
		StatusCode: b.status, Header: b.header, Body: io.NopCloser(&b.body),
		ContentLength: int64(b.body.Len()), Request: r,
	}
}
