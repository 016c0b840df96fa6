package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// domainDelay is the one-way latency between two failure domains.
	domainDelay   = time.Millisecond
	maxPacketSize = 2048
	flowQueue     = 4096
)

// network knows the place of each node by its real peer address and which
// failure domains are cut off.
type network struct {
	mu     sync.Mutex
	domain map[string]string
	lost   atomic.Pointer[string]
	// near takes the latency between domains away.
	near atomic.Bool
}

// relay stands before one node: it delays packets between failure domains and
// drops those from and to a lost domain.
type relay struct {
	network  *network
	socket   *net.UDPConn
	target   *net.UDPAddr
	domain   string
	mu       sync.Mutex
	flows    map[string]*flow
	stopping atomic.Bool
}

// flow is the traffic of one peer through a relay.
type flow struct {
	upstream *net.UDPConn
	in       chan packet
}

type packet struct {
	data []byte
	due  time.Time
}

func newRelay(n *network, domain string, target *net.UDPAddr) (*relay, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &relay{network: n, socket: socket, target: target, domain: domain, flows: map[string]*flow{}}
	n.mu.Lock()
	n.domain[target.String()] = domain
	n.mu.Unlock()
	go r.serve()
	return r, nil
}

func (r *relay) serve() {
	for {
		data := make([]byte, maxPacketSize)
		n, from, err := r.socket.ReadFromUDP(data)
		if err != nil {
			return
		}
		f, delay, ok := r.flow(from)
		if !ok {
			continue
		}
		select {
		case f.in <- packet{data: data[:n], due: time.Now().Add(delay)}:
		default:
		}
	}
}

// place returns the delay to a peer and whether packets pass.
func (r *relay) place(peer string) (time.Duration, bool) {
	r.network.mu.Lock()
	domain := r.network.domain[peer]
	r.network.mu.Unlock()
	if domain == r.domain {
		return 0, true
	}
	lost := r.network.lost.Load()
	if lost != nil && (*lost == domain || *lost == r.domain) {
		return 0, false
	}
	if r.network.near.Load() {
		return 0, true
	}
	return domainDelay, true
}

func (r *relay) flow(from *net.UDPAddr) (*flow, time.Duration, bool) {
	delay, ok := r.place(from.String())
	if !ok {
		return nil, 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[from.String()]
	if f == nil {
		upstream, err := net.DialUDP("udp", nil, r.target)
		if err != nil || r.stopping.Load() {
			return nil, 0, false
		}
		f = &flow{upstream: upstream, in: make(chan packet, flowQueue)}
		r.flows[from.String()] = f
		go forward(f.in, func(p []byte) { _, _ = upstream.Write(p) })
		go r.answers(f, from)
	}
	return f, delay, true
}

// answers carries the packets of the node back to the peer.
func (r *relay) answers(f *flow, to *net.UDPAddr) {
	out := make(chan packet, flowQueue)
	defer close(out)
	go forward(out, func(p []byte) { _, _ = r.socket.WriteToUDP(p, to) })
	for {
		data := make([]byte, maxPacketSize)
		n, err := f.upstream.Read(data)
		if err != nil {
			return
		}
		delay, ok := r.place(to.String())
		if !ok {
			continue
		}
		select {
		case out <- packet{data: data[:n], due: time.Now().Add(delay)}:
		default:
		}
	}
}

func forward(packets <-chan packet, send func([]byte)) {
	for p := range packets {
		if wait := time.Until(p.due); wait > 0 {
			time.Sleep(wait)
		}
		send(p.data)
	}
}

func (r *relay) close() {
	r.stopping.Store(true)
	_ = r.socket.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		_ = f.upstream.Close()
		close(f.in)
	}
}
