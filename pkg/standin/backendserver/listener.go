package backendserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listen binds the address of the server. Connections above MaxConnections are
// closed immediately after Accept; the first read of each other connection is
// delayed by ConnectDelay.
func (s *Server) Listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", s.config.ListenAddr)
	if err != nil {
		return nil, err
	}
	return &connLimitListener{Listener: listener, maxConns: int64(s.config.MaxConnections), connectDelay: s.config.ConnectDelay}, nil
}

// connLimitListener closes connections above a limit.
type connLimitListener struct {
	net.Listener
	maxConns     int64
	connectDelay time.Duration
	openConns    atomic.Int64
}

func (l *connLimitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if open := l.openConns.Add(1); l.maxConns > 0 && open > l.maxConns {
			l.openConns.Add(-1)
			_ = conn.Close()
			continue
		}
		return &delayedConn{Conn: conn, connectDelay: l.connectDelay, onClose: func() { l.openConns.Add(-1) }}, nil
	}
}

// delayedConn delays its first read and calls onClose once when it is closed.
type delayedConn struct {
	net.Conn
	connectDelay time.Duration
	delayOnce    sync.Once
	closeOnce    sync.Once
	onClose      func()
}

func (c *delayedConn) Read(p []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.connectDelay) })
	return c.Conn.Read(p)
}

func (c *delayedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.onClose)
	return err
}
