package node

import "mangostand.example/mangostand/pkg/control/telemetry"

// newTelemetry returns the controller that exports the board and the peer
// traffic as metrics.
func (n *Node) newTelemetry() *telemetry.Controller {
	c := telemetry.New(n.board, &n.peerTransport.Traffic, n.metricsScope)
	c.WireTraffic = n.peerTransport.WireTraffic
	return c
}
