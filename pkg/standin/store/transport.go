package store

import (
	"bytes"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// errAnswerLost is what a client sees when the handler drops its call.
const errAnswerLost = errors.ConstError("connection closed without an answer")

// Transport returns an HTTP transport that calls the store in process, for
// tests with a simulated clock, in which no goroutine may wait on a socket.
func (s *Store) Transport() http.RoundTripper { return inProcess{s.Handler()} }

type inProcess struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper.
func (t inProcess) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil {
		r.Body = http.NoBody
	}
	answer := &buffered{header: http.Header{}, status: http.StatusOK}
	done := make(chan bool, 1)
	go func() { done <- t.serve(answer, r) }()
	select {
	case whole := <-done:
		if !whole {
			return nil, errAnswerLost
		}
		return answer.response(r), nil
	case <-r.Context().Done():
		return nil, errors.Trace(r.Context().Err())
	}
}

// serve reports whether the handler gave a whole answer.
func (t inProcess) serve(w http.ResponseWriter, r *http.Request) (whole bool) {
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	t.handler.ServeHTTP(w, r)
	return true
}

// buffered collects an answer.
type buffered struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *buffered) Header() http.Header         { return b.header }
func (b *buffered) Write(p []byte) (int, error) { return b.body.Write(p) }
func (b *buffered) WriteHeader(status int)      { b.status = status }

func (b *buffered) response(r *http.Request) *http.Response {
	return &http.Response{
		StatusCode: b.status, Header: b.header, Body: io.NopCloser(&b.body),
		ContentLength: int64(b.body.Len()), Request: r,
	}
}
