package board

import "time"

// ServerIncarnation is one run of a backend server, from its start to its end.
type ServerIncarnation struct {
	Instance InstanceID `cbor:"1,keyasint" json:"instance"`
	// Incarnation is the incarnation that the backend server announced.
	Incarnation uint64 `cbor:"2,keyasint" json:"server_incarnation"`
}

// QuarantineEntry is what is known about one suspected request.
type QuarantineEntry struct {
	Digest string `json:"digest"`
	// Summary names service, method and path for operators.
	Summary string `json:"summary"`
	// Deaths are the incarnations that ended while the request ran on them, without
	// those that a completion or an operator cleared.
	Deaths []ServerIncarnation `json:"deaths"`
	// Quarantined is set when the deaths suffice to refuse the request.
	Quarantined bool      `json:"quarantined"`
	ExpiresAt   time.Time `json:"until"`
}

// Quarantine holds the suspected and the quarantined requests by digest. The
// quarantine controller writes it; entry and executor read it for each call.
type Quarantine struct {
	Entries map[string]QuarantineEntry
	// Advertised is what other nodes on the platform are told, and Digests tells it
	// apart from what they know.
	Advertised    []Suspicion
	BucketDigests []uint32
}

// Suspicion is what nodes on the platform tell each other about one request.
type Suspicion struct {
	Digest  string `cbor:"1,keyasint"`
	Summary string `cbor:"2,keyasint"`
	// Deaths are all incarnations that ended under the request, Cleared those
	// that do not count any more.
	Deaths  []ServerIncarnation `cbor:"3,keyasint"`
	Cleared []ServerIncarnation `cbor:"4,keyasint,omitempty"`
	// ExpiresAt is when the suspicion ends by the clock of this node. It is not sent:
	// LeftMillis, the time until then, is, since clocks differ.
	ExpiresAt time.Time `cbor:"-"`
	TTLMillis int64     `cbor:"5,keyasint"`
}

// Empty reports whether no request is suspected, so that no digest is needed.
func (q *Quarantine) Empty() bool { return len(q.Entries) == 0 }

// IsSuspected reports whether a request was running when a backend server died.
func (q *Quarantine) IsSuspected(digest string) bool {
	_, found := q.Entries[digest]
	return found
}

// IsQuarantined reports whether a request must not run at now.
func (q *Quarantine) IsQuarantined(digest string, now time.Time) bool {
	entry, found := q.Entries[digest]
	return found && entry.Quarantined && now.Before(entry.ExpiresAt)
}

// ExecutionResultKind is what an execution tells the quarantine controller.
type ExecutionResultKind uint8

// Kinds of executions.
const (
	// ExecutionConnectionLost: the connection broke while the request ran.
	ExecutionConnectionLost ExecutionResultKind = iota
	// ExecutionCompleted: a suspected request got its whole answer.
	ExecutionCompleted
)

// ExecutionResult is the end of a request on the local backend server.
type ExecutionResult struct {
	Kind    ExecutionResultKind
	Digest  string
	Summary string
	// ServerIncarnation is that of the backend server it ran on.
	ServerIncarnation uint64
}

// QuarantineLift is an operator's order to lift the quarantine of a request.
type QuarantineLift struct {
	Digest string
}
