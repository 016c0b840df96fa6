package node

import "mangostand.example/mangostand/pkg/control/telemetry"

// telemetry builds the controller of the gauges and counters.
func (n *Node) telemetry() *telemetry.Controller {
	c := telemetry.New(n.board, &n.peers.Traffic, n.scope)
	c.WireTraffic = n.peers.WireTraffic
	return c
}
