package meshnode

import (
	"io"
	stdlog "log"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an announcement that is sent in part and holds a connection and a
// goroutine of the control listener for ever.
func TestUnfinishedAnnouncementEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handled := make(chan error, 1)
	server := newLocalServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		handled <- err
	}), stdlog.New(io.Discard, "", 0))
	go func() { _ = serveHTTP(server, listener) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /instances/i/heartbeat HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{")
	require.NoError(t, err)
	select {
	case err := <-handled:
		require.Error(t, err)
	case <-time.After(30 * time.Second):
		t.Fatal("the handler waits for the rest")
	}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
	_, err = io.Copy(io.Discard, conn)
	require.NoError(t, err, "the connection stays open")
}
