package tcprelay

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// failingListener is a listener whose first Accept fails with EMFILE, as if the
// process had run out of file descriptors.
type failingListener struct {
	net.Listener
	failedOnce bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failedOnce {
		l.failedOnce = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a relay that silently stops accepting connections once its
// process has run out of file descriptors, so that every node behind it appears
// unresponsive from then on.
func TestRelaySurvivesDescriptorExhaustion(t *testing.T) {
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
	r := startOnListener(&failingListener{Listener: listener}, target.Addr().String())
	defer r.Close()
	conn, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "hello", string(got))
	require.EqualValues(t, 1, r.DescriptorFailures())
}
