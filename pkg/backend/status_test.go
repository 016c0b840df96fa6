package backend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a response with a status that HTTP does not have, which net/http
// passes on. The call may have run.
func TestStatusesThatHTTPDoesNotHaveAreNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\nContent-Length: 2\r\n\r\nhi", status)
			}
		}()
		response, err := NewClient(1).Do(t.Context(), &Request{Addr: listener.Addr().String(), Method: http.MethodGet, Path: "/", RequestID: "r"})
		require.Error(t, err, status)
		require.False(t, errors.Is(err, ErrNotSent), status)
		require.Nil(t, response)
		require.NoError(t, listener.Close())
	}
}
