package membership

import (
	"cmp"
	"slices"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// monitoredSuccessors is the number of unsuspected successors that a node
	// pings.
	monitoredSuccessors = 2
	// maxPingTargets limits the pings of a round in which successors are
	// suspected.
	maxPingTargets = 8
)

// Ring holds the live members, sorted by the hash of their instance IDs.
// hashes[i] is the hash of members[i].
type Ring struct {
	members []board.Member
	hashes  []uint64
}

// ringEntry is a member with the hash of its instance ID.
type ringEntry struct {
	hash   uint64
	member board.Member
}

// NewRing builds the ring of the live members. It includes self in any state.
func NewRing(members *board.Members) *Ring {
	entries := make([]ringEntry, 0, len(members.ByInstance))
	for id, m := range members.ByInstance {
		if Live(m) || id == members.Self {
			entries = append(entries, ringEntry{hash: hashID(id), member: m})
		}
	}
	slices.SortFunc(entries, func(a, b ringEntry) int {
		if a.hash != b.hash {
			return cmp.Compare(a.hash, b.hash)
		}
		return cmp.Compare(a.member.Instance, b.member.Instance)
	})
	r := &Ring{members: make([]board.Member, len(entries)), hashes: make([]uint64, len(entries))}
	for i, e := range entries {
		r.members[i], r.hashes[i] = e.member, e.hash
	}
	return r
}

// Len returns the number of members on the ring.
func (r *Ring) Len() int { return len(r.members) }

// indexOf returns the index of an instance on the ring, -1 when it is missing.
func (r *Ring) indexOf(id board.InstanceID) int {
	start, _ := slices.BinarySearch(r.hashes, hashID(id))
	for i := start; i < len(r.members) && r.hashes[i] == hashID(id); i++ {
		if r.members[i].Instance == id {
			return i
		}
	}
	return -1
}

// Neighbours returns the successors of self at distances 1, 2, 4 and so on,
// about log2 n of n members.
func (r *Ring) Neighbours(self board.InstanceID) []board.Member {
	index := r.indexOf(self)
	if index < 0 {
		return nil
	}
	var neighbours []board.Member
	for distance := 1; distance < len(r.members); distance *= 2 {
		neighbours = append(neighbours, r.members[(index+distance)%len(r.members)])
	}
	return neighbours
}

// PingTargets returns the members that self pings in one round: its successors
// up to and including the second one that is not suspected. Continuing past
// suspected members detects the loss of many adjacent members at once, without
// one suspicion timeout after the other.
func (r *Ring) PingTargets(self board.InstanceID, suspected func(board.InstanceID) bool) []board.Member {
	index := r.indexOf(self)
	if index < 0 {
		return nil
	}
	var targets []board.Member
	for distance, healthy := 1, 0; distance < len(r.members) && healthy < monitoredSuccessors && len(targets) < maxPingTargets; distance++ {
		m := r.members[(index+distance)%len(r.members)]
		targets = append(targets, m)
		if !suspected(m.Instance) {
			healthy++
		}
	}
	return targets
}

// ContactRank returns the rank of an instance on the ring among the members of
// its region that are neither draining, left nor dead. The instances with the
// lowest ranks hold the contact keys in the store, so that the number of nodes
// that call the store does not grow with the fleet.
func (r *Ring) ContactRank(self board.Member) int {
	rank := 0
	for _, m := range r.members {
		if m.Instance == self.Instance {
			return rank
		}
		if m.Region == self.Region && m.State < board.MemberDraining {
			rank++
		}
	}
	return rank
}
