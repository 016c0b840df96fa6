package board

import "time"

// ServerIncarnation identifies one process of the backend server of an instance.
type ServerIncarnation struct {
	Instance InstanceID `cbor:"1,keyasint" json:"instance"`
	// Incarnation is the number that the backend server announced for itself.
	Incarnation uint64 `cbor:"2,keyasint" json:"server_incarnation"`
}

// QuarantineEntry is a request that is suspected of crashing backend servers.
type QuarantineEntry struct {
	// Digest is a hash of service, method, path, query and body.
	Digest string `json:"digest"`
	// Summary has the service, method and path for operators.
	Summary string `json:"summary"`
	// Deaths lists the crashes of the request: the server incarnations that
	// ended while the request ran on them, except the cleared ones.
	Deaths []ServerIncarnation `json:"deaths"`
	// Quarantined is set when the request has enough crashes to be refused.
	Quarantined bool      `json:"quarantined"`
	ExpiresAt   time.Time `json:"until"`
}

// Quarantine holds the suspected and the quarantined requests. The quarantine
// controller writes it; entry and executor read it for each call.
type Quarantine struct {
	// Entries holds the requests by digest.
	Entries map[string]QuarantineEntry
	// Advertised holds the suspicions that this node gossips on the platform.
	// BucketDigests are hashes of them by bucket, which nodes compare to find
	// differences.
	Advertised    []Suspicion
	BucketDigests []uint32
}

// Suspicion describes a suspected request in the gossip between nodes on the
// platform.
type Suspicion struct {
	Digest  string `cbor:"1,keyasint"`
	Summary string `cbor:"2,keyasint"`
	// Deaths lists all crashes: the server incarnations that ended while the
	// request ran on them. Cleared lists those that no longer count, because the
	// request completed elsewhere or an operator lifted its quarantine.
	Deaths  []ServerIncarnation `cbor:"3,keyasint"`
	Cleared []ServerIncarnation `cbor:"4,keyasint,omitempty"`
	// ExpiresAt is the end of the suspicion by the clock of this node. TTLMillis,
	// the time until then, is sent instead, because clocks differ.
	ExpiresAt time.Time `cbor:"-"`
	TTLMillis int64     `cbor:"5,keyasint"`
}

// Empty reports whether no request is suspected, in which case the caller needs
// no digest.
func (q *Quarantine) Empty() bool { return len(q.Entries) == 0 }

// IsSuspected reports whether a request was running when a backend server ended.
func (q *Quarantine) IsSuspected(digest string) bool {
	_, found := q.Entries[digest]
	return found
}

// IsQuarantined reports whether a request must be refused at now.
func (q *Quarantine) IsQuarantined(digest string, now time.Time) bool {
	entry, found := q.Entries[digest]
	return found && entry.Quarantined && now.Before(entry.ExpiresAt)
}

// ExecutionResultKind is the kind of an execution result.
type ExecutionResultKind uint8

// Execution result kinds.
const (
	// ExecutionConnectionLost means that the connection broke while the request
	// ran.
	ExecutionConnectionLost ExecutionResultKind = iota
	// ExecutionCompleted means that a suspected request got a complete response.
	ExecutionCompleted
)

// ExecutionResult reports to the quarantine controller how the execution of a
// request on the local backend server ended.
type ExecutionResult struct {
	Kind    ExecutionResultKind
	Digest  string
	Summary string
	// ServerIncarnation is the incarnation of the backend server that ran it.
	ServerIncarnation uint64
}

// QuarantineLift is an operator's request to lift the quarantine of a request.
type QuarantineLift struct {
	Digest string
}
