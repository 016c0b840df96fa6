package membership

import (
	"cmp"
	"slices"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// monitoredSuccessors is the number of successors that a node watches.
	monitoredSuccessors = 2
	// maxPingTargets bounds the pings of a round when successors are suspected.
	maxPingTargets = 8
)

// Ring is the live members in the order of their hashes.
type Ring struct {
	members []board.Member
	hashes  []uint64
}

// ringEntry is a member with its position on the ring.
type ringEntry struct {
	hash   uint64
	member board.Member
}

// NewRing places the live members and self on a ring.
func NewRing(members *board.Members) *Ring {
	places := make([]ringEntry, 0, len(members.ByInstance))
	for id, m := range members.ByInstance {
		if Live(m) || id == members.Self {
			places = append(places, ringEntry{hash: hashID(id), member: m})
		}
	}
	slices.SortFunc(places, func(a, b ringEntry) int {
		if a.hash != b.hash {
			return cmp.Compare(a.hash, b.hash)
		}
		return cmp.Compare(a.member.Instance, b.member.Instance)
	})
	r := &Ring{members: make([]board.Member, len(places)), hashes: make([]uint64, len(places))}
	for i, p := range places {
		r.members[i], r.hashes[i] = p.member, p.hash
	}
	return r
}

// Len returns the number of members on the ring.
func (r *Ring) Len() int { return len(r.members) }

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
// about log2 n of them.
func (r *Ring) Neighbours(self board.InstanceID) []board.Member {
	at := r.indexOf(self)
	if at < 0 {
		return nil
	}
	var neighbours []board.Member
	for distance := 1; distance < len(r.members); distance *= 2 {
		neighbours = append(neighbours, r.members[(at+distance)%len(r.members)])
	}
	return neighbours
}

// PingTargets returns the members that self pings in one round: its successors up
// to the second one that is not suspected. Walking past suspects finds the
// loss of many neighbours at once without a suspicion time for each.
func (r *Ring) PingTargets(self board.InstanceID, suspected func(board.InstanceID) bool) []board.Member {
	at := r.indexOf(self)
	if at < 0 {
		return nil
	}
	var pinged []board.Member
	for distance, sound := 1, 0; distance < len(r.members) && sound < monitoredSuccessors && len(pinged) < maxPingTargets; distance++ {
		m := r.members[(at+distance)%len(r.members)]
		pinged = append(pinged, m)
		if !suspected(m.Instance) {
			sound++
		}
	}
	return pinged
}

// ContactRank returns the place of an instance among the live members of its
// region. The first ones hold the contact keys, so that the number of nodes
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
