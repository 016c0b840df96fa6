package node

import "mangostand.example/mangostand/pkg/control/telemetry"

// newTelemetry builds the controller of the gauges and counters.
func (n *Node) newTelemetry() *telemetry.Controller {
	c := telemetry.New(n.board, &n.peerTransport.Traffic, n.metricsScope)
	c.WireTraffic = n.peerTransport.WireTraffic
	return c
}
