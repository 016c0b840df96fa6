package telemetry

import (
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/wire"
)

// updateTraffic updates the counters of the exchanges between nodes.
// control_bytes_* counts the control traffic, which does not depend on calls and
// is limited. key_bytes_* counts the traffic that non-idempotent calls cause.
// message_bytes_* splits both by class and message type. All of these count
// messages including their frame headers. peer_wire_* counts the UDP payload and
// the datagrams of all connections, calls included.
func (c *Controller) updateTraffic() {
	c.updateCounter("control_bytes_sent_total", c.traffic.Sent.Load())
	c.updateCounter("control_bytes_received_total", c.traffic.Received.Load())
	c.updateCounter("key_bytes_sent_total", c.traffic.Keys.Sent.Load())
	c.updateCounter("key_bytes_received_total", c.traffic.Keys.Received.Load())
	c.traffic.Each(func(class peer.TrafficClass, message wire.MessageType, bytes *peer.ByteCounters) {
		c.updateMessageCounter("message_bytes_sent_total", class, message, bytes.Sent.Load())
		c.updateMessageCounter("message_bytes_received_total", class, message, bytes.Received.Load())
	})
	if c.WireTraffic != nil {
		c.updateWireTraffic()
	}
}

// updateMessageCounter raises the counter of a message type to total. A type that
// has not been seen yet gets no counter.
func (c *Controller) updateMessageCounter(name string, class peer.TrafficClass, message wire.MessageType, total uint64) {
	if total == 0 {
		return
	}
	key := name + " " + class.String() + " " + message.String()
	tags := map[string]string{"class": class.String(), "type": message.String()}
	c.scope.Tagged(tags).Counter(name).Inc(int64(total - c.lastTotals[key]))
	c.lastTotals[key] = total
}

// updateWireTraffic updates the metrics of the connections between nodes.
func (c *Controller) updateWireTraffic() {
	total, connections := c.WireTraffic()
	c.updateCounter("peer_wire_bytes_sent_total", total.SentBytes)
	c.updateCounter("peer_wire_bytes_received_total", total.ReceivedBytes)
	c.updateCounter("peer_wire_packets_sent_total", total.SentPackets)
	c.updateCounter("peer_wire_packets_received_total", total.ReceivedPackets)
	c.scope.Gauge("peer_connections").Update(float64(connections))
}
