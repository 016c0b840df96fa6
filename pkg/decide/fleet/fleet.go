// Package fleet decides which nodes exist, based on gossip between nodes and on
// the records in the platform's store, how often nodes read the store, and how
// a node stops. All functions are pure.
package fleet

import (
	"cmp"
	"strconv"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/hashing"
)

const (
	// ReregistrationGrace is how long a node may take to be listed again after
	// the store has recovered. The platform promises about two seconds.
	ReregistrationGrace = 2500 * time.Millisecond
	// UnresponsiveTimeout is the time without an answer after which a node that
	// the store does not list counts as gone. It is close to the renewal
	// interval of a lease.
	UnresponsiveTimeout = 3 * time.Second
)

const (
	// reregistrationSpread is the time over which the nodes of a large fleet begin to
	// register again after the store came back from an older copy. All records have to
	// be there 2 s after its return; the rest is for learning of the return and for the
	// two writes.
	reregistrationSpread = 1400 * time.Millisecond
	// reregistrationInterval is the time between two nodes of a smaller fleet: a lease
	// and a record for each are 250 writes a second, of the 300 that the store accepts.
	reregistrationInterval = 8 * time.Millisecond
)

// ReregistrationDelay returns how long a node waits before it registers again after the
// store came back from an older copy, given its rank among a number of nodes.
func ReregistrationDelay(rank, nodes int) time.Duration {
	spread := min(reregistrationSpread, time.Duration(nodes)*reregistrationInterval)
	return spread * time.Duration(rank) / time.Duration(max(1, nodes))
}

const (
	// ListInterval is the time between two listings by one node of a small
	// fleet, and by any node with a reason to list.
	ListInterval = 10 * time.Second
	// fleetListInterval is the time between two listings over the whole fleet
	// in steady state. Gossip spreads what any node finds.
	fleetListInterval = time.Second
)

// ListingState is the input of ListingDue.
type ListingState struct {
	// Age is the age of the newest listing.
	Age time.Duration
	// FleetSize is the number of nodes.
	FleetSize int
	// StoreInterrupted is true when the store was unreachable at some time since
	// the newest listing that was up to date. NodeUnresponsive is true when a node has
	// not answered for the duration of a lease.
	StoreInterrupted, NodeUnresponsive bool
}

// ListingDue reports whether a node has to list the records in the store again.
// The cost of a listing grows with the fleet, so the nodes share the work.
func ListingDue(l ListingState) bool {
	if l.StoreInterrupted || l.NodeUnresponsive {
		return l.Age >= ListInterval
	}
	return l.Age >= max(ListInterval, time.Duration(l.FleetSize)*fleetListInterval)
}

const (
	// RetryInterval is the time between two calls of one node to a store that
	// does not answer. The store also charges for calls that it rejects.
	RetryInterval = 600 * time.Millisecond
	// fleetRetryInterval is the time between two such reads over the whole
	// fleet: 20 reads a second are one percent of what the store accepts.
	// maxRetryInterval limits the delay of a single node, which may be out of
	// reach of all other nodes.
	fleetRetryInterval = 50 * time.Millisecond
	maxRetryInterval   = 5 * time.Second
)

// ReadRetryDelay returns how long a node waits before it tries again to read
// the configuration from a store that did not answer. The nodes that follow the
// store retry often. The others learn from them, or from whichever node the
// store answers first.
func ReadRetryDelay(storeFollower bool, fleetSize int) time.Duration {
	if storeFollower {
		return RetryInterval
	}
	return max(RetryInterval, min(maxRetryInterval, time.Duration(fleetSize)*fleetRetryInterval))
}

const (
	// listingWait is how long a starting node waits for its first listing of the
	// other nodes before it reads the configuration from the store.
	listingWait = 100 * time.Millisecond
	// hintWait is how long a starting node waits for another one to tell it of the
	// configuration, which takes an exchange and a pull.
	hintWait = 300 * time.Millisecond
	// bootstrapWait is how long the nodes of a deployment that starts for the first
	// time wait for each other. No caller is there yet.
	bootstrapWait = 3 * time.Second
)

// Start is what a starting node without a configuration knows.
type Start struct {
	// Listed is true when the node has listed the other nodes.
	Listed bool
	// StoreFollower is true when the node is one of those that follow the store.
	StoreFollower bool
	// FleetSize is the number of nodes that it knows, itself included.
	FleetSize int
	// Bootstrap is true when the whole deployment starts for the first time.
	Bootstrap bool
}

