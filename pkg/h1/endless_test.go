package h1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// endlessBytes is what a server sends that does not stop by itself.
	endlessBytes = 1 << 30
	// maxAcceptedBytes bounds what such a server can send before the client
	// closes: the limits of the test and the socket buffers of both ends.
	maxAcceptedBytes = 32 << 20
)

// startEndlessServer starts a server that responds to each request with start
// and then repeats a pattern. It counts the bytes that the client accepts.
func startEndlessServer(t *testing.T, start, repeated string) (string, *atomic.Int64) {
	accepted := &atomic.Int64{}
	addr := startScriptedServer(t, func(t *testing.T, conn net.Conn, _ int) {
		if receiveRequest(t, bufio.NewReader(conn)) == nil {
			return
		}
		_, _ = io.WriteString(conn, start)
		block := make([]byte, 0, 64<<10)
		for len(block)+len(repeated) <= cap(block) {
			block = append(block, repeated...)
		}
		for accepted.Load() < endlessBytes {
			n, err := conn.Write(block)
			accepted.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	return addr, accepted
}

// requireStopped waits until the server can send no more bytes and checks how
// many the client has accepted.
func requireStopped(t *testing.T, accepted *atomic.Int64) {
	t.Helper()
	last := int64(-1)
	require.Eventually(t, func() bool {
		previous := last
		last = accepted.Load()
		return last == previous
	}, time.Minute, 50*time.Millisecond)
	require.Less(t, last, int64(maxAcceptedBytes))
}

// Guards against a node that keeps reading a header without end, or interim
// responses and responses to other requests without end, until its memory or the
// deadline of the call runs out.
func TestEndlessHeaderEndsAtTheLimit(t *testing.T) {
	for name, server := range map[string]struct{ start, repeated string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"header field":      {"HTTP/1.1 200 OK\r\nServer: ", "x"},
		"header fields":     {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"bytes of no kind":  {"", "\x00\xff"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"stray responses":   {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nab"},
		"stray body":        {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, accepted := startEndlessServer(t, server.start, server.repeated)
			request := newGetRequest("/")
			request.AcceptResponse = func(h http.Header) bool { return len(h["Id"]) == 0 }
			_, err := newPool().Do(t.Context(), addr, request)
			requestError := requireError(t, err)
			require.True(t, requestError.RequestSent, "the server may have executed the request")
			require.True(t, requestError.ResponseTooLarge, "%v", err)
			requireStopped(t, accepted)
		})
	}
}

// Guards against a body without end that is read until the caller closes, and
// against one that is passed on as if it were complete.
func TestEndlessBodyEndsAtTheLimit(t *testing.T) {
	for name, server := range map[string]struct{ start, repeated string }{
		"chunked":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n"},
		"without length": {"HTTP/1.1 200 OK\r\n\r\n", "ab"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, accepted := startEndlessServer(t, server.start, server.repeated)
			pool := newPool()
			pool.MaxBodyBytes = 1 << 20
			response, err := pool.Do(t.Context(), addr, newGetRequest("/"))
			require.NoError(t, err)
			n, err := io.Copy(io.Discard, response.Body)
			require.ErrorIs(t, err, errBodyTooLarge)
			require.LessOrEqual(t, n, pool.MaxBodyBytes)
			require.NoError(t, response.Body.Close())
			requireStopped(t, accepted)
		})
	}
	t.Run("declared length", func(t *testing.T) {
		addr, accepted := startEndlessServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 4611686018427387904\r\n\r\n", "ab")
		pool := newPool()
		pool.MaxBodyBytes = 1 << 20
		_, err := pool.Do(t.Context(), addr, newGetRequest("/"))
		require.True(t, requireError(t, err).ResponseTooLarge)
		requireStopped(t, accepted)
	})
}

// Guards against a limit of the header that counts bytes of earlier responses or
// of the body.
func TestLimitOfTheHeaderAppliesToEachResponse(t *testing.T) {
	const body = "0123456789"
	addr := startScriptedServer(t, func(t *testing.T, conn net.Conn, _ int) {
		r := bufio.NewReader(conn)
		for receiveRequest(t, r) != nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"+body)
		}
	})
	pool := newPool()
	pool.MaxHeaderBytes = 64
	for range 20 {
		response, err := pool.Do(t.Context(), addr, newGetRequest("/"))
		require.NoError(t, err)
		require.Equal(t, body, readAndCloseBody(t, response))
	}
	require.EqualValues(t, 1, pool.ConnsOpened.Load())
}
