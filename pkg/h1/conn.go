package h1

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// isOpenAndIdle reports whether a connection is open and has no unread bytes. A
// connection that the server closed or sent unrequested bytes on must not be
// reused.
func isOpenAndIdle(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peekErr == unix.EAGAIN || peekErr == unix.EWOULDBLOCK)
}

// setUserTimeout sets TCP_USER_TIMEOUT, the time for which written bytes may stay
// unacknowledged, so that a connection to an unreachable peer fails instead of
// hanging.
func setUserTimeout(nc net.Conn, timeout time.Duration) {
	sc, ok := nc.(syscall.Conn)
	if !ok || timeout <= 0 {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	// Without support for the option the kernel's longer default applies.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isConnClosed reports whether the peer closed or reset the connection.
func isConnClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// keepAliveTimeout returns the timeout of a Keep-Alive header: how long the server
// keeps an idle connection open. It returns 0 when there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
