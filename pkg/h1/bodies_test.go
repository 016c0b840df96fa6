package h1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// boundedBodies is a BodyBudget without a rule for small bodies.
type boundedBodies struct {
	bound int64
	held  atomic.Int64
}

func (b *boundedBodies) Reserve(size int64) bool {
	if b.held.Add(size) > b.bound {
		b.held.Add(-size)
		return false
	}
	return true
}

func (b *boundedBodies) Release(size int64) { b.held.Add(-size) }

// serveBodies starts a server with a budget.
func serveBodies(t testing.TB, bodies BodyBudget, manualContinue bool, handler Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := &Server{
		Handler: handler, Bodies: bodies, ManualContinue: manualContinue,
		RefuseBody: func(*Request) *Response {
			return &Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"0.5"}}}
		},
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 1 << 16, MaxBodyBytes: 64 << 20, ReadHeaderTimeout: 5 * time.Second}
		},
		IdleTimeout: func(time.Time) time.Duration { return time.Minute },
	}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// Guards against bodies that are read although the node has no memory for them, against
// a refusal that the caller cannot read because the connection is reset, and against
// memory that is never released.
func TestBodiesBeyondTheBoundAreRefused(t *testing.T) {
	const size = 8 << 20
	for name, c := range map[string]struct {
		head   string
		status int
		closes bool
	}{
		"length":                  {fmt.Sprintf("Content-Length: %d\r\n\r\n", size), 503, false},
		"length, connection ends": {fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", size), 503, true},
		"chunked":                 {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), 503, false},
		"expects 100":             {fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", size), 503, true},
	} {
		t.Run(name, func(t *testing.T) {
			bodies, held, finish := &boundedBodies{bound: size + size/2}, make(chan struct{}), make(chan struct{})
			addr := serveBodies(t, bodies, false, func(_ context.Context, r *Request) *Response {
				if r.Target == "/held" {
					close(held)
					<-finish
				}
				return &Response{Status: http.StatusOK, BufferedBody: []byte(fmt.Sprint(len(r.Body)))}
			})
			connect := func() (net.Conn, *bufio.Reader) {
				conn, err := net.Dial("tcp", addr)
				require.NoError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				return conn, bufio.NewReader(conn)
			}
			body := strings.Repeat("x", size)
			first, firstReader := connect()
			_, err := io.WriteString(first, fmt.Sprintf("POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)+body)
			require.NoError(t, err)
			<-held

			second, reader := connect()
			rest := body
			if strings.Contains(c.head, "chunked") {
				rest += "\r\n0\r\n\r\n"
			}
			if strings.Contains(c.head, "100-continue") {
				rest = ""
			}
			_, err = io.WriteString(second, "POST /refused HTTP/1.1\r\nHost: h\r\n"+c.head+rest)
			require.NoError(t, err)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, response.Body)
			require.Equal(t, c.status, response.StatusCode)
			require.Equal(t, "0.5", response.Header.Get("Retry-After"))
			require.Equal(t, c.closes, response.Close)
			if c.closes {
				second, reader = connect()
			}
			_, err = io.WriteString(second, "POST /small HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n"+body[:4000])
			require.NoError(t, err)
			response, err = http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			_, _ = io.Copy(io.Discard, response.Body)

			close(finish)
			response, err = http.ReadResponse(firstReader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Eventually(t, func() bool { return bodies.held.Load() == 0 }, time.Second, time.Millisecond)
		})
	}
}

// Guards against a body that is held twice on its way to another node: copied to be
// written, or copied while the buffer of the reader grows.
func TestForwardedBodyIsHeldOnce(t *testing.T) {
	const size = 32 << 20
	bodies := &boundedBodies{bound: 2 * size}
	addr := serveBodies(t, bodies, true, func(ctx context.Context, r *Request) *Response {
		if !r.ReserveBody(size) || r.SendInterim(http.StatusContinue) != nil {
			return &Response{Status: http.StatusServiceUnavailable}
		}
		body, err := r.AwaitBody(ctx, 5*time.Second)
		if err != nil || len(body) != size || bodies.held.Load() != size {
			return &Response{Status: http.StatusInternalServerError}
		}
		return &Response{Status: http.StatusOK}
	})
	body := make([]byte, size)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	response, err := newPool().Do(t.Context(), addr, &ClientRequest{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body, ExpectContinue: true})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.Status)
	require.NoError(t, response.Body.Close())
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(size+size/8))
	require.Eventually(t, func() bool { return bodies.held.Load() == 0 }, time.Second, time.Millisecond)
}
