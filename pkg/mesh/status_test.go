package mesh_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a caller that gets a status that HTTP does not have, or the body that
// comes with it, from a backend server in trouble. The call may have run, so it is not
// sent again if it is not idempotent, and the caller is not told that it did not run.
func TestInvalidStatusDoesNotReachTheCaller(t *testing.T) {
	for _, status := range []string{"000", "700"} {
		server := startBackend(t, func(conn net.Conn, r *http.Request) bool {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 %s S\r\n%s: %s\r\nSignature: s\r\nContent-Length: 7\r\n\r\ntrouble", status, headerID, r.Header.Get(headerID))
			return err == nil
		})
		n := startFleet(t, server)[0]
		answer, body := n.call(t, http.MethodPost, "/book/x", "1", nil)
		require.Equal(t, http.StatusBadGateway, answer.StatusCode, status)
		require.NotContains(t, body, "trouble")
		require.EqualValues(t, 1, server.executions.Load())
	}
}
