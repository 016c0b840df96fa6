package pulse

import (
	"context"
	"fmt"
	"io"
	"net"
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

// livenessFixture is a controller whose backend server is a script.
type livenessFixture struct {
	*Controller
	server   board.BackendServer
	requests atomic.Int64
	inFlight atomic.Int64
}

// refusingAddr returns an address that nothing listens at and that no other
// process gets during the test.
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

// serve answers each connection and closes it; nothing is written for "".
func (d *livenessFixture) serve(t *testing.T, answer string) string {
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
			d.requests.Add(1)
			if answer != "" {
				_, _ = conn.Read(make([]byte, 1024))
				_, _ = io.WriteString(conn, answer)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// newLivenessFixture returns a controller. answer is what the backend server writes on
// a new connection before it closes it, if it listens.
func newLivenessFixture(t *testing.T, listens bool, answer string) *livenessFixture {
	t.Helper()
	d := &livenessFixture{}
	addr := ""
	if listens {
		addr = d.serve(t, answer)
	} else {
		addr = refusingAddr(t)
	}
	d.server = board.BackendServer{ID: "s", StartMillis: 7, State: board.ServerReady, Addr: addr}
	b := board.NewMeshBoard(board.NodeIdentity{Instance: "n", Service: "desk"})
	b.LocalServer.Claim("test").Publish(&d.server)
	table := dynconf.EmptyTable()
	table.Clusters = map[string]*dynconf.Cluster{"desk": {HealthPath: "/healthz"}}
	b.Routes.Claim("test").Publish(table)
	d.Controller = &Controller{
		Board: b, Servers: &h1.Pool{DialTimeout: time.Second, IdleTimeout: time.Second}, Codec: platform.Codec{},
		InFlight: func() int { return int(d.inFlight.Load()) }, OnLoadReport: func(board.ServerLoadReport) {}, Log: zerolog.Nop(),
	}
	return d
}

// announcedDown returns the life that was told to be over, if any.
func (d *livenessFixture) announcedDown(t *testing.T) (board.BackendServer, bool) {
	t.Helper()
	select {
	case event := <-d.Board.Announcements.Events():
		require.Equal(t, board.ServerEventUnreachable, event.Kind)
		return event.Server, true
	default:
		return board.BackendServer{}, false
	}
}

// Guards against a death that is known only when the backend server is back,
// so that the request that caused it reaches more of them meanwhile, and
// against a live backend server that is taken for dead.
func TestLivenessCheckAfterLostConnection(t *testing.T) {
	const healthy = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	const garbled = "HTTP/1.1 20"
	for name, c := range map[string]struct {
		listens  bool
		answer   string
		inFlight int64
		born     int64
		asked    int64
		ended    bool
	}{
		"nothing listens":                     {false, "", 0, 7, 0, true},
		"nothing listens, calls in flight":    {false, "", 3, 7, 0, true},
		"connections end":                     {true, "", 0, 7, 1, true},
		"connections end, calls in flight":    {true, "", 3, 7, livenessAttempts, false},
		"healthy":                             {true, healthy, 0, 7, 1, false},
		"answers something":                   {true, garbled, 0, 7, 1, false},
		"an earlier life, connections end":    {true, "", 0, 6, 0, false},
		"an earlier life and nothing listens": {false, "", 0, 6, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newLivenessFixture(t, c.listens, c.answer)
			d.inFlight.Store(c.inFlight)
			life := d.server
			life.StartMillis = c.born
			d.checkLiveness(t.Context(), time.Now(), life)
			server, ended := d.announcedDown(t)
			require.Equal(t, c.ended, ended)
			if ended {
				require.Equal(t, d.server, server)
			}
			require.Equal(t, c.asked, d.requests.Load())
		})
	}
}

// Guards against a doubt that is not taken up.
func TestSuspectedServerIsChecked(t *testing.T) {
	d := newLivenessFixture(t, false, "")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx)
	require.True(t, d.Board.SuspectedServers.Post(d.server))
	event := <-d.Board.Announcements.Events()
	require.Equal(t, board.ServerEventUnreachable, event.Kind)
}

// Guards against one question for each of many broken connections of a backend
// server that lives.
func TestLivenessChecksAreRateLimited(t *testing.T) {
	d := newLivenessFixture(t, true, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	now := time.Now()
	for range 10 {
		d.checkLiveness(t.Context(), now, d.server)
	}
	require.EqualValues(t, 1, d.requests.Load())
	d.checkLiveness(t.Context(), now.Add(minLivenessInterval), d.server)
	require.EqualValues(t, 2, d.requests.Load())
}
