package board

import "time"

// EpochMember is one incarnation of an instance that belongs to an epoch.
type EpochMember struct {
	Instance    InstanceID `cbor:"1,keyasint" json:"instance"`
	Incarnation uint64     `cbor:"2,keyasint" json:"incarnation"`
	PeerAddr    string     `cbor:"3,keyasint" json:"peer_addr"`
}

// Epoch is the set of members to which the idempotency keys of a service are
// assigned; each key has one of them as its home. It is immutable. The store
// holds it under epochs/SERVICE.
type Epoch struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Number  uint64 `cbor:"2,keyasint" json:"number"`
	// Members are ordered by instance ID.
	Members []EpochMember `cbor:"3,keyasint" json:"members"`
	Start   time.Time     `cbor:"4,keyasint" json:"start"`
	// LastMemberLoss is the start of the latest epoch that removed a member or
	// followed an epoch with a single member, zero when there was none. Executor
	// records of older keys may have been lost with that member.
	LastMemberLoss time.Time `cbor:"5,keyasint" json:"loss"`
	// FormerNumber is the number of the preceding epoch, 0 for the first one.
	FormerNumber uint64 `cbor:"6,keyasint" json:"former_number"`
	// FormerEpochs lists the preceding epoch first, then the earlier epochs whose
	// members may still run calls. They tell a joining node from which members to
	// fetch key records.
	FormerEpochs []FormerEpoch `cbor:"7,keyasint" json:"former"`
	// Proposal identifies the write to the store, so that a proposer that lost
	// the response can find out whether the write took effect.
	Proposal string `cbor:"8,keyasint" json:"proposal"`
}

// FormerEpoch holds the part of an epoch that later epochs need.
type FormerEpoch struct {
	Members        []EpochMember `cbor:"1,keyasint" json:"members"`
	LastMemberLoss time.Time     `cbor:"2,keyasint" json:"loss"`
	// End is the start of the following epoch.
	End time.Time `cbor:"3,keyasint" json:"end"`
}

// HasMember reports whether the incarnation of the instance was a member.
func (f *FormerEpoch) HasMember(id InstanceID, incarnation uint64) bool {
	for _, m := range f.Members {
		if m.Instance == id && m.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// TransfersFrom reports whether the homes of this epoch fetch key records from
// the incarnation of the instance.
func (e *Epoch) TransfersFrom(id InstanceID, incarnation uint64) bool {
	for i := range e.FormerEpochs {
		if e.FormerEpochs[i].HasMember(id, incarnation) {
			return true
		}
	}
	return false
}

// WasFormerMember reports whether the incarnation of the instance was a member
// of the preceding epoch.
func (e *Epoch) WasFormerMember(id InstanceID, incarnation uint64) bool {
	return len(e.FormerEpochs) > 0 && e.FormerEpochs[0].HasMember(id, incarnation)
}

// Member returns the member with the instance ID, if any.
func (e *Epoch) Member(id InstanceID) (EpochMember, bool) {
	for _, m := range e.Members {
		if m.Instance == id {
			return m, true
		}
	}
	return EpochMember{}, false
}

// HasMember reports whether the incarnation of the instance is a member.
func (e *Epoch) HasMember(id InstanceID, incarnation uint64) bool {
	m, ok := e.Member(id)
	return ok && m.Incarnation == incarnation
}

// TransferState is the state of the transfer of key records from one former home.
type TransferState struct {
	// Pending is true until the transfer is complete or abandoned.
	Pending bool
	// Horizon is the time up to which records may be missing: a key that was
	// created by then may have been executed although it has no record.
	Horizon time.Time
}

// EpochView is the current epoch of one service as this node knows it. It is
// immutable.
type EpochView struct {
	Epoch *Epoch
	// Transfers holds, for each epoch in Epoch.FormerEpochs, the state of the
	// transfer to this node from each member of that epoch. It is empty when
	// this node is not a member of Epoch.
	Transfers []map[InstanceID]TransferState
	// FormerHorizon is the horizon of the keys whose home was this node in the
	// preceding epoch.
	FormerHorizon time.Time
	// ConfirmedAt is the last time at which a majority of the members, or the
	// store, knew of no higher epoch.
	ConfirmedAt time.Time
	// Superseded is closed when a newer view of the service is published.
	Superseded chan struct{}
}

// Horizon returns the latest horizon of all transfers to this node, and whether
// one of them is still pending.
func (v *EpochView) Horizon() (time.Time, bool) {
	var merged TransferState
	for _, members := range v.Transfers {
		for _, transfer := range members {
			merged = merged.Merge(transfer)
		}
	}
	return merged.Horizon, merged.Pending
}

// Merge returns the combined state of two transfers: the later horizon, and
// pending when either of them is.
func (s TransferState) Merge(other TransferState) TransferState {
	if other.Horizon.After(s.Horizon) {
		s.Horizon = other.Horizon
	}
	s.Pending = s.Pending || other.Pending
	return s
}

// TransferComplete reports whether no transfer from the members of
// Epoch.FormerEpochs[i] is pending. It returns false when this node is not a
// member of the epoch, because it has no transfers then.
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

// Epochs holds the epoch view of each service.
type Epochs struct {
	ByService map[string]*EpochView
}

// Get returns the view of a service, or nil.
func (e *Epochs) Get(service string) *EpochView { return e.ByService[service] }
