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
	Target            board.InstanceID `cbor:"4,keyasint"`
	TargetIncarnation uint64           `cbor:"5,keyasint"`
	TargetSequence    uint64           `cbor:"6,keyasint"`
	// VersionsHash sums up the version numbers of the sender.
	VersionsHash uint64 `cbor:"7,keyasint,omitempty"`
	// Members carries the sender's record of the target when it holds the target
	// for dead, so that the target refutes it, and then the sender's own.
	Members []board.Member `cbor:"8,keyasint,omitempty"`
}

// PingResponse answers a Ping and a PingIndirect.
type PingResponse struct {
	// Instance and Incarnation are those of the node that answers, which may be
	// a replacement at the address of the target.
	Instance    board.InstanceID `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"`
	// Members carries the answerer's record when the sender's is old, and the
	// answerer's record of the sender when it holds the sender for dead or old.
	Members []board.Member `cbor:"3,keyasint,omitempty"`
	// Versions is sent when the hashes differ.
	Versions   map[string]uint64 `cbor:"4,keyasint,omitempty"`
	LoadReport *board.LoadReport `cbor:"5,keyasint,omitempty"`
}

// PingIndirect asks a neighbour to ping a target that did not answer.
type PingIndirect struct {
	Ping Ping `cbor:"1,keyasint"`
	// TargetAddr is the peer address of the target.
	TargetAddr string `cbor:"2,keyasint"`
}

// Digest compares the tables of two nodes. The answer is a Digest that has
// Buckets and RumorIDs only where the hashes differ.
type Digest struct {
	Sender   board.Member `cbor:"1,keyasint"`
	RootHash uint64       `cbor:"2,keyasint"`
	// RumorsHash covers the IDs of the kept rumors.
	RumorsHash   uint64            `cbor:"3,keyasint,omitempty"`
	Versions     map[string]uint64 `cbor:"4,keyasint,omitempty"`
	BucketHashes []uint64          `cbor:"5,keyasint,omitempty"`
	RumorIDs     []string          `cbor:"6,keyasint,omitempty"`
}

// Delta carries member records that the receiver may not have. The answer is a
// Delta with the records of the wanted buckets and the wanted rumors that the
// sender does not have.
type Delta struct {
	From    board.InstanceID `cbor:"1,keyasint"`
	Members []board.Member   `cbor:"2,keyasint,omitempty"`
	// WantedBuckets lists buckets whose records Members holds in full.
	WantedBuckets []uint8       `cbor:"3,keyasint,omitempty"`
	WantedRumors  []string      `cbor:"4,keyasint,omitempty"`
	Rumors        []board.Rumor `cbor:"5,keyasint,omitempty"`
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
	RequestDigest  string                    `cbor:"1,keyasint"`
	RequestSummary string                    `cbor:"2,keyasint,omitempty"`
	Crashes        []board.ServerIncarnation `cbor:"3,keyasint,omitempty"`
	Cleared        []board.ServerIncarnation `cbor:"4,keyasint,omitempty"`
}

// EncodeRumorPayload encodes the payload of a rumor.
func EncodeRumorPayload(payload any) ([]byte, error) {
	data, err := cbor.Marshal(payload)
	return data, errors.Trace(err)
}

// DecodeRumorPayload decodes the payload of a received rumor.
func DecodeRumorPayload(data []byte, payload any) error {
	if err := decMode.Unmarshal(data, payload); err != nil {
		return errors.Annotatef(ErrMalformed, "rumor: %v", err)
	}
	return nil
}
