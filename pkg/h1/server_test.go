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
	return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
}

// startServer serves a handler on a loopback address.
func startServer(t *testing.T, s *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	if s.Limits == nil {
		s.Limits = testLimits
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

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func text(s string) *Response { return &Response{Status: http.StatusOK, BufferedBody: []byte(s)} }

func readAnswer(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

// Guards against answers of pipelined requests that overtake each other.
func TestPipelinedAnswersKeepTheirOrder(t *testing.T) {
	first := make(chan struct{})
	addr := startServer(t, &Server{Handler: func(_ context.Context, r *Request) *Response {
		if r.Target == "/1" {
			<-first
		} else {
			close(first)
		}
		return text(r.Target)
	}})
	conn := dial(t, addr)
	_, err := io.WriteString(conn, get("/1")+get("/2"))
	require.NoError(t, err)
	r := bufio.NewReader(conn)
	_, body := readAnswer(t, r)
	require.Equal(t, "/1", body)
	_, body = readAnswer(t, r)
	require.Equal(t, "/2", body)
}

// Guards against calls that go on after their caller has gone, also when bytes
// of a further request wait behind the one that runs.
func TestCloseOfTheCallerCancelsPipelinedRequests(t *testing.T) {
	canceled := make(chan string, 2)
	started := make(chan struct{}, 2)
	addr := startServer(t, &Server{Handler: func(ctx context.Context, r *Request) *Response {
		started <- struct{}{}
		<-ctx.Done()
		canceled <- r.Target
		return text("")
	}})
	conn := dial(t, addr)
	_, err := io.WriteString(conn, get("/1")+get("/2")+"GET /3 HT")
	require.NoError(t, err)
	<-started
	<-started
	require.NoError(t, conn.Close())
	got := []string{<-canceled, <-canceled}
	require.ElementsMatch(t, []string{"/1", "/2"}, got)
}

// Guards against a stop that cuts requests of a connection that is never idle:
// a draining server reads no further request of a busy connection, answers what
// it has read and closes with the last answer (ctrt-mesh scale-1 with seed
// 1081793917643 broke LOST).
func TestDrainEndsBusyPipelinedConnections(t *testing.T) {
	release := map[string]chan struct{}{"/1": make(chan struct{}), "/2": make(chan struct{})}
	handled := make(chan string, 4)
	server := &Server{Handler: func(_ context.Context, r *Request) *Response {
		handled <- r.Target
		if ch := release[r.Target]; ch != nil {
			<-ch
		}
		return text(r.Target)
	}}
	conn := dial(t, startServer(t, server))
	_, err := io.WriteString(conn, get("/1")+get("/2"))
	require.NoError(t, err)
	<-handled
	<-handled
	server.Drain()
	close(release["/1"])
	r := bufio.NewReader(conn)
	resp, _ := readAnswer(t, r)
	require.False(t, resp.Close)
	_, err = io.WriteString(conn, get("/3"))
	require.NoError(t, err)
	select {
	case target := <-handled:
		require.Fail(t, "a request was read after the stop", target)
	case <-time.After(50 * time.Millisecond):
	}
	close(release["/2"])
	resp, body := readAnswer(t, r)
	require.Equal(t, "/2", body)
	require.True(t, resp.Close)
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Empty(t, handled)
	require.Zero(t, server.ActiveRequests())
}

// Guards against an incomplete answer that looks whole to the caller.
func TestBrokenBodyBreaksTheConnection(t *testing.T) {
	for name, length := range map[string]int64{"chunked": -1, "with a length": 100} {
		t.Run(name, func(t *testing.T) {
			addr := startServer(t, &Server{Handler: func(context.Context, *Request) *Response {
				body := io.MultiReader(strings.NewReader("half"), failingReader{})
				return &Response{Status: http.StatusOK, Body: io.NopCloser(body), ContentLength: length}
			}})
			conn := dial(t, addr)
			_, err := io.WriteString(conn, get("/"))
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

// Guards against malformed and oversized requests that are handled or that end
// without a clear answer.
func TestRefusedRequests(t *testing.T) {
	addr := startServer(t, &Server{
		Handler: func(context.Context, *Request) *Response { return text("handled") },
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 512, MaxBodyBytes: 10, ReadHeaderTimeout: 200 * time.Millisecond, IdleTimeout: time.Minute}
		},
	})
	for name, c := range map[string]struct {
		sent   string
		status int
	}{
		"not HTTP":     {"nonsense\r\n\r\n", http.StatusBadRequest},
		"long header":  {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"long body":    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nxxxxxxxxxxx", http.StatusRequestEntityTooLarge},
		"long chunks":  {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nxxxxxxxxxxx\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"bad chunk":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest},
		"slow header":  {"GET / HTTP/1.1\r\nHo", http.StatusRequestTimeout},
		"whole chunks": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, addr)
			_, err := io.WriteString(conn, c.sent)
			require.NoError(t, err)
			resp, _ := readAnswer(t, bufio.NewReader(conn))
			require.Equal(t, c.status, resp.StatusCode)
		})
	}
}
