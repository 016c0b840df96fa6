package tcprelay

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// scarce is a listener without a descriptor for its first connection.
type scarce struct {
	net.Listener
	failed bool
}

func (s *scarce) Accept() (net.Conn, error) {
	if !s.failed {
		s.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

// Guards against a relay that ends without a word when its process has no
// descriptor left, so that each node behind it looks silent from then on.
func TestRelayOutlivesALackOfDescriptors(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = target.Close() }()
	go func() {
		conn, err := target.Accept()
		if err == nil {
			_, _ = io.WriteString(conn, "hello")
			_ = conn.Close()
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := start(&scarce{Listener: listener}, target.Addr().String())
	defer r.Close()
	conn, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "hello", string(got))
	require.EqualValues(t, 1, r.DescriptorFailures())
}
