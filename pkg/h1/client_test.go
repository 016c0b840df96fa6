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

// peer is a scripted server: each connection is passed to the script.
func peer(t *testing.T, script func(t *testing.T, conn net.Conn, number int)) string {
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

func pool() *Pool {
	return &Pool{DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute}
}

func call(target string) *ClientRequest {
	return &ClientRequest{Method: http.MethodGet, Target: target, Host: "h", Header: http.Header{}, MaxIdleTime: time.Minute}
}

func readRequest(t *testing.T, r *bufio.Reader) *http.Request {
	t.Helper()
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req
}

func failure(t *testing.T, err error) *Error {
	t.Helper()
	var failed *Error
	require.True(t, errors.As(err, &failed), "%v", err)
	return failed
}

func body(t *testing.T, a *ClientResponse) string {
	t.Helper()
	data, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	require.NoError(t, a.Body.Close())
	return string(data)
}

// Guards against a call that is sent a second time, or told as not sent, when
// its server resets a reused connection after the request was written.
func TestResetOnAReusedConnectionIsTold(t *testing.T) {
	requests := make(chan string, 4)
	addr := peer(t, func(t *testing.T, conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		for {
			req := readRequest(t, r)
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
	p := pool()
	answer, err := p.Do(t.Context(), addr, call("/1"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, answer))
	_, err = p.Do(t.Context(), addr, call("/2"))
	require.True(t, failure(t, err).RequestSent)
	require.Equal(t, "/1", <-requests)
	require.Equal(t, "/2", <-requests)
	require.Empty(t, requests)
	require.EqualValues(t, 1, p.Opened.Load())
}

// Guards against a call on a connection that its server closed while it was
// idle, and against a call told as sent when nothing listens.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 1)
	addr := peer(t, func(t *testing.T, conn net.Conn, number int) {
		readRequest(t, bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if number == 0 {
			_ = conn.Close()
			closed <- struct{}{}
		}
	})
	p := pool()
	answer, err := p.Do(t.Context(), addr, call("/"))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	<-closed
	require.Eventually(t, func() bool { p.SweepIdleConns(time.Now()); return p.stack(addr).head.Load() == nil }, 5*time.Second, time.Millisecond)
	_, err = p.Do(t.Context(), addr, call("/"))
	require.NoError(t, err)

	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, socket.Close())
	_, err = p.Do(t.Context(), socket.Addr().String(), call("/"))
	require.False(t, failure(t, err).RequestSent)
	require.True(t, failure(t, err).ConnRefused)
}

// Guards against an answer of an earlier request that is taken for that of the
// next one, and against further use of such a connection.
func TestAnswerOfAnotherCallIsSkipped(t *testing.T) {
	addr := peer(t, func(t *testing.T, conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		for {
			req := readRequest(t, r)
			if req == nil {
				return
			}
			if req.URL.Path == "/2" {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: /1\r\nContent-Length: 5\r\n\r\nextra")
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+req.URL.Path+"\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	p := pool()
	for _, target := range []string{"/1", "/2", "/3"} {
		c := call(target)
		c.AcceptResponse = func(h http.Header) bool { return h.Get("Id") == target }
		answer, err := p.Do(t.Context(), addr, c)
		require.NoError(t, err)
		require.Equal(t, "ok", body(t, answer))
	}
	require.EqualValues(t, 2, p.Opened.Load())
}

// Guards against bytes behind a whole answer that are taken for the next one.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	addr := peer(t, func(t *testing.T, conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		if readRequest(t, r) == nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		_ = readRequest(t, r)
	})
	p := pool()
	for range 2 {
		answer, err := p.Do(t.Context(), addr, call("/"))
		require.NoError(t, err)
		require.Equal(t, "ok", body(t, answer))
	}
}

// Guards against answers that break off and look whole.
func TestTruncatedAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		sent  string
		reset bool
		whole bool
	}{
		"short":               {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false, false},
		"open chunk":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false, false},
		"ended by close":      {"HTTP/1.1 200 OK\r\n\r\nhalf", false, true},
		"ended by reset":      {"HTTP/1.1 200 OK\r\n\r\nhalf", true, false},
		"no answer, no bytes": {"", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			addr := peer(t, func(t *testing.T, conn net.Conn, _ int) {
				readRequest(t, bufio.NewReader(conn))
				_, _ = io.WriteString(conn, c.sent)
				if c.reset {
					time.Sleep(50 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			answer, err := pool().Do(t.Context(), addr, call("/"))
			if err == nil {
				_, err = io.ReadAll(answer.Body)
				_ = answer.Body.Close()
			}
			require.Equal(t, c.whole, err == nil, "%v", err)
		})
	}
}

// Guards against a held call whose body leaves before the server has taken it:
// a silent connection must prove that the call did not run.
func TestHeldCallIsNotSentToASilentServer(t *testing.T) {
	got := make(chan []byte, 1)
	addr := peer(t, func(t *testing.T, conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		_, _ = http.ReadRequest(r)
		rest, _ := io.ReadAll(r)
		got <- rest
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	c := call("/")
	c.Method, c.Body, c.ExpectContinue = http.MethodPost, []byte("booking"), true
	_, err := pool().Do(ctx, addr, c)
	require.False(t, failure(t, err).RequestSent)
	require.Empty(t, <-got)
}

// Guards against a held call that loses its body or is told as not sent after
// the server has taken it.
func TestHeldCallFollowsWithItsBody(t *testing.T) {
	server := &Server{ManualContinue: true, Handler: func(ctx context.Context, r *Request) *Response {
		if r.Target == "/refused" {
			return &Response{Status: http.StatusServiceUnavailable}
		}
		if err := r.SendInterim(http.StatusContinue); err != nil {
			return &Response{Broken: true}
		}
		data, err := r.AwaitBody(ctx, 5*time.Second)
		if err != nil || r.Target == "/broken" {
			return &Response{Broken: true}
		}
		return text(string(data))
	}}
	addr := startServer(t, server)
	p := pool()
	held := func(target string) *ClientRequest {
		return &ClientRequest{Method: http.MethodPost, Target: target, Host: "h", Header: http.Header{}, Body: []byte("booking"), ExpectContinue: true, MaxIdleTime: time.Minute}
	}
	for range 2 {
		answer, err := p.Do(t.Context(), addr, held("/"))
		require.NoError(t, err)
		require.Equal(t, "booking", body(t, answer))
	}
	require.EqualValues(t, 1, p.Opened.Load())
	_, err := p.Do(t.Context(), addr, held("/broken"))
	require.True(t, failure(t, err).RequestSent)
	opened := p.Opened.Load()
	for range 3 {
		answer, err := p.Do(t.Context(), addr, held("/refused"))
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, answer.Status)
		require.NoError(t, answer.Body.Close())
	}
	require.LessOrEqual(t, p.Opened.Load(), opened+1)
}

// Guards against a server that resets each new connection and is not told as
// such because the reset comes while the connection is made.
func TestResetOfANewConnectionIsTold(t *testing.T) {
	addr := peer(t, func(_ *testing.T, conn net.Conn, _ int) { _ = conn.(*net.TCPConn).SetLinger(0) })
	p := pool()
	for range 2000 {
		_, err := p.Do(t.Context(), addr, call("/"))
		require.True(t, failure(t, err).ConnClosed, "%v", err)
	}
}
