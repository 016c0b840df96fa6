package board

import (
	"sync/atomic"
	"time"
)

// MeshEndpoint is one node of the fleet with its counters.
type MeshEndpoint struct {
	Record NodeRecord
	*EndpointStats
	Reachability *Reachability
}

// Reachability records the results of exchanges with another node.
type Reachability struct {
	// lastResponse is the time of the last response, failuresSinceResponse the
	// number of exchanges since then that got none.
	lastResponse          atomic.Pointer[time.Time]
	failuresSinceResponse atomic.Int32
	replaced              atomic.Bool
}

// RecordResponse records a response of the node.
func (r *Reachability) RecordResponse(now time.Time) {
	r.lastResponse.Store(&now)
	r.failuresSinceResponse.Store(0)
}

// MarkReplaced records that another node responds at the node's address.
func (r *Reachability) MarkReplaced() { r.replaced.Store(true) }

// Replaced reports whether another node responds at the node's address.
func (r *Reachability) Replaced() bool { return r.replaced.Load() }

// RecordFailure records an exchange that got no response.
func (r *Reachability) RecordFailure() { r.failuresSinceResponse.Add(1) }

// Suspected reports whether the latest exchange with the node failed. The
// directory controller contacts a suspected node repeatedly until it responds.
func (r *Reachability) Suspected() bool { return r.failuresSinceResponse.Load() > 0 }

// RespondedSince reports whether the last response of the node came at t or
// later.
func (r *Reachability) RespondedSince(t time.Time) bool {
	last := r.lastResponse.Load()
	return last != nil && !last.Before(t)
}

// Fleet is an immutable view of the live nodes.
type Fleet struct {
	ByInstance map[InstanceID]*MeshEndpoint
	// ByService holds the nodes whose backend server accepts calls, by service.
	ByService map[string][]*MeshEndpoint
	// Departed holds the records of nodes that left a short time ago. Nodes that still
	// take one of them for alive, from a stale listing, are told of it.
	Departed []NodeRecord
	// Size is the number of live nodes, this one included.
	Size int
	// BucketDigests are hashes of the node records by bucket, which nodes compare
	// to find differences.
	BucketDigests []uint32
	// Contention is the value that the majority of the nodes of this node's
	// service have observed.
	Contention Contention
}
