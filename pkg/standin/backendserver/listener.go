package backendserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listen binds the address of the server. New connections above the limit are
// closed at once; each new connection takes ConnectTime before it is read.
func (s *Server) Listen() (net.Listener, error) {
	socket, err := net.Listen("tcp", s.config.ListenAddr)
	if err != nil {
		return nil, err
	}
	return &limitedListener{Listener: socket, limit: int64(s.config.MaxConnections), connectTime: s.config.ConnectDelay}, nil
}

type limitedListener struct {
	net.Listener
	limit       int64
	connectTime time.Duration
	open        atomic.Int64
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if open := l.open.Add(1); l.limit > 0 && open > l.limit {
			l.open.Add(-1)
			_ = conn.Close()
			continue
		}
		return &slowConn{Conn: conn, connectTime: l.connectTime, release: func() { l.open.Add(-1) }}, nil
	}
}

// slowConn delays the first read by the connect time.
type slowConn struct {
	net.Conn
	connectTime time.Duration
	first       sync.Once
	closed      sync.Once
	release     func()
}

func (c *slowConn) Read(p []byte) (int, error) {
	c.first.Do(func() { time.Sleep(c.connectTime) })
	return c.Conn.Read(p)
}

func (c *slowConn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(c.release)
	return err
}
