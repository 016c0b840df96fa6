package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func handleOK(context.Context, *Request) *Response { return okResponse("ok") }

// requireEOF waits for the end of a connection.
func requireEOF(t *testing.T, r io.Reader) {
	t.Helper()
	_, err := r.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// requireNoConns waits until a server has no open connection.
func requireNoConns(t *testing.T, s *Server) {
	t.Helper()
	require.Eventually(t, func() bool { return s.openConns() == 0 }, 10*time.Second, 5*time.Millisecond)
}

// Guards against requests that are read and never answered on connections that were
// idle while the timeout was raised (review/4).
func TestRaisedIdleTimeoutAppliesToIdleConns(t *testing.T) {
	addr := startServer(t, &Server{Handler: handleOK, IdleTimeout: func(since time.Time) time.Duration {
		const before, after = 50 * time.Millisecond, time.Minute
		if time.Since(since) < before {
			return before
		}
		return after
	}})
	conn := dial(t, addr)
	r := bufio.NewReader(conn)
	for range 2 {
		_, err := io.WriteString(conn, rawGet("/"))
		require.NoError(t, err)
		_, body := receiveResponse(t, r)
		require.Equal(t, "ok", body)
		time.Sleep(150 * time.Millisecond)
	}
}

// Guards against connections that stay open after their idle timeout, so that their
// callers wait for responses to requests that are not read, and descriptors run out
// (review/4).
func TestIdleConnIsClosed(t *testing.T) {
	for name, requests := range map[string]string{"without a request": "", "after a response": rawGet("/"), "after pipelined requests": rawGet("/") + rawGet("/")} {
		t.Run(name, func(t *testing.T) {
			server := &Server{Handler: handleOK, IdleTimeout: func(time.Time) time.Duration { return 50 * time.Millisecond }}
			conn := dial(t, startServer(t, server))
			_, err := io.WriteString(conn, requests)
			require.NoError(t, err)
			r := bufio.NewReader(conn)
			for i := 0; i < len(requests); i += len(rawGet("/")) {
				receiveResponse(t, r)
			}
			requireEOF(t, r)
			// The server gives up the descriptor although the caller keeps its side open.
			requireNoConns(t, server)
		})
	}
}

// Guards against a connection that the server keeps for the length of the idle
// timeout after its last response, because its caller does not close it.
func TestConnIsReleasedAfterItsLastResponse(t *testing.T) {
	for name, request := range map[string]string{
		"closed by the caller's header": "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"rejected request":              "nonsense\r\n\r\n",
		"draining":                      rawGet("/drain"),
		"bytes of a further request":    rawGet("/drain") + "GET /2 HT",
	} {
		t.Run(name, func(t *testing.T) {
			server := &Server{}
			server.Handler = func(_ context.Context, r *Request) *Response {
				if r.Target == "/drain" {
					server.Drain()
				}
				return okResponse("ok")
			}
			conn := dial(t, startServer(t, server))
			_, err := io.WriteString(conn, request)
			require.NoError(t, err)
			r := bufio.NewReader(conn)
			resp, _ := receiveResponse(t, r)
			require.True(t, resp.Close)
			requireEOF(t, r)
			requireNoConns(t, server)
		})
	}
}

// Guards against a server whose descriptors are used up by idle connections: those
// that have been idle for longest are closed, and none with a request.
func TestLongestIdleConnsAreClosedAboveTheLimit(t *testing.T) {
	release := make(chan struct{})
	busy := make(chan struct{})
	server := &Server{MaxConns: 2, Handler: func(_ context.Context, r *Request) *Response {
		if r.Target == "/wait" {
			close(busy)
			<-release
		}
		return okResponse(r.Target)
	}}
	addr := startServer(t, server)
	first := dial(t, addr)
	_, err := io.WriteString(first, rawGet("/wait"))
	require.NoError(t, err)
	<-busy
	second := dial(t, addr)
	_, err = io.WriteString(second, rawGet("/"))
	require.NoError(t, err)
	receiveResponse(t, bufio.NewReader(second))
	require.Eventually(t, func() bool { return server.ActiveRequests() == 1 }, 10*time.Second, time.Millisecond)
	third := dial(t, addr)
	requireEOF(t, second)
	_, err = io.WriteString(third, rawGet("/3"))
	require.NoError(t, err)
	_, body := receiveResponse(t, bufio.NewReader(third))
	require.Equal(t, "/3", body)
	close(release)
	_, body = receiveResponse(t, bufio.NewReader(first))
	require.Equal(t, "/wait", body)
}

// failingListener fails the first calls of Accept.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// Guards against a node that ends when it has no descriptors left (review/4).
func TestServerSurvivesTransientAcceptErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := &Server{Handler: handleOK, Limits: testLimits, IdleTimeout: func(time.Time) time.Duration { return time.Minute }}
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(&failingListener{Listener: listener, errs: []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENFILE}})
	}()
	conn := dial(t, listener.Addr().String())
	_, err = io.WriteString(conn, rawGet("/"))
	require.NoError(t, err)
	_, body := receiveResponse(t, bufio.NewReader(conn))
	require.Equal(t, "ok", body)
	require.NoError(t, listener.Close())
	require.NoError(t, <-served)
}

// Guards against an error that will not pass and is retried for ever.
func TestOtherAcceptErrorsEndTheServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := &Server{Handler: handleOK, Limits: testLimits}
	require.ErrorIs(t, server.Serve(&failingListener{Listener: listener, errs: []error{syscall.EINVAL}}), syscall.EINVAL)
}
