package wire

import "mangostand.example/mangostand/pkg/board"

// HeaderField is one HTTP header field with all its values.
type HeaderField struct {
	Name   string   `cbor:"1,keyasint"`
	Values []string `cbor:"2,keyasint"`
}

// Call forwards a caller's request from the entry to the executor. Package board
// defines entry, executor and key home.
type Call struct {
	RequestID string        `cbor:"1,keyasint"`
	Service   string        `cbor:"2,keyasint"`
	Method    string        `cbor:"3,keyasint"`
	Path      string        `cbor:"4,keyasint"`
	Query     string        `cbor:"5,keyasint,omitempty"`
	Header    []HeaderField `cbor:"6,keyasint,omitempty"`
	Body      []byte        `cbor:"7,keyasint,omitempty"`
	Caller    string        `cbor:"8,keyasint,omitempty"`
	// Route is the name of the route that the entry matched in its configuration.
	Route string `cbor:"9,keyasint,omitempty"`
	// TimeToDeadlineMicros is the time left until the deadline of the call, in
	// microseconds.
	TimeToDeadlineMicros int64 `cbor:"10,keyasint"`
	Priority             uint8 `cbor:"11,keyasint,omitempty"`
	Idempotent           bool  `cbor:"12,keyasint,omitempty"`
	// AttemptNumber is the number of this attempt of the call, starting at 1.
	AttemptNumber uint8 `cbor:"13,keyasint"`
	// TreeID identifies the call tree: the caller's request and the nested calls
	// that it causes. AttemptsLeft is the part of the tree's budget of additional
	// attempts that this call may use for its nested calls. Depth is the number of
	// calls above this one in the tree.
	TreeID       string `cbor:"14,keyasint,omitempty"`
	AttemptsLeft uint8  `cbor:"15,keyasint,omitempty"`
	Depth        uint8  `cbor:"16,keyasint,omitempty"`
	// Key (the idempotency key), RequestDigest, Epoch, Grant and
	// ExecutorIncarnation bind a non-idempotent call to one grant of its key home.
	Key                 string `cbor:"17,keyasint,omitempty"`
	RequestDigest       string `cbor:"18,keyasint,omitempty"`
	Epoch               uint64 `cbor:"19,keyasint,omitempty"`
	Grant               uint64 `cbor:"20,keyasint,omitempty"`
	ExecutorIncarnation uint64 `cbor:"21,keyasint,omitempty"`
	// ConfigVersion is the version of the entry's configuration.
	ConfigVersion uint64 `cbor:"22,keyasint,omitempty"`
}

// CallResponse is the head of the response to a Call. The body follows up to the
// end of the stream; a stream reset means that the response is incomplete.
type CallResponse struct {
	RequestID string        `cbor:"1,keyasint"`
	Outcome   board.Outcome `cbor:"2,keyasint"`
	// Reason says why the call was not executed or its outcome is unknown.
	Reason string        `cbor:"3,keyasint,omitempty"`
	Status uint16        `cbor:"4,keyasint,omitempty"`
	Header []HeaderField `cbor:"5,keyasint,omitempty"`
	// ContentLength is the size of the body in bytes, -1 when it is not known.
	ContentLength int64            `cbor:"6,keyasint,omitempty"`
	LoadReport    board.LoadReport `cbor:"7,keyasint"`
	// AttemptsUsed is the number of additional attempts that nested calls made. It
	// is negative when the call returns attempts that a sibling call reported as
	// used.
	AttemptsUsed  int16  `cbor:"8,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"9,keyasint,omitempty"`
	// Epoch is the number of the executor's epoch of the service. It tells an entry
	// with an older epoch that there is a newer one.
	Epoch uint64 `cbor:"10,keyasint,omitempty"`
}
