// Package tcprelay is a TCP proxy on the loopback interface that injects network
// faults into the connections it forwards, without the cooperation of the
// processes at either end. It is for tests and local runs and is not shipped to
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

// Faults are the faults that a relay injects. The zero value injects none.
type Faults struct {
	// RefuseConnections resets new connections without dialing the target.
	RefuseConnections bool
	// BlackholeToServer and BlackholeToClient discard the bytes sent in one
	// direction and keep the connections open.
	BlackholeToServer bool
	BlackholeToClient bool
	// Delay is the delay before each chunk of data is forwarded.
	Delay time.Duration
}

// Relay accepts TCP connections and forwards each one to a target address.
type Relay struct {
	listener           net.Listener
	target             string
	faults             atomic.Pointer[Faults]
	forwardedBytes     atomic.Int64
	descriptorFailures atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Start starts a relay to target on a free loopback port.
func Start(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	return startOnListener(listener, target), nil
}

func startOnListener(listener net.Listener, target string) *Relay {
	r := &Relay{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	r.faults.Store(&Faults{})
	go r.acceptLoop()
	return r
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetFaults replaces the faults for all open and new connections.
func (r *Relay) SetFaults(f Faults) { r.faults.Store(&f) }

// ForwardedBytes returns the number of bytes forwarded so far, in both directions.
func (r *Relay) ForwardedBytes() int64 { return r.forwardedBytes.Load() }

// DescriptorFailures returns how many connections failed because this process had
// run out of file descriptors. The processes at both ends see such failures as
// network faults that the test did not inject. Every failed Accept counts as one,
// whatever its cause.
func (r *Relay) DescriptorFailures() int64 { return r.descriptorFailures.Load() }

// ResetConnections closes all open connections with a TCP reset.
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

// Close stops listening and resets all open connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.ResetConnections()
}

// acceptRetryDelay is the delay before the next Accept after a failed one, for
// example because the process has run out of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

func (r *Relay) acceptLoop() {
	for {
		client, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.descriptorFailures.Add(1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		go r.handleConn(client)
	}
}

func (r *Relay) trackConn(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = struct{}{}
}

func (r *Relay) closeConn(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
	_ = conn.Close()
}

func (r *Relay) handleConn(client net.Conn) {
	if r.faults.Load().RefuseConnections {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			r.descriptorFailures.Add(1)
		}
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	r.trackConn(client)
	r.trackConn(server)
	done := make(chan struct{})
	go func() {
		r.forward(server, client, func(f *Faults) bool { return f.BlackholeToServer })
		close(done)
	}()
	r.forward(client, server, func(f *Faults) bool { return f.BlackholeToClient })
	<-done
	r.closeConn(client)
	r.closeConn(server)
}

// copyBufferBytes is the size of the copy buffer, and thus of the largest chunk
// that is forwarded or delayed at once.
const copyBufferBytes = 16 << 10

// forward copies one direction of a connection until its end and then half-closes
// the receiving side.
func (r *Relay) forward(to, from net.Conn, blackholed func(*Faults) bool) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		faults := r.faults.Load()
		if n > 0 && !blackholed(faults) {
			if faults.Delay > 0 {
				time.Sleep(faults.Delay)
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
			r.forwardedBytes.Add(int64(n))
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
