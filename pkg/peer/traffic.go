package peer

import (
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"mangostand.example/mangostand/pkg/wire"
)

// typeCount is the number of entries that are indexed by message type.
const typeCount = int(wire.TypeProbeResponse) + 1

// TrafficClass says on whose account an exchange is.
type TrafficClass uint8

// Classes of exchanges.
const (
	// ClassControl is what a node sends whether or not there are calls:
	// membership, digests, rumors, configuration, epochs, confirmations,
	// transfers and probes. The limit on control traffic holds for it.
	ClassControl TrafficClass = iota
	// ClassKeys is what each non-idempotent call costs: Claim, Seal, Complete
	// and their answers.
	ClassKeys
	classCount
)

var classNames = [classCount]string{"control", "keys"}

// String returns the name used in metrics.
func (c TrafficClass) String() string { return classNames[c] }

// classOf returns the class of an exchange that starts with a message type.
func classOf(question wire.MessageType) TrafficClass {
	switch question {
	case wire.TypeClaim, wire.TypeSeal, wire.TypeComplete:
		return ClassKeys
	}
	return ClassControl
}

// ByteCounters counts bytes by direction, frame headers included, without what QUIC,
// UDP and IP add.
type ByteCounters struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// Traffic counts the messages of a node by class and type. Any goroutine may
// use it. An answer belongs to the class of its question.
type Traffic struct {
	// ByteCounters is the total of ClassControl.
	ByteCounters
	// Keys is the total of ClassKeys.
	Keys ByteCounters

	byType [classCount][typeCount]ByteCounters
}

// OfType returns the count of a message type within a class. The type must be
// one of package wire.
func (t *Traffic) OfType(class TrafficClass, message wire.MessageType) *ByteCounters {
	return &t.byType[class][message]
}

// Each calls f for each class and message type.
func (t *Traffic) Each(f func(class TrafficClass, message wire.MessageType, bytes *ByteCounters)) {
	for class := range t.byType {
		for message := range t.byType[class] {
			f(TrafficClass(class), wire.MessageType(message), &t.byType[class][message])
		}
	}
}

func (t *Traffic) total(class TrafficClass) *ByteCounters {
	if class == ClassKeys {
		return &t.Keys
	}
	return &t.ByteCounters
}

func (t *Traffic) sent(class TrafficClass, message wire.MessageType, n int) {
	t.total(class).Sent.Add(uint64(n))
	t.OfType(class, message).Sent.Add(uint64(n))
}

func (t *Traffic) received(class TrafficClass, message wire.MessageType, n int) {
	t.total(class).Received.Add(uint64(n))
	t.OfType(class, message).Received.Add(uint64(n))
}

// countedStream adds the bytes of one message of an exchange to a count.
type countedStream struct {
	stream  *Stream
	traffic *Traffic
	class   TrafficClass
	message wire.MessageType
}

func (c countedStream) Write(p []byte) (int, error) {
	n, err := c.stream.Write(p)
	c.traffic.sent(c.class, c.message, n)
	return n, err
}

func (c countedStream) Read(p []byte) (int, error) {
	n, err := c.stream.Read(p)
	c.traffic.received(c.class, c.message, n)
	return n, err
}

// WireTraffic is what the connections of a node have carried, calls included:
// UDP payload in bytes and datagrams. IP and UDP headers add 28 bytes to each
// datagram over IPv4.
type WireTraffic struct {
	SentBytes, SentPackets, ReceivedBytes, ReceivedPackets uint64
}

func (w *WireTraffic) add(s quic.ConnectionStats) {
	w.SentBytes += s.BytesSent
	w.SentPackets += s.PacketsSent
	w.ReceivedBytes += s.BytesReceived
	w.ReceivedPackets += s.PacketsReceived
}

// meter keeps the open connections and the sum of the ended ones. The lock is
// taken at the start and the end of a connection and when the sum is read,
// never by a call.
type meter struct {
	mu    sync.Mutex
	open  map[*quic.Conn]struct{}
	ended WireTraffic
}

func (m *meter) opened(conn *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open == nil {
		m.open = map[*quic.Conn]struct{}{}
	}
	m.open[conn] = struct{}{}
}

func (m *meter) closed(conn *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.open, conn)
	m.ended.add(conn.ConnectionStats())
}

func (m *meter) sum() (total WireTraffic, connections int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	total = m.ended
	for conn := range m.open {
		total.add(conn.ConnectionStats())
	}
	return total, len(m.open)
}

// WireTraffic returns what all connections have carried so far, and how many
// are open.
func (t *Transport) WireTraffic() (WireTraffic, int) { return t.meter.sum() }
