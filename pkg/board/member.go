package board

import "slices"

// InstanceID identifies an instance. It is unique in the fleet and remains the
// same when the process on the instance is replaced.
type InstanceID string

// MemberState is the membership state of an instance. When two records have the
// same sequence, the one with the higher state wins a merge.
type MemberState uint8

// Member states, ordered from best to worst.
const (
	// MemberJoining is a node without a ready backend server. It serves only as
	// an entry.
	MemberJoining MemberState = iota
	// MemberServing accepts new calls.
	MemberServing
	// MemberDraining finishes the calls in flight and accepts no new ones.
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

// Member is the membership record of one instance.
type Member struct {
	Instance InstanceID `cbor:"1,keyasint" json:"instance"`
	// Incarnation is the start time of the node process in nanoseconds since
	// the Unix epoch. A higher incarnation always wins a merge.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	// Sequence increases with each change that the instance makes to its record.
	Sequence      uint64      `cbor:"3,keyasint" json:"sequence"`
	Service       string      `cbor:"4,keyasint,omitempty" json:"service"`
	Region        string      `cbor:"5,keyasint,omitempty" json:"region"`
	FailureDomain string      `cbor:"6,keyasint,omitempty" json:"failure_domain"`
	PeerAddr      string      `cbor:"7,keyasint" json:"peer_addr"`
	State         MemberState `cbor:"8,keyasint,omitempty" json:"state"`
	// Slots is the number of calls that the backend server can run at once.
	Slots uint32 `cbor:"9,keyasint,omitempty" json:"slots"`
	// Connections is the maximum number of connections that the backend server
	// accepts.
	Connections uint32 `cbor:"10,keyasint,omitempty" json:"connections"`
	// ServerIncarnation is the incarnation that the backend server announced.
	ServerIncarnation uint64 `cbor:"11,keyasint,omitempty" json:"server_incarnation"`
}

// Members is the membership of the fleet as known to this node.
type Members struct {
	Self       InstanceID
	ByInstance map[InstanceID]Member
	// ByService lists the members of each service, ordered by instance ID,
	// without those that have left or are dead.
	ByService map[string][]Member
}

// NewMembers indexes a set of member records. It retains the map.
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

// Get returns the record of an instance, if any.
func (m *Members) Get(id InstanceID) (Member, bool) {
	member, ok := m.ByInstance[id]
	return member, ok
}
