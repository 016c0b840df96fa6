package wire

import "mangostand.example/mangostand/pkg/board"

// Probe asks an executor for its load. It is sent only when no answer of a
// call has told it lately.
type Probe struct {
	// Instance is the instance that the sender means; another one at the same
	// address does not answer.
	Instance board.InstanceID `cbor:"1,keyasint"`
}

// ProbeResponse is the answer to a Probe.
type ProbeResponse struct {
	Instance board.InstanceID `cbor:"1,keyasint"`
	// Incarnation is that of the executor's node; the answer of another incarnation
	// than the one in the cell is dropped.
	Incarnation uint64           `cbor:"2,keyasint"`
	LoadReport  board.LoadReport `cbor:"3,keyasint"`
}

// ProbeCostBytes is the size in bytes that one probe with its answer counts for in
// the budgets of both sides: two frames of at most 128 bytes with one packet
// header of 72 bytes (IP, UDP, QUIC) each. Instance names are at most 64
// bytes long here; the test of this package checks the sum.
const ProbeCostBytes = 400
