package wire

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// Claim asks the home of an idempotency key for a grant: the permission to execute
// the call of the key once at an executor.
type Claim struct {
	ID            board.KeyID `cbor:"1,keyasint"`
	RequestDigest string      `cbor:"2,keyasint"`
	Epoch         uint64      `cbor:"3,keyasint"`
	// Executor and ExecutorIncarnation identify the node that the entry chose to
	// execute the call.
	Executor            board.InstanceID `cbor:"4,keyasint,omitempty"`
	ExecutorIncarnation uint64           `cbor:"5,keyasint,omitempty"`
	RequestID           string           `cbor:"6,keyasint"`
	// ClaimSequence is the number of the claim within the request, starting at 1. A
	// claim that arrives after a later one of the same request has no effect.
	ClaimSequence uint32 `cbor:"7,keyasint"`
	// KeyIsNew is true when the entry created the key for this call and no call of
	// the key can have been executed: the entry has sent none, or each one was
	// refused with proof. Lost records of the key are then of no importance. A
	// claim whose response was lost does not change this, since only the entry can
	// use a grant.
	KeyIsNew bool `cbor:"8,keyasint,omitempty"`
	// GrantUnresolved is true when the entry sent the call under its last grant and
	// got no response.
	GrantUnresolved bool `cbor:"9,keyasint,omitempty"`
	// LookupOnly asks for the outcome of the key without a grant.
	LookupOnly bool `cbor:"10,keyasint,omitempty"`
	// MaxWaitMicros is how long the home may wait for a transfer of key records, in
	// microseconds.
	MaxWaitMicros int64 `cbor:"11,keyasint"`
}

// ClaimStatus is the result of a claim.
type ClaimStatus uint8

// Results of a claim.
const (
	// ClaimRefused means that nothing is granted; the reason says why.
	ClaimRefused ClaimStatus = iota
	// ClaimGranted means that the entry may send the call once.
	ClaimGranted
	// ClaimOutcomeRecorded means that the outcome of the key is recorded.
	ClaimOutcomeRecorded
	// ClaimInProgress means that another attempt holds the grant.
	ClaimInProgress
	// ClaimConflict means that the key was used for a request with another digest.
	ClaimConflict
	// ClaimOutcomeUnknown means that the call of the key may have been executed and
	// its outcome is not known.
	ClaimOutcomeUnknown
	// ClaimStaleEpoch means that the epochs of the claim and of the home differ.
	ClaimStaleEpoch
	// ClaimNotFound is the result of a lookup and means that the call of the key
	// has not been executed.
	ClaimNotFound
)

// ClaimResponse is the response to a Claim.
type ClaimResponse struct {
	Status ClaimStatus  `cbor:"1,keyasint"`
	Reason board.Reason `cbor:"2,keyasint,omitempty"`
	Grant  uint64       `cbor:"3,keyasint,omitempty"`
	// Epoch is the number of the home's epoch. NewerEpoch is that epoch itself, set
	// when the epoch of the claim is lower.
	Epoch      uint64           `cbor:"4,keyasint"`
	NewerEpoch *board.Epoch     `cbor:"5,keyasint,omitempty"`
	Record     *board.KeyRecord `cbor:"6,keyasint,omitempty"`
}

// Seal asks an executor for its record of a key. An executor without a record
// seals the grant: it will never execute it or a lower one (fencing).
type Seal struct {
	ID                  board.KeyID `cbor:"1,keyasint"`
	RequestDigest       string      `cbor:"2,keyasint"`
	Grant               uint64      `cbor:"3,keyasint"`
	ExecutorIncarnation uint64      `cbor:"4,keyasint"`
	ExpiresAt           time.Time   `cbor:"5,keyasint"`
	// ReadOnly asks for the record without sealing the grant.
	ReadOnly bool `cbor:"6,keyasint,omitempty"`
}

// SealResponse is the response to a Seal.
type SealResponse struct {
	// Record is the executor's record, nil when it has none.
	Record *board.KeyRecord `cbor:"1,keyasint,omitempty"`
	// WrongIncarnation is true when the executor has restarted since the grant.
	WrongIncarnation bool `cbor:"2,keyasint,omitempty"`
}

// Complete reports the outcome of a key to its home.
type Complete struct {
	ID     board.KeyID     `cbor:"1,keyasint"`
	Epoch  uint64          `cbor:"2,keyasint"`
	Record board.KeyRecord `cbor:"3,keyasint"`
}

// CompleteResponse is the response to a Complete. Its frame has type TypeAck.
type CompleteResponse struct {
	// OutcomeStored is true when the home has recorded the outcome.
	OutcomeStored bool         `cbor:"1,keyasint"`
	NewerEpoch    *board.Epoch `cbor:"2,keyasint,omitempty"`
}

// Transfer requests the receiver's epoch of a service and, unless EpochOnly is set,
// the key records whose home in Epoch is the requester. The response is a
// TransferPage.
type Transfer struct {
	Service   string `cbor:"1,keyasint"`
	EpochOnly bool   `cbor:"2,keyasint,omitempty"`
	// KnownEpoch is the number of the requester's epoch of the service.
	KnownEpoch uint64           `cbor:"3,keyasint"`
	Epoch      *board.Epoch     `cbor:"4,keyasint,omitempty"`
	Requester  board.InstanceID `cbor:"5,keyasint"`
	// Cursor is NextCursor of the previous page, "" for the first page.
	Cursor string `cbor:"6,keyasint,omitempty"`
}

// TransferPage is the response to a Transfer: one page of key records.
type TransferPage struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	// Epoch is the number of the sender's epoch. NewerEpoch is that epoch itself,
	// set when it is above the requester's.
	Epoch      uint64       `cbor:"2,keyasint"`
	NewerEpoch *board.Epoch `cbor:"3,keyasint,omitempty"`
	// EpochAdopted is true when the sender has adopted the requested epoch.
	// Otherwise the page has no records and the requester has to retry.
	EpochAdopted bool `cbor:"4,keyasint,omitempty"`
	// Horizon applies to keys whose home was the sender: a key that was created by
	// then may have been executed although it has no record.
	Horizon time.Time        `cbor:"5,keyasint"`
	Records []TransferRecord `cbor:"6,keyasint,omitempty"`
	// NextCursor requests the next page; it is "" on the last page.
	NextCursor string `cbor:"7,keyasint,omitempty"`
}

// TransferRecord is one key record of a transfer.
type TransferRecord struct {
	ID     board.KeyID     `cbor:"1,keyasint"`
	Record board.KeyRecord `cbor:"2,keyasint"`
}

// EpochNotice is the payload of a rumor of kind RumorEpoch. It carries an epoch or,
// when Epoch is nil, the number of an epoch that the node at SourceAddr has.
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
