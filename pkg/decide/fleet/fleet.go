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
	// ReturnTime is how long a node may take to be listed again after the store
	// came back. The platform promises about two seconds.
	ReturnTime = 2500 * time.Millisecond
	// SilenceLimit is the time without an answer after which an unlisted node is
	// taken to be gone: two renewals of a lease.
	SilenceLimit = 3 * time.Second
)

const (
	// ListEvery spaces the listings of a node that needs one, and of a small
	// fleet.
	ListEvery = 10 * time.Second
	// listShare is the time between two listings of the whole fleet in calm
	// times. Exchanges spread what any of them finds.
	listShare = time.Second
)

// Listing is what decides whether a node reads the records in the store again.
type Listing struct {
	// Age is that of the newest listing.
	Age time.Duration
	// Size is the number of nodes.
	Size int
	// Unsettled is true when the store was lost since the newest listing that was
	// up to date, Doubtful when a node has not answered for a lease's life.
	Unsettled, Doubtful bool
}

// ListingDue reports whether it is time to read the records again. What a
// listing costs grows with the fleet, so that nodes share the work.
func ListingDue(l Listing) bool {
	if l.Unsettled || l.Doubtful {
		return l.Age >= ListEvery
	}
	return l.Age >= max(ListEvery, time.Duration(l.Size)*listShare)
}

const (
	// RetryEvery spaces the calls of one node to a store that does not answer.
	// Refused calls are paid for as well.
	RetryEvery = 600 * time.Millisecond
	// retryShare is the time between two such reads of the whole fleet: 20 a
	// second are a hundredth of the reads that the store takes. mostRetry bounds
	// the time between two of one node, which no other node may reach.
	retryShare = 50 * time.Millisecond
	mostRetry  = 5 * time.Second
)

// ReadRetry returns how long a node waits before it reads the configuration
// again from a store that did not answer. Nodes that follow the store ask
// often; the others learn from them, or from whichever node the store answers
// first.
func ReadRetry(follows bool, size int) time.Duration {
	if follows {
		return RetryEvery
	}
	return max(RetryEvery, min(mostRetry, time.Duration(size)*retryShare))
}

// Evidence is what is known about one node at a moment.
type Evidence struct {
	// Listed is true when the newest listing of the store has the node.
	Listed bool
	// ListingFresh is true when that listing was asked for while the store had
	// been reachable for ReturnTime, and after the node was first seen.
	ListingFresh bool
	// Heard is true when the node answered within SilenceLimit.
	Heard bool
	// Unanswered is true when the newest exchange with the node failed.
	Unanswered bool
	// Left is true when the node said that it leaves.
	Left bool
	// Replaced is true when another node has its address.
	Replaced bool
	// SeenFor is how long the node is known.
	SeenFor time.Duration
}

// Alive reports whether a node is taken to exist. Contact goes before the
// store: a node that answers exists whatever the store says. Without contact
// the store decides, and while the store cannot tell, a known node is kept.
func Alive(e Evidence) bool {
	switch {
	case e.Left, e.Replaced:
		return false
	case e.Heard:
		return true
	case e.Listed:
		return true
	case !e.ListingFresh:
		return true
	}
	return !e.Unanswered || e.SeenFor < SilenceLimit
}

const (
	// bucketSize is the number of records that share a digest.
	bucketSize = 4
	// mostBuckets bounds the digests of a message.
	mostBuckets = 64
)

// Buckets returns the number of digests for a number of records, a power of
// two.
func Buckets(records int) int {
	n := 1
	for n < mostBuckets && n*bucketSize < records {
		n *= 2
	}
	return n
}

// Digests returns a number for each bucket that is equal for equal records.
// The order of the records does not matter.
func Digests(records []board.NodeRecord) []uint32 {
	digests := make([]uint32, Buckets(len(records)))
	for _, r := range records {
		text := string(r.Instance) + " " + strconv.FormatUint(r.Incarnation, 10) + " " + strconv.FormatUint(r.Sequence, 10)
		hashing.AddEntry(digests, string(r.Instance), text)
	}
	return digests
}

// Differs reports whether the record of a node may differ between two nodes
// with the digests. Other numbers of digests mean other numbers of records.
func Differs(id board.InstanceID, own, other []uint32) bool {
	return hashing.Differs(string(id), own, other)
}

// Instances returns the nodes of a view whose records are to be kept.
func Instances(view *board.Fleet, keep func(board.NodeRecord) bool) []board.InstanceID {
	ids := make([]board.InstanceID, 0, len(view.ByInstance))
	for id, cell := range view.ByInstance {
		if keep(cell.Record) {
			ids = append(ids, id)
		}
	}
	return ids
}

// WatchRank returns the place of a node in an order of all nodes that is the
// same wherever the same nodes are known.
func WatchRank(ids []board.InstanceID, self board.InstanceID) int {
	own := hashing.String(string(self))
	rank := 0
	for _, id := range ids {
		if id != self && cmp.Or(cmp.Compare(hashing.String(string(id)), own), cmp.Compare(id, self)) < 0 {
			rank++
		}
	}
	return rank
}
