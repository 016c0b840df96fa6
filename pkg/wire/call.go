package wire

import "mangostand.example/mangostand/pkg/board"

// HeaderField is one HTTP header field with all its values.
type HeaderField struct {
	Name   string   `cbor:"1,keyasint"`
	Values []string `cbor:"2,keyasint"`
}

// Call carries a request from the entry to the executor.
type Call struct {
	RequestID string        `cbor:"1,keyasint"`
	Service   string        `cbor:"2,keyasint"`
	Method    string        `cbor:"3,keyasint"`
	Path      string        `cbor:"4,keyasint"`
	Query     string        `cbor:"5,keyasint,omitempty"`
	Header    []HeaderField `cbor:"6,keyasint,omitempty"`
	Body      []byte        `cbor:"7,keyasint,omitempty"`
	Caller    string        `cbor:"8,keyasint,omitempty"`
	// Route names the route of the configuration that the entry matched.
	Route string `cbor:"9,keyasint,omitempty"`
	// TimeToDeadlineMicros is the time that remains for the call in microseconds.
	TimeToDeadlineMicros int64 `cbor:"10,keyasint"`
	Priority             uint8 `cbor:"11,keyasint,omitempty"`
	Idempotent           bool  `cbor:"12,keyasint,omitempty"`
	// AttemptNumber counts the attempts of this call, starting at 1.
	AttemptNumber uint8 `cbor:"13,keyasint"`
	// TreeID identifies the call tree; AttemptsLeft is its remaining budget of
	// additional attempts; Depth counts the nested calls above this one.
	TreeID       string `cbor:"14,keyasint,omitempty"`
	AttemptsLeft uint8  `cbor:"15,keyasint,omitempty"`
	Depth        uint8  `cbor:"16,keyasint,omitempty"`
	// Key, Digest, Epoch, Grant and the incarnation bind a non-idempotent call
	// to one grant of its key home.
	Key                 string `cbor:"17,keyasint,omitempty"`
	RequestDigest       string `cbor:"18,keyasint,omitempty"`
	Epoch               uint64 `cbor:"19,keyasint,omitempty"`
	Grant               uint64 `cbor:"20,keyasint,omitempty"`
	ExecutorIncarnation uint64 `cbor:"21,keyasint,omitempty"`
	// ConfigVersion is the configuration version of the entry.
	ConfigVersion uint64 `cbor:"22,keyasint,omitempty"`
}

// CallResponse is the head of the answer to a Call. The body follows on the
// stream until its end; a reset means that the answer is incomplete.
type CallResponse struct {
	RequestID string        `cbor:"1,keyasint"`
	Outcome   board.Outcome `cbor:"2,keyasint"`
	// Reason says why a call was not run or is unknown.
	Reason string        `cbor:"3,keyasint,omitempty"`
	Status uint16        `cbor:"4,keyasint,omitempty"`
	Header []HeaderField `cbor:"5,keyasint,omitempty"`
	// ContentLength is the size of the body in bytes, -1 when not known.
	ContentLength int64            `cbor:"6,keyasint,omitempty"`
	LoadReport    board.LoadReport `cbor:"7,keyasint"`
	// AttemptsUsed counts the additional attempts that nested calls spent. It is
	// negative when the call returns attempts that a sibling reported as used.
	AttemptsUsed  int16  `cbor:"8,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"9,keyasint,omitempty"`
	// Epoch is the executor's epoch of the service, so that an entry with an
	// older one learns of the change.
	Epoch uint64 `cbor:"10,keyasint,omitempty"`
}
