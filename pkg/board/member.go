package board

import "slices"

// InstanceID names one instance. It is unique in the fleet and stays the same
// when the process on the instance is replaced.
type InstanceID string

// MemberState is the state of an instance as other nodes see it. At the same
// sequence the higher state wins a merge.
type MemberState uint8

// States of a member, ordered from best to worst.
const (
	// MemberJoining is a node without a ready backend server; it only serves
	// as an entry.
	MemberJoining MemberState = iota
	// MemberServing accepts new calls.
	MemberServing
	// MemberDraining finishes calls in flight and takes no new ones.
	MemberDraining
	// MemberLeft has shut down gracefully.
	MemberLeft
	// MemberDead was declared dead by another node.
	MemberDead
)

var memberStateNames = [...]string{"joining", "serving", "draining", "left", "dead"}

// String returns the name used in logs and status output.
func (s MemberState) String() string {
	if int(s) < len(memberStateNames) {
		return memberStateNames[s]
	}
	return "invalid"
}

// Member is what a node knows about one instance.
type Member struct {
	Instance InstanceID `cbor:"1,keyasint" json:"instance"`
	// Incarnation is the start time of the node process in nanoseconds since
	// the Unix epoch. A higher incarnation always wins a merge.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	// Sequence rises with each change that the instance makes to its record.
	Sequence      uint64      `cbor:"3,keyasint" json:"sequence"`
	Service       string      `cbor:"4,keyasint,omitempty" json:"service"`
	Region        string      `cbor:"5,keyasint,omitempty" json:"region"`
	FailureDomain string      `cbor:"6,keyasint,omitempty" json:"failure_domain"`
	PeerAddr      string      `cbor:"7,keyasint" json:"peer_addr"`
	State         MemberState `cbor:"8,keyasint,omitempty" json:"state"`
	// Slots is the number of calls that the backend server runs at once.
	Slots uint32 `cbor:"9,keyasint,omitempty" json:"slots"`
	// Connections is the most connections that the backend server accepts.
	Connections uint32 `cbor:"10,keyasint,omitempty" json:"connections"`
	// ServerIncarnation is the incarnation that the backend server announced.
	ServerIncarnation uint64 `cbor:"11,keyasint,omitempty" json:"server_incarnation"`
}

// Members is the membership as this node knows it.
type Members struct {
	Self       InstanceID
	ByInstance map[InstanceID]Member
	// ByService lists the members of a service in the order of their IDs,
	// without those that have left or are dead.
	ByService map[string][]Member
}

// NewMembers builds the indexes over a set of records. It keeps the map.
func NewMembers(self InstanceID, byInstance map[InstanceID]Member) *Members {
	m := &Members{Self: self, ByInstance: byInstance, ByService: map[string][]Member{}}
	for _, member := range byInstance {
		if member.Service == "" || member.State >= MemberLeft {
			continue
		}
		m.ByService[member.Service] = append(m.ByService[member.Service], member)
	}
	for _, list := range m.ByService {
		slices.SortFunc(list, func(a, b Member) int {
			if a.Instance < b.Instance {
				return -1
			}
			return 1
		})
	}
	return m
}

// Get returns the record of an instance.
func (m *Members) Get(id InstanceID) (Member, bool) {
	member, ok := m.ByInstance[id]
	return member, ok
}
