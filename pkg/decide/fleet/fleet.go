// Package fleet decides which nodes exist, from what they tell each other and
// from the platform's store. All functions are pure.
package fleet

import (
	"cmp"
	"strconv"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/hashing"
)

const (
	// ReregistrationGrace is how long a node may take to be listed again after the store
	// came back. The platform promises about two seconds.
	ReregistrationGrace = 2500 * time.Millisecond
	// UnresponsiveTimeout is the time without an answer after which an unlisted node is
	// taken to be gone: two renewals of a lease.
	UnresponsiveTimeout = 3 * time.Second
)

const (
	// ListInterval spaces the listings of a node that needs one, and of a small
	// fleet.
	ListInterval = 10 * time.Second
	// fleetListInterval is the time between two listings of the whole fleet in calm
	// times. Exchanges spread what any of them finds.
	fleetListInterval = time.Second
)

// ListingState is what decides whether a node reads the records in the store again.
type ListingState struct {
	// Age is that of the newest listing.
	Age time.Duration
	// FleetSize is the number of nodes.
	FleetSize int
	// StoreInterrupted is true when the store was lost since the newest listing that was
	// up to date, NodeUnresponsive when a node has not answered for a lease's life.
	StoreInterrupted, NodeUnresponsive bool
}

// ListingDue reports whether it is time to read the records again. What a
// listing costs grows with the fleet, so that nodes share the work.
func ListingDue(l ListingState) bool {
	if l.StoreInterrupted || l.NodeUnresponsive {
		return l.Age >= ListInterval
	}
	return l.Age >= max(ListInterval, time.Duration(l.FleetSize)*fleetListInterval)
}

const (
	// RetryInterval spaces the calls of one node to a store that does not answer.
	// Refused calls are paid for as well.
	RetryInterval = 600 * time.Millisecond
	// fleetRetryInterval is the time between two such reads of the whole fleet: 20 a
	// second are a hundredth of the reads that the store takes. mostRetry bounds
	// the time between two of one node, which no other node may reach.
	fleetRetryInterval = 50 * time.Millisecond
	maxRetryInterval   = 5 * time.Second
)

// ReadRetryDelay returns how long a node waits before it reads the configuration
// again from a store that did not answer. Nodes that follow the store ask
// often; the others learn from them, or from whichever node the store answers
// first.
func ReadRetryDelay(follows bool, size int) time.Duration {
	if follows {
		return RetryInterval
	}
	return max(RetryInterval, min(maxRetryInterval, time.Duration(size)*fleetRetryInterval))
}

// Evidence is what is known about one node at a moment.
type Evidence struct {
	// Listed is true when the newest listing of the store has the node.
	Listed bool
	// ListingFresh is true when that listing was asked for while the store had
	// been reachable for ReturnTime, and after the node was first seen.
	ListingFresh bool
	// Responsive is true when the node answered within SilenceLimit.
	Responsive bool
	// LastExchangeFailed is true when the newest exchange with the node failed.
	LastExchangeFailed bool
	// Leaving is true when the node said that it leaves.
	Leaving bool
	// Replaced is true when another node has its address.
	Replaced bool
	// KnownFor is how long the node is known.
	KnownFor time.Duration
}

// Alive reports whether a node is taken to exist. Contact goes before the
// store: a node that answers exists whatever the store says. Without contact
// the store decides, and while the store cannot tell, a known node is kept.
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
	// recordsPerBucket is the number of records that share a digest.
	recordsPerBucket = 4
	// maxBuckets bounds the digests of a message.
	maxBuckets = 64
)

// BucketCount returns the number of digests for a number of records, a power of
// two.
func BucketCount(records int) int {
	n := 1
	for n < maxBuckets && n*recordsPerBucket < records {
		n *= 2
	}
	return n
}

// BucketDigests returns a number for each bucket that is equal for equal records.
// The order of the records does not matter.
func BucketDigests(records []board.NodeRecord) []uint32 {
	digests := make([]uint32, BucketCount(len(records)))
	for _, r := range records {
		text := string(r.Instance) + " " + strconv.FormatUint(r.Incarnation, 10) + " " + strconv.FormatUint(r.Sequence, 10)
		hashing.AddEntry(digests, string(r.Instance), text)
	}
	return digests
}

// MayDiffer reports whether the record of a node may differ between two nodes
// with the digests. Other numbers of digests mean other numbers of records.
func MayDiffer(id board.InstanceID, own, other []uint32) bool {
	return hashing.MayDiffer(string(id), own, other)
}

// FilterInstances returns the nodes of a view whose records are to be kept.
func FilterInstances(view *board.Fleet, keep func(board.NodeRecord) bool) []board.InstanceID {
	ids := make([]board.InstanceID, 0, len(view.ByInstance))
	for id, cell := range view.ByInstance {
		if keep(cell.Record) {
			ids = append(ids, id)
		}
	}
	return ids
}

// HashRank returns the place of a node in an order of all nodes that is the
// same wherever the same nodes are known.
func HashRank(ids []board.InstanceID, self board.InstanceID) int {
	own := hashing.String(string(self))
	rank := 0
	for _, id := range ids {
		if id != self && cmp.Or(cmp.Compare(hashing.String(string(id)), own), cmp.Compare(id, self)) < 0 {
			rank++
		}
	}
	return rank
}
