package board

import (
	"maps"
	"time"
)

// GossipMessage is what another node sent to the membership controller.
type GossipMessage struct {
	// From is the instance that sent it, "" when it is not known.
	From    InstanceID
	Members []Member
	Rumors  []Rumor
	// Versions are the version numbers of the sender, nil when it sent none.
	Versions map[string]uint64
}

// Neighbour is a ring neighbour of this node.
type Neighbour struct {
	Instance InstanceID `json:"instance"`
	// Addr is the peer address, host:port.
	Addr string `json:"addr"`
}

// Neighbours is the place of this node among the others. The membership
// controller writes it; configsync pulls documents from the neighbours and
// watches the store while the node holds a contact key.
type Neighbours struct {
	// Ring lists the ring successors at distances 1, 2, 4 and so on.
	Ring         []Neighbour  `json:"ring"`
	ContactLease ContactLease `json:"contact"`
	// LeftSent is set when the state left has been sent to the neighbours.
	LeftSent bool `json:"left_sent"`
}

// ContactLease is the contact key of the store that this node holds, if any.
type ContactLease struct {
	// Key is "" when none is held.
	Key string `json:"key,omitempty"`
	// Token is the fencing token of the lease on the key.
	Token uint64 `json:"token,omitempty"`
	// ExpiresAt is when the lease ends at the latest by this node's clock.
	ExpiresAt time.Time `json:"until,omitzero"`
}

// HoldsContactLease reports whether the node holds a contact key at now. A holder
// that was paused past the end of its lease gets false at once.
func (n *Neighbours) HoldsContactLease(now time.Time) bool {
	return n.ContactLease.Key != "" && now.Before(n.ContactLease.ExpiresAt)
}

// MemberDigestBucketCount is the number of buckets of a digest. At 600 members a bucket
// holds about 10 records, so one changed record costs about 1 KB of exchange.
const MemberDigestBucketCount = 64

// MemberDigest sums up the live records of the Members section and the kept
// rumors, so that two nodes find their differences without sending them all.
type MemberDigest struct {
	BucketHashes [MemberDigestBucketCount]uint64
	// RootHash covers all buckets.
	RootHash uint64
	// RumorsHash covers the IDs of the kept rumors.
	RumorsHash     uint64
	RetainedRumors map[string]Rumor
}

// ConfigVersionName names the configuration version in Versions.
const ConfigVersionName = "config"

// EpochVersionPrefix and the name of a service name its epoch in Versions.
const EpochVersionPrefix = "epoch/"

// Versions holds the version numbers of this node. It is written by the
// membership controller from the Config section and Board.VersionsOut.
type Versions struct {
	Numbers map[string]uint64
	// Hash is equal on two nodes with equal numbers.
	Hash uint64
}

// WithAtLeast returns a copy in which name is at least number, or the receiver when
// nothing changes.
func (v *Versions) WithAtLeast(name string, number uint64, hash func(map[string]uint64) uint64) *Versions {
	if v.Numbers[name] >= number {
		return v
	}
	numbers := maps.Clone(v.Numbers)
	if numbers == nil {
		numbers = map[string]uint64{}
	}
	numbers[name] = number
	return &Versions{Numbers: numbers, Hash: hash(numbers)}
}

// NamedVersion is one version number of this node, posted by the controller that
// keeps it.
type NamedVersion struct {
	Name   string
	Number uint64
}

// PeerVersion says that a peer has a higher version than this node.
type PeerVersion struct {
	Name   string
	Number uint64
	Peer   Neighbour
}
