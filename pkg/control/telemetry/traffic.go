package telemetry

import (
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/wire"
)

// updateTraffic raises the counters of the exchanges between nodes. The totals
// control_bytes_* hold what a node sends whether or not there are calls; the
// limit on control traffic holds for them. The totals key_bytes_* hold what
// non-idempotent calls cost. message_bytes_* splits both by class and message
// type. All of them count messages with their frame headers; peer_wire_* counts
// UDP payload and datagrams of all connections, calls included.
func (c *Controller) updateTraffic() {
	c.updateCounter("control_bytes_sent_total", c.traffic.Sent.Load())
	c.updateCounter("control_bytes_received_total", c.traffic.Received.Load())
	c.updateCounter("key_bytes_sent_total", c.traffic.Keys.Sent.Load())
	c.updateCounter("key_bytes_received_total", c.traffic.Keys.Received.Load())
	c.traffic.Each(func(class peer.Class, message wire.Type, bytes *peer.Bytes) {
		c.updateMessageCounter("message_bytes_sent_total", class, message, bytes.Sent.Load())
		c.updateMessageCounter("message_bytes_received_total", class, message, bytes.Received.Load())
	})
	if c.WireTraffic != nil {
		c.updateWireTraffic()
	}
}

// updateMessageCounter raises the counter of a message type once it has been seen.
func (c *Controller) updateMessageCounter(name string, class peer.Class, message wire.Type, total uint64) {
	if total == 0 {
		return
	}
	key := name + " " + class.String() + " " + message.String()
	tags := map[string]string{"class": class.String(), "type": message.String()}
	c.scope.Tagged(tags).Counter(name).Inc(int64(total - c.lastTotals[key]))
	c.lastTotals[key] = total
}

func (c *Controller) updateWireTraffic() {
	total, connections := c.WireTraffic()
	c.updateCounter("peer_wire_bytes_sent_total", total.SentBytes)
	c.updateCounter("peer_wire_bytes_received_total", total.ReceivedBytes)
	c.updateCounter("peer_wire_packets_sent_total", total.SentPackets)
	c.updateCounter("peer_wire_packets_received_total", total.ReceivedPackets)
	c.scope.Gauge("peer_connections").Update(float64(connections))
}
