package board

import "time"

// EpochMember is one incarnation of an instance in an epoch.
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
	// LastMemberLoss is the start of the latest epoch that removed a member, zero when
	// none has. Executor records of older keys may have gone with the member.
	LastMemberLoss time.Time `cbor:"5,keyasint" json:"loss"`
	// FormerNumber is the number of the epoch before, 0 for the first one.
	FormerNumber uint64 `cbor:"6,keyasint" json:"former_number"`
	// FormerEpochs lists the epoch before, and after it the earlier epochs whose
	// members may still run calls, so that a node that joins knows whom to ask.
	FormerEpochs []FormerEpoch `cbor:"7,keyasint" json:"former"`
	// Proposal identifies the write, so that a lost answer can be settled.
	Proposal string `cbor:"8,keyasint" json:"proposal"`
}

// FormerEpoch is what later epochs need of an epoch.
type FormerEpoch struct {
	Members        []EpochMember `cbor:"1,keyasint" json:"members"`
	LastMemberLoss time.Time     `cbor:"2,keyasint" json:"loss"`
	// End is the start of the epoch that followed.
	End time.Time `cbor:"3,keyasint" json:"end"`
}

// Has reports whether this incarnation of the instance was a member.
func (f *FormerEpoch) Has(id InstanceID, incarnation uint64) bool {
	for _, m := range f.Members {
		if m.Instance == id && m.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// TransfersFrom reports whether homes of this epoch ask this incarnation for records.
func (e *Epoch) TransfersFrom(id InstanceID, incarnation uint64) bool {
	for i := range e.FormerEpochs {
		if e.FormerEpochs[i].Has(id, incarnation) {
			return true
		}
	}
	return false
}

// WasFormerMember reports whether this incarnation was a member of the epoch before.
func (e *Epoch) WasFormerMember(id InstanceID, incarnation uint64) bool {
	return len(e.FormerEpochs) > 0 && e.FormerEpochs[0].Has(id, incarnation)
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

// HasMember reports whether this incarnation of the instance is a member.
func (e *Epoch) HasMember(id InstanceID, incarnation uint64) bool {
	m, ok := e.Member(id)
	return ok && m.Incarnation == incarnation
}

// TransferState is the state of the transfer from one former home.
type TransferState struct {
	// Pending is true until the transfer is complete or given up.
	Pending bool
	// Horizon is the key time up to which a key without a record may have run.
	Horizon time.Time
}

// EpochView is what this node knows about the epoch of one service. It is
// immutable.
type EpochView struct {
	Epoch *Epoch
	// Transfers has, for each of Epoch.Former, a map of its members as former
	// homes to the state of their transfer to this node. It is empty when this
	// node is no member.
	Transfers []map[InstanceID]TransferState
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
	var all TransferState
	for _, sources := range v.Transfers {
		for _, s := range sources {
			all = all.Merge(s)
		}
	}
	return all.Horizon, all.Pending
}

// Merge returns the state that covers both s and other.
func (s TransferState) Merge(other TransferState) TransferState {
	if other.Horizon.After(s.Horizon) {
		s.Horizon = other.Horizon
	}
	s.Pending = s.Pending || other.Pending
	return s
}

// TransferComplete reports whether no transfer from members of Epoch.Former[i] is
// pending. A node that is no member cannot tell and returns false.
func (v *EpochView) TransferComplete(i int) bool {
	if i >= len(v.Transfers) {
		return false
	}
	for _, s := range v.Transfers[i] {
		if s.Pending {
			return false
		}
	}
	return true
}

// Epochs holds the view of each service.
type Epochs struct {
	ByService map[string]*EpochView
}

// Get returns the view of a service, or nil.
func (e *Epochs) Get(service string) *EpochView { return e.ByService[service] }
