package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testLimits() Limits {
	return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, ReadHeaderTimeout: 5 * time.Second}
}

// startServer runs a server on a loopback address and returns the address.
func startServer(t *testing.T, s *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	if s.Limits == nil {
		s.Limits = testLimits
	}
	if s.IdleTimeout == nil {
		s.IdleTimeout = func(time.Time) time.Duration { return time.Minute }
	}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func rawGet(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func okResponse(s string) *Response { return &Response{Status: http.StatusOK, BufferedBody: []byte(s)} }

func receiveResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

// Guards against responses to pipelined requests that are written out of order.
func TestPipelinedResponsesKeepTheirOrder(t *testing.T) {
	first := make(chan struct{})
	addr := startServer(t, &Server{Handler: func(_ context.Context, r *Request) *Response {
		if r.Target == "/1" {
			<-first
		} else {
			close(first)
		}
		return okResponse(r.Target)
	}})
	conn := dial(t, addr)
	_, err := io.WriteString(conn, rawGet("/1")+rawGet("/2"))
	require.NoError(t, err)
	r := bufio.NewReader(conn)
	_, body := receiveResponse(t, r)
	require.Equal(t, "/1", body)
	_, body = receiveResponse(t, r)
	require.Equal(t, "/2", body)
}

// Guards against requests that are not canceled when their caller disconnects, also
// when bytes of a further request are buffered.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	canceled := make(chan string, 2)
	started := make(chan struct{}, 2)
	addr := startServer(t, &Server{Handler: func(ctx context.Context, r *Request) *Response {
		started <- struct{}{}
		<-ctx.Done()
		canceled <- r.Target
		return okResponse("")
	}})
	conn := dial(t, addr)
	_, err := io.WriteString(conn, rawGet("/1")+rawGet("/2")+"GET /3 HT")
	require.NoError(t, err)
	<-started
	<-started
	require.NoError(t, conn.Close())
	got := []string{<-canceled, <-canceled}
	require.ElementsMatch(t, []string{"/1", "/2"}, got)
}

// Guards against a shutdown that closes a connection with unanswered requests
// because the connection is never idle. A draining server must read no further
// request from it, respond to those that it has read, and close it after the last
// response. Found in the mesh scenario scale-1 with seed 1081793917643, in which
// responses were lost.
func TestDrainCompletesPipelinedRequests(t *testing.T) {
	release := map[string]chan struct{}{"/1": make(chan struct{}), "/2": make(chan struct{})}
	handled := make(chan string, 4)
	server := &Server{Handler: func(_ context.Context, r *Request) *Response {
		handled <- r.Target
		if ch := release[r.Target]; ch != nil {
			<-ch
		}
		return okResponse(r.Target)
	}}
	conn := dial(t, startServer(t, server))
	_, err := io.WriteString(conn, rawGet("/1")+rawGet("/2"))
	require.NoError(t, err)
	<-handled
	<-handled
	server.Drain()
	close(release["/1"])
	r := bufio.NewReader(conn)
	resp, _ := receiveResponse(t, r)
	require.False(t, resp.Close)
	_, err = io.WriteString(conn, rawGet("/3"))
	require.NoError(t, err)
	select {
	case target := <-handled:
		require.Fail(t, "a request was read after Drain", target)
	case <-time.After(50 * time.Millisecond):
	}
	close(release["/2"])
	resp, body := receiveResponse(t, r)
	require.Equal(t, "/2", body)
	require.True(t, resp.Close)
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Empty(t, handled)
	require.Zero(t, server.ActiveRequests())
}

// Guards against an incomplete response that the caller takes for complete.
func TestBodyReadErrorClosesConnection(t *testing.T) {
	for name, length := range map[string]int64{"chunked": -1, "with a length": 100} {
		t.Run(name, func(t *testing.T) {
			addr := startServer(t, &Server{Handler: func(context.Context, *Request) *Response {
				body := io.MultiReader(strings.NewReader("half"), failingReader{})
				return &Response{Status: http.StatusOK, Body: io.NopCloser(body), ContentLength: length}
			}})
			conn := dial(t, addr)
			_, err := io.WriteString(conn, rawGet("/"))
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			require.Error(t, err)
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against invalid and oversized requests that reach the handler, or that get
// no response with the status for their fault.
func TestInvalidRequestsAreRejected(t *testing.T) {
	addr := startServer(t, &Server{
		Handler: func(context.Context, *Request) *Response { return okResponse("handled") },
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 512, MaxBodyBytes: 10, ReadHeaderTimeout: 200 * time.Millisecond}
		},
	})
	for name, c := range map[string]struct {
		raw    string
		status int
	}{
		"not HTTP":          {"nonsense\r\n\r\n", http.StatusBadRequest},
		"long header":       {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"long body":         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nxxxxxxxxxxx", http.StatusRequestEntityTooLarge},
		"long chunked body": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nxxxxxxxxxxx\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"malformed chunk":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest},
		"slow header":       {"GET / HTTP/1.1\r\nHo", http.StatusRequestTimeout},
		"complete chunks":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, addr)
			_, err := io.WriteString(conn, c.raw)
			require.NoError(t, err)
			resp, _ := receiveResponse(t, bufio.NewReader(conn))
			require.Equal(t, c.status, resp.StatusCode)
		})
	}
}

// Guards against a panic of one handler that ends the process or the other
// requests of the connection.
func TestPanicOfAHandlerEndsItsRequestOnly(t *testing.T) {
	addr := startServer(t, &Server{Handler: func(_ context.Context, r *Request) *Response {
		if r.Target == "/panic" {
			panic("unexpected")
		}
		return okResponse(r.Target)
	}})
	conn := dial(t, addr)
	_, err := io.WriteString(conn, rawGet("/1")+rawGet("/panic")+rawGet("/2"))
	require.NoError(t, err)
	r := bufio.NewReader(conn)
	for _, want := range []struct {
		status int
		body   string
	}{{http.StatusOK, "/1"}, {http.StatusInternalServerError, "internal error\n"}, {http.StatusOK, "/2"}} {
		resp, body := receiveResponse(t, r)
		require.Equal(t, want.status, resp.StatusCode)
		require.Equal(t, want.body, body)
	}
}
