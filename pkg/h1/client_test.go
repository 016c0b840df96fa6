package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// startScriptedServer starts a server that passes each connection, with its number,
// to script.
func startScriptedServer(t *testing.T, script func(t *testing.T, conn net.Conn, number int)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				script(t, conn, number)
			}()
		}
	}()
	return listener.Addr().String()
}

func newPool() *Pool {
	return &Pool{DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute}
}

func newGetRequest(target string) *ClientRequest {
	return &ClientRequest{Method: http.MethodGet, Target: target, Host: "h", Header: http.Header{}, MaxIdleTime: time.Minute}
}

func receiveRequest(t *testing.T, r *bufio.Reader) *http.Request {
	t.Helper()
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req
}

func requireError(t *testing.T, err error) *Error {
	t.Helper()
	var h1Err *Error
	require.True(t, errors.As(err, &h1Err), "%v", err)
	return h1Err
}

func readAndCloseBody(t *testing.T, resp *ClientResponse) string {
	t.Helper()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return string(data)
}

// Guards against a request that is retried, or reported as not sent, when the
// server resets a reused connection after it received the request.
func TestResetOnReusedConnectionIsReported(t *testing.T) {
	requests := make(chan string, 4)
	addr := startScriptedServer(t, func(t *testing.T, conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		for {
			req := receiveRequest(t, r)
			if req == nil {
				return
			}
			requests <- req.URL.Path
			if req.URL.Path == "/2" {
				_ = conn.(*net.TCPConn).SetLinger(0)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := newPool()
	resp, err := pool.Do(t.Context(), addr, newGetRequest("/1"))
	require.NoError(t, err)
	require.Equal(t, "ok", readAndCloseBody(t, resp))
	_, err = pool.Do(t.Context(), addr, newGetRequest("/2"))
	require.True(t, requireError(t, err).RequestSent)
	require.Equal(t, "/1", <-requests)
	require.Equal(t, "/2", <-requests)
	require.Empty(t, requests)
	require.EqualValues(t, 1, pool.ConnsOpened.Load())
}

// Guards against a request on a connection that the server closed while it was
// idle, and against a request reported as sent when no process listens at the
// address.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 1)
	addr := startScriptedServer(t, func(t *testing.T, conn net.Conn, number int) {
		receiveRequest(t, bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if number == 0 {
			_ = conn.Close()
			closed <- struct{}{}
		}
	})
	pool := newPool()
	resp, err := pool.Do(t.Context(), addr, newGetRequest("/"))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	<-closed
	require.Eventually(t, func() bool {
		pool.SweepIdleConns(time.Now())
		return pool.idleByKey.Get(idleKey{addr: addr}).head.Load() == nil
	}, 5*time.Second, time.Millisecond)
	_, err = pool.Do(t.Context(), addr, newGetRequest("/"))
	require.NoError(t, err)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = pool.Do(t.Context(), listener.Addr().String(), newGetRequest("/"))
	require.False(t, requireError(t, err).RequestSent)
	require.True(t, requireError(t, err).ConnRefused)
}

// Guards against taking a second response to an earlier request for the response to
// the next one, and against reusing the connection after it.
func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	addr := startScriptedServer(t, func(t *testing.T, conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		for {
			req := receiveRequest(t, r)
			if req == nil {
				return
			}
			if req.URL.Path == "/2" {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: /1\r\nContent-Length: 5\r\n\r\nextra")
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+req.URL.Path+"\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := newPool()
	for _, target := range []string{"/1", "/2", "/3"} {
		req := newGetRequest(target)
		req.AcceptResponse = func(h http.Header) bool { return h.Get("Id") == target }
		resp, err := pool.Do(t.Context(), addr, req)
		require.NoError(t, err)
		require.Equal(t, "ok", readAndCloseBody(t, resp))
	}
	require.EqualValues(t, 2, pool.ConnsOpened.Load())
}

// Guards against a response without an ID that is taken for the response to a request,
// although it may be a second copy of an earlier one, and against a connection of calls
// that carries requests whose responses need no ID.
func TestResponseWithoutIDNeedsAConnectionOfItsOwn(t *testing.T) {
	addr := startScriptedServer(t, func(t *testing.T, conn net.Conn, _ int) {
		r, late := bufio.NewReader(conn), ""
		for {
			req := receiveRequest(t, r)
			if req == nil {
				return
			}
			response := "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"
			if req.URL.Path == "/call" {
				response = "HTTP/1.1 200 OK\r\nId: /call\r\nContent-Length: 0\r\n\r\n"
			}
			_, _ = io.WriteString(conn, late+response)
			late = response
		}
	})
	pool := newPool()
	send := func(target string, checked bool) (*ClientResponse, error) {
		req := newGetRequest(target)
		if checked {
			req.AcceptResponse = func(h http.Header) bool { return h.Get("Id") == target }
			req.IdentifiesNone = func(h http.Header) bool { return h.Get("Id") == "" }
		}
		resp, err := pool.Do(t.Context(), addr, req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return resp, err
	}
	_, err := send("/health", false)
	require.NoError(t, err)
	resp, err := send("/call", true)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.Status)
	require.EqualValues(t, 2, pool.ConnsOpened.Load())
	// The connection of the first call is used again and carries no proof.
	var h1Err *Error
	_, err = send("/anonymous", true)
	require.ErrorAs(t, err, &h1Err)
	require.True(t, h1Err.Unidentified)
	require.True(t, h1Err.RequestSent)
	// A response without an ID is accepted on a new connection, which ends with it.
	for opened := range 2 {
		resp, err = send("/anonymous", true)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.Status)
		require.EqualValues(t, 3+opened, pool.ConnsOpened.Load())
	}
}

// Guards against reusing a connection on which the server sent bytes after a
// complete response: they would be taken for the next response.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	addr := startScriptedServer(t, func(t *testing.T, conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		if receiveRequest(t, r) == nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		_ = receiveRequest(t, r)
	})
	pool := newPool()
	for range 2 {
		resp, err := pool.Do(t.Context(), addr, newGetRequest("/"))
		require.NoError(t, err)
		require.Equal(t, "ok", readAndCloseBody(t, resp))
	}
}

// Guards against truncated responses that are reported as complete.
func TestTruncatedResponses(t *testing.T) {
	for name, c := range map[string]struct {
		raw      string
		reset    bool
		complete bool
	}{
		"short":                   {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false, false},
		"unterminated chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false, false},
		"ended by close":          {"HTTP/1.1 200 OK\r\n\r\nhalf", false, true},
		"ended by reset":          {"HTTP/1.1 200 OK\r\n\r\nhalf", true, false},
		"closed without response": {"", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startScriptedServer(t, func(t *testing.T, conn net.Conn, _ int) {
				receiveRequest(t, bufio.NewReader(conn))
				_, _ = io.WriteString(conn, c.raw)
				if c.reset {
					time.Sleep(50 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			resp, err := newPool().Do(t.Context(), addr, newGetRequest("/"))
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			require.Equal(t, c.complete, err == nil, "%v", err)
		})
	}
}

// Guards against sending the body of a request with Expect: 100-continue before the
// 100 response: when the server sends none, the request must be reported as not
// sent.
func TestBodyIsNotSentBefore100Response(t *testing.T) {
	receivedBody := make(chan []byte, 1)
	addr := startScriptedServer(t, func(t *testing.T, conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		_, _ = http.ReadRequest(r)
		rest, _ := io.ReadAll(r)
		receivedBody <- rest
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	req := newGetRequest("/")
	req.Method, req.Body, req.ExpectContinue = http.MethodPost, []byte("booking"), true
	_, err := newPool().Do(ctx, addr, req)
	require.False(t, requireError(t, err).RequestSent)
	require.Empty(t, <-receivedBody)
}

// Guards against a request with Expect: 100-continue whose body is not sent after
// the 100 response, or that is reported as not sent after its body was sent.
func TestBodyIsSentAfterContinue(t *testing.T) {
	server := &Server{ManualContinue: true, Handler: func(ctx context.Context, r *Request) *Response {
		if r.Target == "/refused" {
			return &Response{Status: http.StatusServiceUnavailable}
		}
		if err := r.SendInterim(http.StatusContinue); err != nil {
			return &Response{Abort: true}
		}
		data, err := r.AwaitBody(ctx, 5*time.Second)
		if err != nil || r.Target == "/broken" {
			return &Response{Abort: true}
		}
		return okResponse(string(data))
	}}
	addr := startServer(t, server)
	pool := newPool()
	newPost := func(target string) *ClientRequest {
		return &ClientRequest{Method: http.MethodPost, Target: target, Host: "h", Header: http.Header{}, Body: []byte("booking"), ExpectContinue: true, MaxIdleTime: time.Minute}
	}
	for range 2 {
		resp, err := pool.Do(t.Context(), addr, newPost("/"))
		require.NoError(t, err)
		require.Equal(t, "booking", readAndCloseBody(t, resp))
	}
	require.EqualValues(t, 1, pool.ConnsOpened.Load())
	_, err := pool.Do(t.Context(), addr, newPost("/broken"))
	require.True(t, requireError(t, err).RequestSent)
	opened := pool.ConnsOpened.Load()
	for range 3 {
		resp, err := pool.Do(t.Context(), addr, newPost("/refused"))
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.Status)
		require.NoError(t, resp.Body.Close())
	}
	require.LessOrEqual(t, pool.ConnsOpened.Load(), opened+1)
}

// Guards against a reset of a new connection that is not reported in ConnClosed
// because it arrives while the connection is being opened.
func TestResetOfNewConnectionIsReported(t *testing.T) {
	addr := startScriptedServer(t, func(_ *testing.T, conn net.Conn, _ int) { _ = conn.(*net.TCPConn).SetLinger(0) })
	pool := newPool()
	for range 2000 {
		_, err := pool.Do(t.Context(), addr, newGetRequest("/"))
		require.True(t, requireError(t, err).ConnClosed, "%v", err)
	}
}
