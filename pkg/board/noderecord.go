package board

// NodeRecord describes a node and its backend server to other nodes.
type NodeRecord struct {
	Instance InstanceID `cbor:"1,keyasint" json:"instance"`
	// Incarnation increases with each start of the node, Sequence with each
	// change of the record within one incarnation.
	Incarnation       uint64      `cbor:"2,keyasint" json:"incarnation"`
	Sequence          uint64      `cbor:"3,keyasint" json:"sequence"`
	PeerAddr          string      `cbor:"4,keyasint" json:"peer_addr"`
	Region            string      `cbor:"5,keyasint" json:"region"`
	FailureDomain     string      `cbor:"6,keyasint" json:"failure_domain"`
	Service           string      `cbor:"7,keyasint" json:"service"`
	ServerID          string      `cbor:"8,keyasint" json:"server_id"`
	ServerStartMillis int64       `cbor:"9,keyasint" json:"born"`
	Slots             int         `cbor:"10,keyasint" json:"slots"`
	State             ServerState `cbor:"11,keyasint" json:"state"`
	// Leaving is set when the node stops.
	Leaving bool `cbor:"12,keyasint" json:"leaving"`
	// Contention is the observed contention of the backend server.
	Contention Contention `cbor:"13,keyasint,omitempty" json:"crowding"`
	// LinkRate is the usable rate of the machine's network link in bytes per
	// second, 0 when unknown.
	LinkRate float64 `cbor:"14,keyasint,omitempty" json:"link_rate"`
	// Ended is set in the store when the process has ended after a planned stop. The
	// record is kept for the next process of the node, and no listing contains it.
	Ended bool `cbor:"15,keyasint,omitempty" json:"ended,omitempty"`
}

// Contention says whether a backend server slows down when nearly all of its
// slots are in use.
type Contention uint8

// Contention values.
const (
	ContentionUnknown Contention = iota
	ContentionNone
	ContentionSlowdown
)

// Supersedes reports whether r is newer than other. Of two equally new records, one
// that tells of a leaving backend server supersedes one that does not, see
// fleet.RetainWithdrawal.
func (r NodeRecord) Supersedes(other NodeRecord) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Sequence != other.Sequence {
		return r.Sequence > other.Sequence
	}
	return r.State >= ServerDraining && r.State > other.State
}

// AcceptsCalls reports whether the backend server of the node accepts new calls.
func (r NodeRecord) AcceptsCalls() bool {
	return r.State == ServerReady && !r.Leaving && r.ServerID != ""
}

// NodeRecordBatch is a set of node records from one source.
type NodeRecordBatch struct {
	Records []NodeRecord
	// From is the node that sent the records, "" for the store.
	From InstanceID
}
