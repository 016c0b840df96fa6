// Package tcprelay is a loopback relay that harms the TCP connections through
// it, for runs that inject faults from outside a process. It is not shipped to
// production.
package tcprelay

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Faults is what the relay does to connections.
type Faults struct {
	// RefuseConnections resets new connections.
	RefuseConnections bool
	// BlackholeToServer and MuteToClient drop the bytes of one direction and keep
	// the connections open.
	BlackholeToServer bool
	BlackholeToClient bool
	// Delay holds each piece of data.
	Delay time.Duration
}

// Relay forwards connections to a target.
type Relay struct {
	listener net.Listener
	target   string
	harm     atomic.Pointer[Faults]
	bytes    atomic.Int64
	starved  atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Start listens on a free loopback port.
func Start(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	return start(listener, target), nil
}

func start(listener net.Listener, target string) *Relay {
	r := &Relay{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	r.harm.Store(&Faults{})
	go r.accept()
	return r
}

// Addr returns the address of the relay.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetFaults changes the harm for all connections.
func (r *Relay) SetFaults(h Faults) { r.harm.Store(&h) }

// ForwardedBytes returns the bytes that were forwarded so far, in both directions.
func (r *Relay) ForwardedBytes() int64 { return r.bytes.Load() }

// DescriptorFailures returns how many connections failed because this process has no
// descriptor left. The processes behind the relay see them as faults that
// nobody ordered.
func (r *Relay) DescriptorFailures() int64 { return r.starved.Load() }

// ResetConnections resets all open connections.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	r.conns = map[net.Conn]struct{}{}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.ResetConnections()
}

// acceptPause spaces the attempts while this process has no descriptor left.
const acceptPause = 10 * time.Millisecond

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.starved.Add(1)
			time.Sleep(acceptPause)
			continue
		}
		go r.serve(client)
	}
}

func (r *Relay) keep(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = struct{}{}
}

func (r *Relay) drop(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
	_ = conn.Close()
}

func (r *Relay) serve(client net.Conn) {
	if r.harm.Load().RefuseConnections {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			r.starved.Add(1)
		}
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	r.keep(client)
	r.keep(server)
	done := make(chan struct{})
	go func() {
		r.copy(server, client, func(h *Faults) bool { return h.BlackholeToServer })
		close(done)
	}()
	r.copy(client, server, func(h *Faults) bool { return h.BlackholeToClient })
	<-done
	r.drop(client)
	r.drop(server)
}

// bufferSize is the size of one piece of data in bytes.
const bufferSize = 16 << 10

// copy forwards one direction and passes its end on.
func (r *Relay) copy(to, from net.Conn, muted func(*Faults) bool) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		h := r.harm.Load()
		if n > 0 && !muted(h) {
			if h.Delay > 0 {
				time.Sleep(h.Delay)
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
			r.bytes.Add(int64(n))
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
