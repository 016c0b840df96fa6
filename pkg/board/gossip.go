package board

import (
	"maps"
	"time"
)

// GossipMessage is a message from another node to the membership controller.
type GossipMessage struct {
	// From is the sender, "" when unknown.
	From    InstanceID
	Members []Member
	Rumors  []Rumor
	// Versions are the version numbers of the sender, nil when it sent none.
	Versions map[string]uint64
}

// Neighbour is a successor of this node on the membership ring.
type Neighbour struct {
	Instance InstanceID `json:"instance"`
	// Addr is the peer address, host:port.
	Addr string `json:"addr"`
}

// Neighbours holds the nodes that this node gossips with and its contact lease.
// The membership controller writes it. The configsync controller pulls documents
// from the neighbours, and watches the store while the node holds a contact
// lease.
type Neighbours struct {
	// Ring lists the ring successors at distances 1, 2, 4 and so on.
	Ring         []Neighbour  `json:"ring"`
	ContactLease ContactLease `json:"contact"`
	// LeftSent is set when this node has sent the state MemberLeft to its
	// neighbours.
	LeftSent bool `json:"left_sent"`
}

// ContactLease is the lease on one of the contact keys in the store. Its holder
// is a seed node: nodes without neighbours join through it.
type ContactLease struct {
	// Key is the contact key, "" when this node holds none.
	Key string `json:"key,omitempty"`
	// Token is the fencing token of the lease on the key.
	Token uint64 `json:"token,omitempty"`
	// ExpiresAt is the latest end of the lease by the clock of this node.
	ExpiresAt time.Time `json:"until,omitzero"`
}

// HoldsContactLease reports whether the node holds a contact lease at now. It
// checks the expiry, so it returns false for a holder that was paused beyond the
// end of its lease.
func (n *Neighbours) HoldsContactLease(now time.Time) bool {
	return n.ContactLease.Key != "" && now.Before(n.ContactLease.ExpiresAt)
}

// MemberDigestBucketCount is the number of buckets of a member digest. With 600
// members a bucket has about 10 records, so that the exchange of one changed
// record takes about 1 KB.
const MemberDigestBucketCount = 64

// MemberDigest holds hashes of the live records of the Members section and of the
// retained rumors. Two nodes compare them to find their differences without
// sending all records (anti-entropy).
type MemberDigest struct {
	// BucketHashes has a hash of the records in each bucket.
	BucketHashes [MemberDigestBucketCount]uint64
	// RootHash is the hash of BucketHashes.
	RootHash uint64
	// RumorsHash is the hash of the IDs of RetainedRumors.
	RumorsHash     uint64
	RetainedRumors map[string]Rumor
}

// ConfigVersionName is the name of the configuration version in Versions.
const ConfigVersionName = "config"

// EpochVersionPrefix followed by a service is the name of its epoch number in
// Versions.
const EpochVersionPrefix = "epoch/"

// Versions holds the version numbers that this node gossips, by name. The
// membership controller writes it from the Config section and
// Board.OutgoingVersions.
type Versions struct {
	Numbers map[string]uint64
	// Hash is the hash of Numbers.
	Hash uint64
}

// WithAtLeast returns a copy with the version name raised to number, or the
// receiver when the version is already that high.
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

// NamedVersion is the number of one version.
type NamedVersion struct {
	Name   string
	Number uint64
}

// PeerVersion reports a peer with a higher version than this node.
type PeerVersion struct {
	Name   string
	Number uint64
	Peer   Neighbour
}
