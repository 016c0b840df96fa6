package peer

import (
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"mangostand.example/mangostand/pkg/wire"
)

// messageTypeCount is the length of an array that is indexed by message type.
const messageTypeCount = int(wire.TypeProbeResponse) + 1

// TrafficClass separates the traffic that grows with the calls from the traffic
// that does not.
type TrafficClass uint8

// Traffic classes.
const (
	// ClassControl is control traffic, which a node sends whether or not there are
	// calls: membership, digests, rumors, configuration, epochs, confirmations,
	// transfers and probes. The limit on control traffic applies to it.
	ClassControl TrafficClass = iota
	// ClassKeys is the traffic of idempotency keys, which each non-idempotent call
	// causes: Claim, Seal, Complete and their responses.
	ClassKeys
	classCount
)

var classNames = [classCount]string{"control", "keys"}

// String returns the name used in metrics.
func (c TrafficClass) String() string { return classNames[c] }

// classOfRequest returns the class of an exchange from the type of its request.
func classOfRequest(requestType wire.MessageType) TrafficClass {
	switch requestType {
	case wire.TypeClaim, wire.TypeSeal, wire.TypeComplete:
		return ClassKeys
	}
	return ClassControl
}

// ByteCounters counts bytes by direction. They include the frame headers of package
// wire but no overhead of QUIC, UDP and IP.
type ByteCounters struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// Traffic counts the bytes of a node's messages by class and type. A response counts
// in the class of its request. It is safe for concurrent use.
type Traffic struct {
	// ByteCounters is the total of ClassControl.
	ByteCounters
	// Keys is the total of ClassKeys.
	Keys ByteCounters

	byType [classCount][messageTypeCount]ByteCounters
}

// OfType returns the counters of a message type within a class. The type must be
// defined in package wire.
func (t *Traffic) OfType(c TrafficClass, m wire.MessageType) *ByteCounters { return &t.byType[c][m] }

// Each calls f for each class and message type.
func (t *Traffic) Each(f func(class TrafficClass, message wire.MessageType, bytes *ByteCounters)) {
	for class := range t.byType {
		for message := range t.byType[class] {
			f(TrafficClass(class), wire.MessageType(message), &t.byType[class][message])
		}
	}
}

func (t *Traffic) totalOf(class TrafficClass) *ByteCounters {
	if class == ClassKeys {
		return &t.Keys
	}
	return &t.ByteCounters
}

func (t *Traffic) addSent(class TrafficClass, message wire.MessageType, n int) {
	t.totalOf(class).Sent.Add(uint64(n))
	t.OfType(class, message).Sent.Add(uint64(n))
}

func (t *Traffic) addReceived(class TrafficClass, message wire.MessageType, n int) {
	t.totalOf(class).Received.Add(uint64(n))
	t.OfType(class, message).Received.Add(uint64(n))
}

// countingStream adds the bytes that it reads and writes to the counters of one
// message type.
type countingStream struct {
	stream  *Stream
	traffic *Traffic
	class   TrafficClass
	message wire.MessageType
}

func (c countingStream) Write(p []byte) (int, error) {
	n, err := c.stream.Write(p)
	c.traffic.addSent(c.class, c.message, n)
	return n, err
}

func (c countingStream) Read(p []byte) (int, error) {
	n, err := c.stream.Read(p)
	c.traffic.addReceived(c.class, c.message, n)
	return n, err
}

// WireTraffic is the total traffic of a node's connections, calls included. Bytes
// are those of UDP payload; IP and UDP headers add 28 bytes to each datagram over
// IPv4.
type WireTraffic struct {
	SentBytes, SentPackets, ReceivedBytes, ReceivedPackets uint64
}

func (w *WireTraffic) addConn(s quic.ConnectionStats) {
	w.SentBytes += s.BytesSent
	w.SentPackets += s.PacketsSent
	w.ReceivedBytes += s.BytesReceived
	w.ReceivedPackets += s.PacketsReceived
}

// connectionStats holds the open connections and the total of the closed ones. Its
// lock is taken when a connection is opened or closed and when the totals are read,
// never on the path of a call.
type connectionStats struct {
	mu          sync.Mutex
	open        map[*quic.Conn]struct{}
	closedTotal WireTraffic
}

func (s *connectionStats) connOpened(conn *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*quic.Conn]struct{}{}
	}
	s.open[conn] = struct{}{}
}

func (s *connectionStats) connClosed(conn *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
	s.closedTotal.addConn(conn.ConnectionStats())
}

func (s *connectionStats) totals() (total WireTraffic, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total = s.closedTotal
	for conn := range s.open {
		total.addConn(conn.ConnectionStats())
	}
	return total, len(s.open)
}

// WireTraffic returns the total traffic of all connections so far, and the number
// of open connections.
func (t *Transport) WireTraffic() (WireTraffic, int) { return t.connStats.totals() }
