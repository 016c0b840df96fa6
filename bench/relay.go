package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// interDomainDelay is the one-way latency between two failure domains.
	interDomainDelay = time.Millisecond
	maxPacketSize    = 2048
	flowQueueSize    = 4096
)

// simulatedNetwork holds the failure domain of each node, by its own peer
// address, and the faults of the network.
type simulatedNetwork struct {
	mu           sync.Mutex
	domainByAddr map[string]string
	// isolatedDomain is the failure domain that is cut off, nil for none.
	isolatedDomain atomic.Pointer[string]
	// delayDisabled removes the latency between failure domains.
	delayDisabled atomic.Bool
}

// relay is a UDP relay in front of one node. It delays packets between failure
// domains and drops those from and to an isolated domain.
type relay struct {
	network  *simulatedNetwork
	socket   *net.UDPConn
	nodeAddr *net.UDPAddr
	domain   string
	mu       sync.Mutex
	flows    map[string]*flow
	closed   atomic.Bool
}

// flow carries the packets between one peer and the node of a relay.
type flow struct {
	upstream *net.UDPConn
	toNode   chan packet
}

// packet is a datagram that waits until sendAt.
type packet struct {
	data   []byte
	sendAt time.Time
}

func newRelay(network *simulatedNetwork, domain string, nodeAddr *net.UDPAddr) (*relay, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &relay{network: network, socket: socket, nodeAddr: nodeAddr, domain: domain, flows: map[string]*flow{}}
	network.mu.Lock()
	network.domainByAddr[nodeAddr.String()] = domain
	network.mu.Unlock()
	go r.relayPackets()
	return r, nil
}

// relayPackets relays packets from peers to the node until the socket is closed.
// It drops packets when the queue of a flow is full.
func (r *relay) relayPackets() {
	for {
		data := make([]byte, maxPacketSize)
		n, from, err := r.socket.ReadFromUDP(data)
		if err != nil {
			return
		}
		f, delay, connected := r.flowFor(from)
		if !connected {
			continue
		}
		select {
		case f.toNode <- packet{data: data[:n], sendAt: time.Now().Add(delay)}:
		default:
		}
	}
}

// linkTo returns the one-way delay between the node and a peer, and whether
// packets between them are delivered.
func (r *relay) linkTo(peer string) (time.Duration, bool) {
	r.network.mu.Lock()
	domain := r.network.domainByAddr[peer]
	r.network.mu.Unlock()
	if domain == r.domain {
		return 0, true
	}
	isolated := r.network.isolatedDomain.Load()
	if isolated != nil && (*isolated == domain || *isolated == r.domain) {
		return 0, false
	}
	if r.network.delayDisabled.Load() {
		return 0, true
	}
	return interDomainDelay, true
}

// flowFor returns the flow of a peer, created on first use, and its delay. It
// reports false if packets of the peer must be dropped.
func (r *relay) flowFor(from *net.UDPAddr) (*flow, time.Duration, bool) {
	delay, ok := r.linkTo(from.String())
	if !ok {
		return nil, 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[from.String()]
	if f == nil {
		upstream, err := net.DialUDP("udp", nil, r.nodeAddr)
		if err != nil || r.closed.Load() {
			return nil, 0, false
		}
		f = &flow{upstream: upstream, toNode: make(chan packet, flowQueueSize)}
		r.flows[from.String()] = f
		go sendDelayed(f.toNode, func(p []byte) { _, _ = upstream.Write(p) })
		go r.relayReplies(f, from)
	}
	return f, delay, true
}

// relayReplies relays packets from the node to the peer until the flow is
// closed.
func (r *relay) relayReplies(f *flow, to *net.UDPAddr) {
	toPeer := make(chan packet, flowQueueSize)
	defer close(toPeer)
	go sendDelayed(toPeer, func(p []byte) { _, _ = r.socket.WriteToUDP(p, to) })
	for {
		data := make([]byte, maxPacketSize)
		n, err := f.upstream.Read(data)
		if err != nil {
			return
		}
		delay, ok := r.linkTo(to.String())
		if !ok {
			continue
		}
		select {
		case toPeer <- packet{data: data[:n], sendAt: time.Now().Add(delay)}:
		default:
		}
	}
}

// sendDelayed sends each packet when it is due, in order, until packets is
// closed.
func sendDelayed(packets <-chan packet, send func([]byte)) {
	for p := range packets {
		if wait := time.Until(p.sendAt); wait > 0 {
			time.Sleep(wait)
		}
		send(p.data)
	}
}

func (r *relay) close() {
	r.closed.Store(true)
	_ = r.socket.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		_ = f.upstream.Close()
		close(f.toNode)
	}
}
