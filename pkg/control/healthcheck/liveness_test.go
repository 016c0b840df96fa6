package healthcheck

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/h1"
	"mangostand.example/mangostand/platform"
)

// livenessFixture is a controller with a scripted backend server.
type livenessFixture struct {
	*Controller
	server board.BackendServer
	// requests counts the connections that the backend server accepted.
	requests atomic.Int64
	inFlight atomic.Int64
}

// refusingAddr returns an address that refuses connections. The port stays bound,
// so that no other process gets it during the test.
func refusingAddr(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
}

// serve starts a server that writes response to each connection and closes it. An
// empty response closes the connection without reading the request.
func (f *livenessFixture) serve(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.requests.Add(1)
			if response != "" {
				_, _ = conn.Read(make([]byte, 1024))
				_, _ = io.WriteString(conn, response)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// newLivenessFixture returns a fixture. If listens is set, its backend server
// serves response as described at serve; otherwise it refuses connections.
func newLivenessFixture(t *testing.T, listens bool, response string) *livenessFixture {
	t.Helper()
	f := &livenessFixture{}
	addr := ""
	if listens {
		addr = f.serve(t, response)
	} else {
		addr = refusingAddr(t)
	}
	f.server = board.BackendServer{ID: "s", StartMillis: 7, State: board.ServerReady, Addr: addr}
	b := board.NewMeshBoard(board.NodeIdentity{Instance: "n", Service: "desk"})
	b.LocalServer.Claim("test").Publish(&f.server)
	table := dynconf.EmptyRouteTable()
	table.Clusters = map[string]*dynconf.Cluster{"desk": {HealthPath: "/healthz"}}
	b.Routes.Claim("test").Publish(table)
	f.Controller = &Controller{
		Board: b, Servers: &h1.Pool{DialTimeout: time.Second, IdleTimeout: time.Second}, Codec: platform.Codec{},
		InFlight: func() int { return int(f.inFlight.Load()) }, OnLoadReport: func(board.ServerLoadReport) {}, Log: zerolog.Nop(),
	}
	return f
}

// announcedUnreachable returns the backend server that was announced as
// unreachable, if any.
func (f *livenessFixture) announcedUnreachable(t *testing.T) (board.BackendServer, bool) {
	t.Helper()
	select {
	case event := <-f.Board.Announcements.Events():
		require.Equal(t, board.ServerEventUnreachable, event.Kind)
		return event.Server, true
	default:
		return board.BackendServer{}, false
	}
}

// Guards against a crash of the backend server that is detected only after it has
// restarted, so that the request that caused the crash is sent to further backend
// servers meanwhile, and against a running backend server that is taken for
// terminated.
func TestLivenessCheckAfterLostConnection(t *testing.T) {
	const healthy = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	const truncated = "HTTP/1.1 20"
	for name, c := range map[string]struct {
		listens     bool
		response    string
		inFlight    int64
		startMillis int64
		requests    int64
		terminated  bool
	}{
		"connection refused":                      {false, "", 0, 7, 0, true},
		"connection refused, calls in flight":     {false, "", 3, 7, 0, true},
		"connections closed":                      {true, "", 0, 7, 1, true},
		"connections closed, calls in flight":     {true, "", 3, 7, livenessAttempts, false},
		"healthy":                                 {true, healthy, 0, 7, 1, false},
		"truncated response":                      {true, truncated, 0, 7, 1, false},
		"earlier incarnation, connections closed": {true, "", 0, 6, 0, false},
		"earlier incarnation, connection refused": {false, "", 0, 6, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLivenessFixture(t, c.listens, c.response)
			f.inFlight.Store(c.inFlight)
			suspect := f.server
			suspect.StartMillis = c.startMillis
			f.checkLiveness(t.Context(), time.Now(), suspect)
			server, terminated := f.announcedUnreachable(t)
			require.Equal(t, c.terminated, terminated)
			if terminated {
				require.Equal(t, f.server, server)
			}
			require.Equal(t, c.requests, f.requests.Load())
		})
	}
}

// Guards against a suspected backend server that is not checked.
func TestSuspectedServerIsChecked(t *testing.T) {
	f := newLivenessFixture(t, false, "")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	require.True(t, f.Board.SuspectedServers.Post(f.server))
	event := <-f.Board.Announcements.Events()
	require.Equal(t, board.ServerEventUnreachable, event.Kind)
}

// Guards against a liveness check for each of many lost connections to a running
// backend server.
func TestLivenessChecksAreRateLimited(t *testing.T) {
	f := newLivenessFixture(t, true, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	now := time.Now()
	for range 10 {
		f.checkLiveness(t.Context(), now, f.server)
	}
	require.EqualValues(t, 1, f.requests.Load())
	f.checkLiveness(t.Context(), now.Add(minLivenessInterval), f.server)
	require.EqualValues(t, 2, f.requests.Load())
}

// Guards against health checks that share a connection with calls, since responses to
// them carry no request ID, and against a new connection for each check.
func TestHealthChecksKeepAConnectionOfTheirOwn(t *testing.T) {
	var connections, onCalls atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				r, calls := bufio.NewReader(conn), false
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					id := request.Header.Get(platform.HeaderRequestID)
					if calls = calls || id != ""; calls && id == "" {
						onCalls.Add(1)
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", platform.HeaderRequestID, id)
				}
			}()
		}
	}()
	f := newLivenessFixture(t, true, "")
	f.Servers.IdleTimeout = time.Minute
	for range 20 {
		response, err := f.Servers.Do(t.Context(), listener.Addr().String(), &h1.ClientRequest{
			Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{platform.HeaderRequestID: {"a"}}, MaxIdleTime: time.Minute,
			AcceptResponse: func(h http.Header) bool { return platform.Codec{}.MatchesRequest(h, "a") }, IdentifiesNone: platform.Codec{}.IdentifiesNone,
		})
		require.NoError(t, err)
		_ = response.Body.Close()
		require.NoError(t, f.requestHealth(t.Context(), listener.Addr().String(), "/healthz", time.Minute))
	}
	require.Zero(t, onCalls.Load())
	require.EqualValues(t, 2, connections.Load())
}
