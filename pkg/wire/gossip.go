package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
)

// Ping asks whether the target is alive. The answer is a PingAnswer.
type Ping struct {
	From board.InstanceID `cbor:"1,keyasint"`
	// FromIncarnation and FromSequence are those of the sender's own record.
	FromIncarnation uint64 `cbor:"2,keyasint"`
	FromSequence    uint64 `cbor:"3,keyasint"`
	// Target, Incarnation and Sequence are the sender's knowledge of the
	// target.
	Target      board.InstanceID `cbor:"4,keyasint"`
	Incarnation uint64           `cbor:"5,keyasint"`
	Sequence    uint64           `cbor:"6,keyasint"`
	// VersionsHash sums up the version numbers of the sender.
	VersionsHash uint64 `cbor:"7,keyasint,omitempty"`
	// Claims carries the sender's record of the target when it holds the target
	// for dead, so that the target refutes it, and then the sender's own.
	Claims []board.Member `cbor:"8,keyasint,omitempty"`
}

// PingAnswer answers a Ping and a PingIndirect.
type PingAnswer struct {
	// Instance and Incarnation are those of the node that answers, which may be
	// a replacement at the address of the target.
	Instance    board.InstanceID `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"`
	// Members carries the answerer's record when the sender's is old, and the
	// answerer's record of the sender when it holds the sender for dead or old.
	Members []board.Member `cbor:"3,keyasint,omitempty"`
	// Versions is sent when the hashes differ.
	Versions map[string]uint64 `cbor:"4,keyasint,omitempty"`
	Load     *board.LoadReport `cbor:"5,keyasint,omitempty"`
}

// PingIndirect asks a neighbour to ping a target that did not answer.
type PingIndirect struct {
	Ping Ping `cbor:"1,keyasint"`
	// Addr is the peer address of the target.
	Addr string `cbor:"2,keyasint"`
}

// Digest compares the tables of two nodes. The answer is a Digest that has
// Buckets and RumorIDs only where the hashes differ.
type Digest struct {
	Sender board.Member `cbor:"1,keyasint"`
	Root   uint64       `cbor:"2,keyasint"`
	// Rumors covers the IDs of the kept rumors.
	Rumors   uint64            `cbor:"3,keyasint,omitempty"`
	Versions map[string]uint64 `cbor:"4,keyasint,omitempty"`
	Buckets  []uint64          `cbor:"5,keyasint,omitempty"`
	RumorIDs []string          `cbor:"6,keyasint,omitempty"`
}

// Delta carries member records that the receiver may not have. The answer is a
// Delta with the records of the wanted buckets and the wanted rumors that the
// sender does not have.
type Delta struct {
	From    board.InstanceID `cbor:"1,keyasint"`
	Members []board.Member   `cbor:"2,keyasint,omitempty"`
	// WantBuckets lists buckets whose records Members holds in full.
	WantBuckets []uint8       `cbor:"3,keyasint,omitempty"`
	WantRumors  []string      `cbor:"4,keyasint,omitempty"`
	Rumors      []board.Rumor `cbor:"5,keyasint,omitempty"`
}

// Rumors carries rumors that the receiver may not have seen. The answer is an
// Ack.
type Rumors struct {
	From   board.InstanceID `cbor:"1,keyasint"`
	Rumors []board.Rumor    `cbor:"2,keyasint"`
}

// Ack answers a message that needs no other answer.
type Ack struct{}

// QuarantineRumor is the payload of a rumor of kind RumorQuarantine: incarnations that
// ended under a request, or incarnations that a completion or an operator cleared.
type QuarantineRumor struct {
	Digest  string                    `cbor:"1,keyasint"`
	Summary string                    `cbor:"2,keyasint,omitempty"`
	Deaths  []board.ServerIncarnation `cbor:"3,keyasint,omitempty"`
	Cleared []board.ServerIncarnation `cbor:"4,keyasint,omitempty"`
}

// EncodePayload encodes the payload of a rumor.
func EncodePayload(payload any) ([]byte, error) {
	data, err := cbor.Marshal(payload)
	return data, errors.Trace(err)
}

// DecodePayload decodes the payload of a received rumor.
func DecodePayload(data []byte, payload any) error {
	if err := decMode.Unmarshal(data, payload); err != nil {
		return errors.Annotatef(ErrMalformed, "rumor: %v", err)
	}
	return nil
}
