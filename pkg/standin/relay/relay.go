// Package relay stands in for the network between failure domains: a UDP relay
// that delays packets between nodes and can cut, drop, duplicate and reorder
// them.
//
// Each node has an address on the relay, which the other nodes dial, and a
// target address that it is bound to. A packet that node A sends to B's relay
// address leaves from A's relay address towards B's target, so that B's answer
// takes the same way back.
package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// maxPacket is the largest UDP packet in bytes.
const maxPacket = 64 << 10

// socketBuffer holds the bursts of a connection while the relay is busy.
const socketBuffer = 4 << 20

// flowQueue is the number of packets of one flow that may wait; more are lost,
// as on a full link.
const flowQueue = 4096

// Relay carries packets between the nodes of its configuration.
type Relay struct {
	config *Config
	ports  []*port
	// byTarget finds the port of a sending node; it does not change.
	byTarget map[netip.AddrPort]*port
	rules    atomic.Pointer[[]Rule]
	counters Counters

	mu     sync.Mutex
	random *rand.Rand
}

// port is the relay's side of one node.
type port struct {
	node   Node
	domain string
	socket *net.UDPConn
	flows  map[*port]*flow
}

// flow is the way from one node to another. Its packets keep their order.
type flow struct {
	from, to *port
	packets  chan packet
}

type packet struct {
	data []byte
	due  time.Time
}

// Counters counts packets by their fate.
type Counters struct {
	Forwarded  atomic.Uint64
	Dropped    atomic.Uint64
	Duplicated atomic.Uint64
	Reordered  atomic.Uint64
	// Unknown counts packets from addresses that are no node's target.
	Unknown atomic.Uint64
}

// New binds the relay address of each node.
func New(config *Config) (*Relay, error) {
	r := &Relay{config: config, byTarget: map[netip.AddrPort]*port{}, random: rand.New(rand.NewPCG(config.Seed, 0))}
	r.rules.Store(&[]Rule{})
	for _, n := range config.Nodes {
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.Listen))
		if err != nil {
			r.Close()
			return nil, errors.Annotatef(err, "relay address of %s", n.Name)
		}
		_ = socket.SetReadBuffer(socketBuffer)
		_ = socket.SetWriteBuffer(socketBuffer)
		p := &port{node: n, domain: config.domainOf(n.Target.Addr()), socket: socket, flows: map[*port]*flow{}}
		r.ports = append(r.ports, p)
		r.byTarget[n.Target] = p
	}
	for _, from := range r.ports {
		for _, to := range r.ports {
			from.flows[to] = &flow{from: from, to: to, packets: make(chan packet, flowQueue)}
		}
	}
	return r, nil
}

// Run relays until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, r.Close)
	defer stop()
	var wg sync.WaitGroup
	for _, p := range r.ports {
		wg.Go(func() { r.receive(p) })
		for _, f := range p.flows {
			wg.Go(func() { r.deliver(ctx, f) })
		}
	}
	wg.Wait()
}

// Close frees the sockets.
func (r *Relay) Close() {
	for _, p := range r.ports {
		_ = p.socket.Close()
	}
}

// receive takes the packets that are sent to one node's relay address.
func (r *Relay) receive(to *port) {
	buffer := make([]byte, maxPacket)
	for {
		n, source, err := to.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The answer to a packet for a node that is down; the relay goes on.
			continue
		}
		from := r.byTarget[netip.AddrPortFrom(source.Addr().Unmap(), source.Port())]
		if from == nil {
			r.counters.Unknown.Add(1)
			continue
		}
		r.accept(from.flows[to], append([]byte(nil), buffer[:n]...), time.Now())
	}
}

// accept applies the rules to a packet and queues it.
func (r *Relay) accept(f *flow, data []byte, now time.Time) {
	effect := r.effectOn(f.from, f.to)
	if r.happens(effect.Drop) {
		r.counters.Dropped.Add(1)
		return
	}
	copies := 1
	if r.happens(effect.Duplicate) {
		r.counters.Duplicated.Add(1)
		copies++
	}
	p := packet{data: data, due: now.Add(effect.delay)}
	for range copies {
		if r.happens(effect.Reorder) {
			r.counters.Reordered.Add(1)
			r.sendLate(f, p, effect.delay+reorderDelay)
			continue
		}
		select {
		case f.packets <- p:
		default:
			r.counters.Dropped.Add(1)
		}
	}
}

// reorderDelay lets later packets of the flow overtake a reordered one.
const reorderDelay = 3 * time.Millisecond

func (r *Relay) sendLate(f *flow, p packet, delay time.Duration) {
	time.AfterFunc(delay, func() { r.send(f, p) })
}

// deliver sends the packets of a flow in order, each when it is due.
func (r *Relay) deliver(ctx context.Context, f *flow) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-f.packets:
			if wait := time.Until(p.due); wait > 0 {
				time.Sleep(wait)
			}
			r.send(f, p)
		}
	}
}

func (r *Relay) send(f *flow, p packet) {
	if _, err := f.from.socket.WriteToUDPAddrPort(p.data, f.to.node.Target); err != nil {
		r.counters.Dropped.Add(1)
		return
	}
	r.counters.Forwarded.Add(1)
}

// happens draws an event with a probability from the seeded source.
func (r *Relay) happens(probability float64) bool {
	if probability <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < probability
}
