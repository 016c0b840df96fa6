package board

import "time"

// EpochMember is one life of an instance in an epoch.
type EpochMember struct {
	Instance    InstanceID `cbor:"1,keyasint" json:"instance"`
	Incarnation uint64     `cbor:"2,keyasint" json:"incarnation"`
	PeerAddr    string     `cbor:"3,keyasint" json:"peer_addr"`
}

// Epoch assigns the keys of a service to homes. It is immutable and is stored
// under /epochs/SERVICE.
type Epoch struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Number  uint64 `cbor:"2,keyasint" json:"number"`
	// Members are in the order of their instance IDs.
	Members []EpochMember `cbor:"3,keyasint" json:"members"`
	Start   time.Time     `cbor:"4,keyasint" json:"start"`
	// Loss is the start of the latest epoch that removed a member, zero when
	// none has. Executor records of older keys may have gone with the member.
	Loss time.Time `cbor:"5,keyasint" json:"loss"`
	// FormerNumber, FormerMembers and FormerLoss describe the epoch before, so
	// that a node that joins knows whom to ask for records.
	FormerNumber  uint64        `cbor:"6,keyasint" json:"former_number"`
	FormerMembers []EpochMember `cbor:"7,keyasint" json:"former_members"`
	FormerLoss    time.Time     `cbor:"8,keyasint" json:"former_loss"`
	// Proposal identifies the write, so that a lost answer can be settled.
	Proposal string `cbor:"9,keyasint" json:"proposal"`
}

// Member returns the member with the instance ID.
func (e *Epoch) Member(id InstanceID) (EpochMember, bool) {
	for _, m := range e.Members {
		if m.Instance == id {
			return m, true
		}
	}
	return EpochMember{}, false
}

// Has reports whether this life of the instance is a member.
func (e *Epoch) Has(id InstanceID, incarnation uint64) bool {
	m, ok := e.Member(id)
	return ok && m.Incarnation == incarnation
}

// EpochSource is the state of the transfer from one former home.
type EpochSource struct {
	// Pending is true until the transfer is complete or given up.
	Pending bool
	// Horizon is the key time up to which a key without a record may have run.
	Horizon time.Time
}

// EpochView is what this node knows about the epoch of one service. It is
// immutable.
type EpochView struct {
	Epoch *Epoch
	// Sources maps former homes to the state of their transfer to this node.
	Sources map[InstanceID]EpochSource
	// FormerHorizon is the horizon of the keys that had their home at this node
	// in the former epoch.
	FormerHorizon time.Time
	// ConfirmedAt is the last time at which a majority of the members or the
	// store did not know a higher epoch.
	ConfirmedAt time.Time
	// Superseded is closed when another view of the service is published.
	Superseded chan struct{}
}

// Horizon returns the highest horizon of this node as a home, and whether a
// transfer to it is still pending.
func (v *EpochView) Horizon() (time.Time, bool) {
	horizon, pending := time.Time{}, false
	for _, s := range v.Sources {
		if s.Horizon.After(horizon) {
			horizon = s.Horizon
		}
		pending = pending || s.Pending
	}
	return horizon, pending
}

// Epochs holds the view of each service.
type Epochs struct {
	ByService map[string]*EpochView
}

// Get returns the view of a service, or nil.
func (e *Epochs) Get(service string) *EpochView { return e.ByService[service] }
