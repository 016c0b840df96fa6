package wire

import "mangostand.example/mangostand/pkg/board"

// Probe requests the load report of an executor. Nodes send it only when no recent
// response to a call carried one.
type Probe struct {
	// Instance is the intended receiver. Another instance at the same address does
	// not respond.
	Instance board.InstanceID `cbor:"1,keyasint"`
}

// ProbeResponse is the response to a Probe.
type ProbeResponse struct {
	Instance board.InstanceID `cbor:"1,keyasint"`
	// Incarnation is that of the executor. The sender of the probe drops a response
	// whose incarnation differs from that of its endpoint record.
	Incarnation uint64           `cbor:"2,keyasint"`
	LoadReport  board.LoadReport `cbor:"3,keyasint"`
}

// ProbeCostBytes is what one probe with its response costs in the probe budgets of
// both nodes: two frames of at most 128 bytes, each with a packet header of 72
// bytes (IP, UDP, QUIC). It assumes instance names of at most 64 bytes;
// TestProbeCostCoversRequestAndResponse checks the sum.
const ProbeCostBytes = 400
