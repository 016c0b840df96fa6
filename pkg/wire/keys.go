package wire

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// Claim asks a key home for the permission to run a key once at an executor.
type Claim struct {
	ID            board.KeyID `cbor:"1,keyasint"`
	RequestDigest string      `cbor:"2,keyasint"`
	Epoch         uint64      `cbor:"3,keyasint"`
	// Executor and its incarnation are where the entry wants to run the call.
	Executor            board.InstanceID `cbor:"4,keyasint,omitempty"`
	ExecutorIncarnation uint64           `cbor:"5,keyasint,omitempty"`
	RequestID           string           `cbor:"6,keyasint"`
	// ClaimSequence counts the claims of the request, starting at 1. A claim that
	// arrives after a later one of the same request has no effect.
	ClaimSequence uint32 `cbor:"7,keyasint"`
	// KeyIsNew: the entry created the key for this call and claims it first.
	KeyIsNew bool `cbor:"8,keyasint,omitempty"`
	// GrantUnresolved: the entry sent the call under its last grant and got no answer.
	GrantUnresolved bool `cbor:"9,keyasint,omitempty"`
	// LookupOnly asks for the record only; nothing is granted or sealed.
	LookupOnly bool `cbor:"10,keyasint,omitempty"`
	// MaxWaitMicros is how long the home may wait for a transfer.
	MaxWaitMicros int64 `cbor:"11,keyasint"`
}

// ClaimStatus is the answer of a key home.
type ClaimStatus uint8

// Answers of a key home.
const (
	// ClaimRefused: nothing is granted, see the reason.
	ClaimRefused ClaimStatus = iota
	// ClaimGranted: the entry may send the call once.
	ClaimGranted
	// ClaimOutcomeRecorded: the key has an outcome.
	ClaimOutcomeRecorded
	// ClaimInProgress: another attempt holds the grant.
	ClaimInProgress
	// ClaimConflict: the key belongs to a request with another digest.
	ClaimConflict
	// ClaimOutcomeUnknown: the key may have run and its outcome is not known.
	ClaimOutcomeUnknown
	// ClaimStaleEpoch: the epoch of the claim is not the epoch of the home.
	ClaimStaleEpoch
	// ClaimNotFound: a lookup found no record.
	ClaimNotFound
)

// ClaimResponse answers a Claim.
type ClaimResponse struct {
	Status ClaimStatus  `cbor:"1,keyasint"`
	Reason board.Reason `cbor:"2,keyasint,omitempty"`
	Grant  uint64       `cbor:"3,keyasint,omitempty"`
	// Epoch is the number of the home's epoch; Newer is that epoch when the
	// claim had a lower one.
	Epoch      uint64           `cbor:"4,keyasint"`
	NewerEpoch *board.Epoch     `cbor:"5,keyasint,omitempty"`
	Record     *board.KeyRecord `cbor:"6,keyasint,omitempty"`
}

// Seal asks an executor for its record of a key. When it has none, it promises
// never to run the grant or a lower one.
type Seal struct {
	ID                  board.KeyID `cbor:"1,keyasint"`
	RequestDigest       string      `cbor:"2,keyasint"`
	Grant               uint64      `cbor:"3,keyasint"`
	ExecutorIncarnation uint64      `cbor:"4,keyasint"`
	ExpiresAt           time.Time   `cbor:"5,keyasint"`
	// ReadOnly asks for the record without the promise.
	ReadOnly bool `cbor:"6,keyasint,omitempty"`
}

// SealResponse answers a Seal.
type SealResponse struct {
	// Record is the executor's record, nil when it has none.
	Record *board.KeyRecord `cbor:"1,keyasint,omitempty"`
	// WrongIncarnation: the executor has restarted since the grant.
	WrongIncarnation bool `cbor:"2,keyasint,omitempty"`
}

// Complete tells a key home the outcome of a key.
type Complete struct {
	ID     board.KeyID     `cbor:"1,keyasint"`
	Epoch  uint64          `cbor:"2,keyasint"`
	Record board.KeyRecord `cbor:"3,keyasint"`
}

// CompleteResponse answers a Complete.
type CompleteResponse struct {
	// OutcomeStored is true when the home has the outcome.
	OutcomeStored bool         `cbor:"1,keyasint"`
	NewerEpoch    *board.Epoch `cbor:"2,keyasint,omitempty"`
}

// Transfer asks a node for its epoch of a service and, unless EpochOnly is
// set, for the records whose home the requester is in the given epoch.
type Transfer struct {
	Service   string `cbor:"1,keyasint"`
	EpochOnly bool   `cbor:"2,keyasint,omitempty"`
	// KnownEpoch is the number of the requester's epoch.
	KnownEpoch uint64           `cbor:"3,keyasint"`
	Epoch      *board.Epoch     `cbor:"4,keyasint,omitempty"`
	Requester  board.InstanceID `cbor:"5,keyasint"`
	// Cursor is the Next of the last page, "" for the first one.
	Cursor string `cbor:"6,keyasint,omitempty"`
}

// TransferPage answers a Transfer.
type TransferPage struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	// Epoch is the number of the sender's epoch; Newer is that epoch when it is
	// above the requester's.
	Epoch      uint64       `cbor:"2,keyasint"`
	NewerEpoch *board.Epoch `cbor:"3,keyasint,omitempty"`
	// EpochAdopted is true when the sender has adopted the requested epoch; without
	// it there are no records and the requester asks again.
	EpochAdopted bool `cbor:"4,keyasint,omitempty"`
	// Horizon is the sender's horizon for keys that had their home there.
	Horizon time.Time        `cbor:"5,keyasint"`
	Records []TransferRecord `cbor:"6,keyasint,omitempty"`
	// NextCursor is the cursor of the next page, "" after the last one.
	NextCursor string `cbor:"7,keyasint,omitempty"`
}

// TransferRecord is one record of a transfer.
type TransferRecord struct {
	ID     board.KeyID     `cbor:"1,keyasint"`
	Record board.KeyRecord `cbor:"2,keyasint"`
}

// EpochNotice is the payload of an epoch rumor: an epoch, or the number of one
// that the node at Source has.
type EpochNotice struct {
	Service     string       `cbor:"1,keyasint"`
	EpochNumber uint64       `cbor:"2,keyasint"`
	Epoch       *board.Epoch `cbor:"3,keyasint,omitempty"`
	SourceAddr  string       `cbor:"4,keyasint,omitempty"`
}

// NewEpochRumor encodes a notice as a rumor.
func NewEpochRumor(id string, notice EpochNotice) (board.Rumor, error) {
	payload, err := encMode.Marshal(notice)
	return board.Rumor{Kind: board.RumorEpoch, ID: id, Payload: payload}, err
}

// DecodeEpochRumor decodes the payload of an epoch rumor.
func DecodeEpochRumor(r board.Rumor) (EpochNotice, error) {
	var notice EpochNotice
	err := decMode.Unmarshal(r.Payload, &notice)
	return notice, err
}
