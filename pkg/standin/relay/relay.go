// Package relay emulates the network between failure domains in tests and local
// runs: a UDP relay that delays the packets between nodes and can drop, duplicate
// and reorder them.
//
// Each node has an address on the relay, to which the other nodes send, and a
// target address that the node itself is bound to. A packet that node A sends to
// B's relay address is forwarded from A's relay address to B's target address, so
// that B's reply also passes through the relay.
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

// maxPacketBytes is the receive buffer size, enough for the largest UDP packet.
const maxPacketBytes = 64 << 10

// socketBufferBytes is the kernel buffer size of each socket, large enough to
// absorb bursts while the relay is busy.
const socketBufferBytes = 4 << 20

// flowQueueCapacity is the number of packets of one flow that can be queued.
// Further packets are dropped, as on a saturated link.
const flowQueueCapacity = 4096

// Relay forwards packets between the nodes of its configuration.
type Relay struct {
	config  *Config
	sockets []*nodeSocket
	// socketByTarget maps the target address of a node, which is the source address
	// of its packets, to the node's socket. It is immutable after New.
	socketByTarget map[netip.AddrPort]*nodeSocket
	rules          atomic.Pointer[[]Rule]
	counters       Counters

	mu sync.Mutex
	// rng is guarded by mu.
	rng *rand.Rand
}

// nodeSocket is the socket on a node's relay address.
type nodeSocket struct {
	node   Node
	domain string
	conn   *net.UDPConn
	flows  map[*nodeSocket]*flow
}

// flow carries the packets from one node to another in order.
type flow struct {
	from, to *nodeSocket
	packets  chan packet
}

type packet struct {
	data      []byte
	deliverAt time.Time
}

// Counters counts packets by outcome.
type Counters struct {
	Forwarded  atomic.Uint64
	Dropped    atomic.Uint64
	Duplicated atomic.Uint64
	Reordered  atomic.Uint64
	// UnknownSource counts packets whose source is not the target address of any
	// node.
	UnknownSource atomic.Uint64
}

// New returns a relay with a bound socket for each node. It forwards no packets
// until Run is called.
func New(config *Config) (*Relay, error) {
	r := &Relay{config: config, socketByTarget: map[netip.AddrPort]*nodeSocket{}, rng: rand.New(rand.NewPCG(config.Seed, 0))}
	r.rules.Store(&[]Rule{})
	for _, n := range config.Nodes {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.ListenAddr))
		if err != nil {
			r.Close()
			return nil, errors.Annotatef(err, "relay address of %s", n.Name)
		}
		_ = conn.SetReadBuffer(socketBufferBytes)
		_ = conn.SetWriteBuffer(socketBufferBytes)
		socket := &nodeSocket{node: n, domain: config.domainOf(n.TargetAddr.Addr()), conn: conn, flows: map[*nodeSocket]*flow{}}
		r.sockets = append(r.sockets, socket)
		r.socketByTarget[n.TargetAddr] = socket
	}
	for _, from := range r.sockets {
		for _, to := range r.sockets {
			from.flows[to] = &flow{from: from, to: to, packets: make(chan packet, flowQueueCapacity)}
		}
	}
	return r, nil
}

// Run forwards packets until ctx is done.
func (r *Relay) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, r.Close)
	defer stop()
	var wg sync.WaitGroup
	for _, s := range r.sockets {
		wg.Go(func() { r.receiveLoop(s) })
		for _, f := range s.flows {
			wg.Go(func() { r.deliverLoop(ctx, f) })
		}
	}
	wg.Wait()
}

// Close closes the sockets.
func (r *Relay) Close() {
	for _, s := range r.sockets {
		_ = s.conn.Close()
	}
}

// receiveLoop reads the packets that arrive at a node's relay address.
func (r *Relay) receiveLoop(to *nodeSocket) {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, source, err := to.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For example an ICMP error after a packet was sent to a node that is
			// down. The relay keeps running.
			continue
		}
		from := r.socketByTarget[netip.AddrPortFrom(source.Addr().Unmap(), source.Port())]
		if from == nil {
			r.counters.UnknownSource.Add(1)
			continue
		}
		r.processPacket(from.flows[to], append([]byte(nil), buffer[:n]...), time.Now())
	}
}

// processPacket applies the impairments of a flow to a packet and queues it for
// delivery.
func (r *Relay) processPacket(f *flow, data []byte, now time.Time) {
	impairments := r.impairmentsFor(f.from, f.to)
	if r.withProbability(impairments.dropProbability) {
		r.counters.Dropped.Add(1)
		return
	}
	copies := 1
	if r.withProbability(impairments.duplicateProbability) {
		r.counters.Duplicated.Add(1)
		copies++
	}
	p := packet{data: data, deliverAt: now.Add(impairments.delay)}
	for range copies {
		if r.withProbability(impairments.reorderProbability) {
			r.counters.Reordered.Add(1)
			r.sendAfter(f, p, impairments.delay+reorderDelay)
			continue
		}
		select {
		case f.packets <- p:
		default:
			r.counters.Dropped.Add(1)
		}
	}
}

// reorderDelay is the extra delay of a reordered packet, in which later packets of
// the flow overtake it.
const reorderDelay = 3 * time.Millisecond

func (r *Relay) sendAfter(f *flow, p packet, delay time.Duration) {
	time.AfterFunc(delay, func() { r.send(f, p) })
}

// deliverLoop sends the queued packets of a flow in order, each at its delivery
// time.
func (r *Relay) deliverLoop(ctx context.Context, f *flow) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-f.packets:
			if wait := time.Until(p.deliverAt); wait > 0 {
				time.Sleep(wait)
			}
			r.send(f, p)
		}
	}
}

func (r *Relay) send(f *flow, p packet) {
	if _, err := f.from.conn.WriteToUDPAddrPort(p.data, f.to.node.TargetAddr); err != nil {
		r.counters.Dropped.Add(1)
		return
	}
	r.counters.Forwarded.Add(1)
}

// withProbability returns true with the given probability, drawn from the seeded
// random number generator.
func (r *Relay) withProbability(probability float64) bool {
	if probability <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < probability
}
