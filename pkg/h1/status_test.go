package h1

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against responses with statuses that HTTP does not have, from a server in
// trouble. They were taken for interim responses (000, 099) or passed on to callers
// (600, 999); 101 was passed on although no upgrade was requested.
func TestStatusesThatHTTPDoesNotHaveAreNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "700", "999"} {
		t.Run(status, func(t *testing.T) {
			addr := startScriptedServer(t, func(t *testing.T, conn net.Conn, _ int) {
				reader := bufio.NewReader(conn)
				for receiveRequest(t, reader) != nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\nContent-Length: 2\r\n\r\nhi", status)
					_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nlater")
				}
			})
			pool := newPool()
			response, err := pool.Do(t.Context(), addr, newGetRequest("/a"))
			require.Nil(t, response)
			failure := requireError(t, err)
			require.True(t, failure.RequestSent, "the server may have executed the request")
			require.False(t, failure.ConnClosed)
			require.EqualValues(t, 1, pool.ConnsOpened.Load())
			_, err = pool.Do(t.Context(), addr, newGetRequest("/b"))
			require.Error(t, err)
			require.EqualValues(t, 2, pool.ConnsOpened.Load(), "the connection is not used again")
		})
	}
}

// Guards against a refusal of statuses that are unusual but valid.
func TestUnusualStatusesAreResponses(t *testing.T) {
	for _, status := range []int{200, 299, 402, 418, 511, 599} {
		addr := startScriptedServer(t, func(t *testing.T, conn net.Conn, _ int) {
			if receiveRequest(t, bufio.NewReader(conn)) != nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d S\r\nContent-Length: 0\r\n\r\n", status)
			}
		})
		response, err := newPool().Do(t.Context(), addr, newGetRequest("/a"))
		require.NoError(t, err)
		require.Equal(t, status, response.Status)
		require.NoError(t, response.Body.Close())
	}
}
