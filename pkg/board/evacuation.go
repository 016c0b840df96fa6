package board

import (
	"cmp"
	"slices"
)

// Evacuation is the set of evacuated failure domains, whose backend servers get no
// more calls, as of a revision of the platform's store. Nodes pass it on to each other.
type Evacuation struct {
	// Era and Revision are those of the store at the read that led to the state.
	// Revisions are comparable only within an era.
	Era      uint64 `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	// Settled is set if a key that was missing at the read counts as removed. If it is
	// not set, Domains also contains domains whose key was missing.
	Settled bool `cbor:"3,keyasint,omitempty"`
	// Domains is sorted and has no duplicates.
	Domains []string `cbor:"4,keyasint,omitempty"`
	// ReadFromStore is set if this node read the state from the store.
	ReadFromStore bool `cbor:"-"`
}

// Includes reports whether a failure domain is evacuated.
func (e *Evacuation) Includes(domain string) bool { return slices.Contains(e.Domains, domain) }

// Compare orders states by era and revision. Of two states as of one revision, a settled
// one is later.
func (e *Evacuation) Compare(other *Evacuation) int {
	settled := func(e *Evacuation) int {
		if e.Settled {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(e.Era, other.Era), cmp.Compare(e.Revision, other.Revision), cmp.Compare(settled(e), settled(other)))
}

// known reports whether the state says more than that nothing was ever evacuated in a
// store that never came back from an older copy.
func (e *Evacuation) known() bool { return e.Era > 0 || e.Revision > 0 }

// EvacuationEvent is a state that control/evacuation merges into the section.
type EvacuationEvent struct {
	State *Evacuation
	// From is the peer address of the node that sent the state, "" if this node read it
	// from the store.
	From string
	// Handled is closed when the state was merged, unless it is nil.
	Handled chan struct{}
}

// EvacuationAdvertisement returns the state that a node sends in exchanges, or nil
// while it has none.
func (b *MeshBoard) EvacuationAdvertisement() *Evacuation {
	if state := b.Evacuation.Load(); state.known() {
		return state
	}
	return nil
}

// EvacuationHopAdvertisement returns the state that a node sends with calls, or nil
// while no failure domain is evacuated. The end of an evacuation spreads in exchanges.
func (b *MeshBoard) EvacuationHopAdvertisement() *Evacuation {
	if state := b.Evacuation.Load(); len(state.Domains) > 0 {
		return state
	}
	return nil
}

// ReceiveEvacuation passes the state of another node to control/evacuation unless the
// section already contains it. A nil state is ignored.
func (b *MeshBoard) ReceiveEvacuation(state *Evacuation, from string) {
	if state == nil {
		return
	}
	current := b.Evacuation.Load()
	order := state.Compare(current)
	if order == 0 && slices.Equal(state.Domains, current.Domains) || order < 0 && current.Settled {
		return
	}
	b.Evacuations.Post(EvacuationEvent{State: state, From: from})
}