// FirstReadDelay returns how long after its start a node without a configuration
// waits before it reads the store. Each such read is billed, and the nodes that
// follow the store tell the others.
func FirstReadDelay(s Start) time.Duration {
	switch {
	case s.Bootstrap && (s.FleetSize <= 1 || !s.StoreFollower):
		return bootstrapWait
	case !s.Listed:
		return listingWait
	case s.FleetSize > 1 && !s.StoreFollower:
		return hintWait
	}
	return 0
}

// Evidence is what a node knows about another node at one moment.
type Evidence struct {
	// Listed is true when the newest listing of the store contains the node.
	Listed bool
	// ListingFresh is true when that listing was requested after the store had
	// been reachable for ReregistrationGrace, and after the node was first
	// seen.
	ListingFresh bool
	// Responsive is true when the node answered within UnresponsiveTimeout.
	Responsive bool
	// LastExchangeFailed is true when the newest exchange with the node failed.
	LastExchangeFailed bool
	// Leaving is true when the node announced that it leaves.
	Leaving bool
	// Replaced is true when another node has taken its address.
	Replaced bool
	// KnownFor is the time since the node was first seen.
	KnownFor time.Duration
}

// Alive reports whether a node is considered to exist. Direct contact takes
// precedence over the store: a node that answers exists even if the store does
// not list it. Without contact the store decides. While there is no fresh listing, a
// known node is kept.
func Alive(e Evidence) bool {
	switch {
	case e.Leaving, e.Replaced:
		return false
	case e.Responsive:
		return true
	case e.Listed:
		return true
	case !e.ListingFresh:
		return true
	}
	return !e.LastExchangeFailed || e.KnownFor < UnresponsiveTimeout
}

const (
	// recordsPerBucket is the target number of records per bucket.
	recordsPerBucket = 4
	// maxBuckets limits the bucket digests in a message.
	maxBuckets = 64
)

// BucketCount returns the number of buckets for a number of records, a power of
// two.
func BucketCount(records int) int {
	n := 1
	for n < maxBuckets && n*recordsPerBucket < records {
		n *= 2
	}
	return n
}

// BucketDigests returns one digest per bucket of records. Equal sets of records
// have equal digests, whatever their order.
func BucketDigests(records []board.NodeRecord) []uint32 {
	digests := make([]uint32, BucketCount(len(records)))
	for _, r := range records {
		// The state differs between equally new records, see RetainWithdrawal.
		content := string(r.Instance) + " " + strconv.FormatUint(r.Incarnation, 10) + " " + strconv.FormatUint(r.Sequence, 10) + " " + strconv.Itoa(int(r.State))
		hashing.AddEntry(digests, string(r.Instance), content)
	}
	return digests
}

// MayDiffer reports whether the record of a node may differ between two nodes
// with the given bucket digests. Different numbers of digests mean different
// numbers of records.
func MayDiffer(id board.InstanceID, own, other []uint32) bool {
	return hashing.MayDiffer(string(id), own, other)
}

// RetainWithdrawal returns the next record of a node. It keeps what the previous one
// says of a backend server that drains or has left, if the next one names the same
// server in an earlier state, or none: the node may have restarted and not have found
// its previous record yet.
func RetainWithdrawal(previous, next board.NodeRecord) board.NodeRecord {
	if previous.State < board.ServerDraining || next.State >= previous.State {
		return next
	}
	sameServer := board.SameServerIncarnation(next.ServerID, next.ServerStartMillis, previous.ServerID, previous.ServerStartMillis)
	if next.ServerID == "" || sameServer {
		next.ServerID, next.ServerStartMillis, next.State = previous.ServerID, previous.ServerStartMillis, previous.State
	}
	return next
}

// FilterInstances returns the nodes of a view for whose records keep is true.
func FilterInstances(view *board.Fleet, keep func(board.NodeRecord) bool) []board.InstanceID {
	ids := make([]board.InstanceID, 0, len(view.ByInstance))
	for id, endpoint := range view.ByInstance {
		if keep(endpoint.Record) {
			ids = append(ids, id)
		}
	}
	return ids
}

// HashRank returns the rank of a node when all nodes are sorted by the hash of
// their IDs. Nodes that know the same set of nodes agree on it.
func HashRank(ids []board.InstanceID, self board.InstanceID) int {
	ownHash := hashing.String(string(self))
	rank := 0
	for _, id := range ids {
		if id != self && cmp.Or(cmp.Compare(hashing.String(string(id)), ownHash), cmp.Compare(id, self)) < 0 {
			rank++
		}
	}
	return rank
}
