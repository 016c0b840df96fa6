package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
)

// Ping checks whether the target is alive. The response is a PingResponse.
type Ping struct {
	From board.InstanceID `cbor:"1,keyasint"`
	// FromIncarnation and FromSequence are those of the sender's member record.
	FromIncarnation uint64 `cbor:"2,keyasint"`
	FromSequence    uint64 `cbor:"3,keyasint"`
	// Target, TargetIncarnation and TargetSequence are those of the sender's record
	// of the target.
	Target            board.InstanceID `cbor:"4,keyasint"`
	TargetIncarnation uint64           `cbor:"5,keyasint"`
	TargetSequence    uint64           `cbor:"6,keyasint"`
	// VersionsHash is the hash of the sender's version numbers.
	VersionsHash uint64 `cbor:"7,keyasint,omitempty"`
	// Members is set when the sender considers the target dead. It carries the
	// sender's record of the target, which a live target refutes, and the sender's
	// own record.
	Members []board.Member `cbor:"8,keyasint,omitempty"`
}

// PingResponse is the response to a Ping and to a PingIndirect.
type PingResponse struct {
	// Instance and Incarnation are those of the responding node, which may have
	// replaced the target at its address.
	Instance    board.InstanceID `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"`
	// Members carries the own record of the responding node when the sender of the
	// ping has another version of it. It also carries the responding node's record
	// of the sender when that record is newer than the sender's or says that the
	// sender is dead.
	Members []board.Member `cbor:"3,keyasint,omitempty"`
	// Versions is set when the hashes of the versions differ.
	Versions   map[string]uint64 `cbor:"4,keyasint,omitempty"`
	LoadReport *board.LoadReport `cbor:"5,keyasint,omitempty"`
}

// PingIndirect requests a ping of a target that did not respond to the sender.
type PingIndirect struct {
	Ping Ping `cbor:"1,keyasint"`
	// TargetAddr is the peer address of the target.
	TargetAddr string `cbor:"2,keyasint"`
}

// Digest carries the hashes of the sender's member records and retained rumors, as
// in board.MemberDigest. The response is the Digest of the receiver, with
// BucketHashes only when the root hashes differ, and RumorIDs only when the hashes
// of the rumors differ.
type Digest struct {
	Sender   board.Member `cbor:"1,keyasint"`
	RootHash uint64       `cbor:"2,keyasint"`
	// RumorsHash is the hash of the IDs of the retained rumors.
	RumorsHash   uint64            `cbor:"3,keyasint,omitempty"`
	Versions     map[string]uint64 `cbor:"4,keyasint,omitempty"`
	BucketHashes []uint64          `cbor:"5,keyasint,omitempty"`
	RumorIDs     []string          `cbor:"6,keyasint,omitempty"`
}

// Delta carries member records and rumors that the receiver may not have. The
// response is a Delta with the records of WantedBuckets that the sender lacks and
// with the rumors of WantedRumors.
type Delta struct {
	From    board.InstanceID `cbor:"1,keyasint"`
	Members []board.Member   `cbor:"2,keyasint,omitempty"`
	// WantedBuckets lists the buckets whose records are all in Members. The
	// receiver responds with those that are missing or older there.
	WantedBuckets []uint8       `cbor:"3,keyasint,omitempty"`
	WantedRumors  []string      `cbor:"4,keyasint,omitempty"`
	Rumors        []board.Rumor `cbor:"5,keyasint,omitempty"`
}

// Rumors carries rumors that the receiver may not have seen. The response is an
// Ack.
type Rumors struct {
	From   board.InstanceID `cbor:"1,keyasint"`
	Rumors []board.Rumor    `cbor:"2,keyasint"`
}

// Ack is the response to a message that needs no data in its response.
type Ack struct{}

// QuarantineRumor is the payload of a rumor of kind RumorQuarantine. Crashes lists
// the server incarnations that crashed while they executed the request. Cleared lists
// those whose crash is no longer counted against the request, because the request
// completed on another server or an operator lifted the quarantine.
type QuarantineRumor struct {
	RequestDigest  string                    `cbor:"1,keyasint"`
	RequestSummary string                    `cbor:"2,keyasint,omitempty"`
	Crashes        []board.ServerIncarnation `cbor:"3,keyasint,omitempty"`
	Cleared        []board.ServerIncarnation `cbor:"4,keyasint,omitempty"`
}

// EncodeRumorPayload encodes a struct as the payload of a rumor.
func EncodeRumorPayload(payload any) ([]byte, error) {
	data, err := cbor.Marshal(payload)
	return data, errors.Trace(err)
}

// DecodeRumorPayload decodes the payload of a received rumor into payload, a
// pointer to a struct.
func DecodeRumorPayload(data []byte, payload any) error {
	if err := decMode.Unmarshal(data, payload); err != nil {
		return errors.Annotatef(ErrMalformed, "rumor: %v", err)
	}
	return nil
}
