// Package registration writes this node's record to the platform's store under
// a lease and reads the records of the others. It is the writer of the section
// Store.
package registration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/decide/fleet"
	"mangostand.example/mangostand/platform"
)

const (
	// recordPrefix holds the records of all nodes.
	recordPrefix = "nodes/"
	// leaseTTL is the life of a record without renewal: three renewals. Nodes that do
	// not answer are avoided long before.
	leaseTTL = 10 * time.Second
	// renewInterval spaces renewals.
	renewInterval = 3200 * time.Millisecond
	// maxServerWait is how long the first record waits for the backend server, so
	// that one write tells both. Until then other nodes know this one from its
	// exchanges with those it finds.
	maxServerWait = 5 * time.Second
	// relistDelay and secondJitter say when a node that has found no other one
	// lists again: all nodes of a site may start together.
	relistDelay  = time.Second
	relistJitter = time.Second
	// pollInterval is the resolution of the above.
	pollInterval = 200 * time.Millisecond
)

// Store is what the controller needs of the store.
type Store interface {
	Put(ctx context.Context, key string, value []byte, lease string) (uint64, error)
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
	ListStale(ctx context.Context, prefix string) ([]platform.Entry, error)
	GrantLease(ctx context.Context, ttl time.Duration) (platform.Lease, error)
	RenewLease(ctx context.Context, id string) error
	RevokeLease(ctx context.Context, id string) error
}

// Controller keeps the record in the store.
type Controller struct {
	board  *board.MeshBoard
	store  Store
	log    zerolog.Logger
	writer *board.Writer[*board.StoreStatus]

	started time.Time
	leaseID string
	// writtenRecord is the record that the store holds under the lease.
	writtenRecord board.NodeRecord
	renewedAt     time.Time
	failedAt      time.Time
	listedAt      time.Time
	listCount     int
	// relistInterval is the time between listings while no other node is known.
	relistInterval time.Duration
	// syncedAt is when the first listing or the last fresh one ended.
	syncedAt time.Time
}

// New claims the section.
func New(b *board.MeshBoard, store Store, log zerolog.Logger) *Controller {
	return &Controller{board: b, store: store, log: log, writer: b.Store.Claim("registration"), started: time.Now(), relistInterval: relistDelay + rand.N(relistJitter)}
}

// Name returns the name of the controller.
func (c *Controller) Name() string { return "registration" }

// Run registers the node until ctx ends, then withdraws it.
func (c *Controller) Run(ctx context.Context) {
	c.runDue(ctx, time.Now())
	control.Every(ctx, pollInterval, func(now time.Time) { c.runDue(ctx, now) })
	c.deregister()
}

// runDue makes the calls that are due, the most urgent one first.
func (c *Controller) runDue(ctx context.Context, now time.Time) {
	for ctx.Err() == nil && c.runNext(ctx, now) {
		now = time.Now()
	}
}

// runNext makes at most one call and reports whether it did.
func (c *Controller) runNext(ctx context.Context, now time.Time) bool {
	if now.Sub(c.failedAt) < fleet.RetryInterval {
		return false
	}
	own, known := c.board.Fleet.Load().ByInstance[c.board.Self.Instance]
	switch {
	case !known:
		return false
	case c.listCount == 0:
		c.listRecords(ctx, now)
	case c.leaseID == "":
		c.grantLease(ctx, now)
	case c.writeDue(own.Record, now):
		c.writeRecord(ctx, own.Record)
	case now.Sub(c.renewedAt) >= renewInterval:
		c.renewLease(ctx, now)
	case c.listingDue(now):
		c.listRecords(ctx, now)
	default:
		return false
	}
	return true
}

// writeDue reports whether the store has to hold another record. Other nodes
// learn the short-lived parts from each other.
func (c *Controller) writeDue(own board.NodeRecord, now time.Time) bool {
	if c.writtenRecord.Instance == "" {
		return own.ServerID != "" || now.Sub(c.started) >= maxServerWait
	}
	was := c.writtenRecord
	return was.ServerID != own.ServerID || was.ServerStartMillis != own.ServerStartMillis || was.Leaving != own.Leaving ||
		(was.State >= board.ServerDraining) != (own.State >= board.ServerDraining) ||
		was.Contention != own.Contention && c.writesContention()
}

// contentionWriters is the number of nodes of a service that write what they found
// about their backend server, so that it outlasts a restart of all nodes. The
// others tell it with their next write.
const contentionWriters = 3

func (c *Controller) writesContention() bool {
	self := c.board.Self
	ids := fleet.FilterInstances(c.board.Fleet.Load(), func(r board.NodeRecord) bool { return r.Service == self.Service })
	return fleet.HashRank(ids, self.Instance) < contentionWriters
}

func (c *Controller) listingDue(now time.Time) bool {
	if c.isAlone() && now.Sub(c.listedAt) >= c.relistInterval {
		return true
	}
	view := c.writer.Load()
	return fleet.ListingDue(fleet.ListingState{
		Age: now.Sub(c.listedAt), FleetSize: c.board.Fleet.Load().Size,
		StoreInterrupted: c.syncedAt.Before(view.ReachabilityChangedAt), NodeUnresponsive: c.hasUnresponsiveNode(now),
	})
}

// hasUnresponsiveNode reports whether a node has been silent for so long that its record
// has ended if it is gone.
func (c *Controller) hasUnresponsiveNode(now time.Time) bool {
	for _, cell := range c.board.Fleet.Load().ByInstance {
		if cell.Reachability.Suspected() && !cell.Reachability.RespondedSince(now.Add(-leaseTTL)) {
			return true
		}
	}
	return false
}

// isAlone reports whether no other node is known.
func (c *Controller) isAlone() bool { return c.board.Fleet.Load().Size <= 1 }

// recordResult records whether a call of the store succeeded.
func (c *Controller) recordResult(call string, err error) bool {
	now := time.Now()
	reached := err == nil || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict)
	if !reached {
		c.failedAt = now
	}
	view := *c.writer.Load()
	if view.Reachable != reached || view.ReachabilityChangedAt.IsZero() {
		view.Reachable, view.ReachabilityChangedAt = reached, now
		c.writer.Publish(&view)
		c.log.Warn().Err(err).Str("event", "store").Str("call", call).Bool("reachable", reached).Send()
	}
	return err == nil
}

func (c *Controller) grantLease(ctx context.Context, now time.Time) {
	lease, err := c.store.GrantLease(ctx, leaseTTL)
	if c.recordResult("grant", err) {
		c.leaseID, c.renewedAt, c.writtenRecord = lease.ID, now, board.NodeRecord{}
	}
}

func (c *Controller) writeRecord(ctx context.Context, record board.NodeRecord) {
	data, err := cbor.Marshal(record)
	if err != nil {
		c.log.Error().Err(err).Str("event", "record_not_encoded").Send()
		return
	}
	_, err = c.store.Put(ctx, recordPrefix+string(record.Instance), data, c.leaseID)
	if errors.Is(err, platform.ErrNotFound) {
		c.dropLease()
		return
	}
	if c.recordResult("write", err) {
		c.writtenRecord = record
	}
}

func (c *Controller) renewLease(ctx context.Context, now time.Time) {
	err := c.store.RenewLease(ctx, c.leaseID)
	if errors.Is(err, platform.ErrNotFound) {
		c.dropLease()
		return
	}
	if c.recordResult("renew", err) {
		c.renewedAt = now
	}
}

// dropLease forgets a lease that has ended; the next step asks for another one.
func (c *Controller) dropLease() {
	c.log.Warn().Str("event", "lease_lost").Str("lease", c.leaseID).Send()
	c.leaseID = ""
}

// listRecords reads the records of all nodes.
func (c *Controller) listRecords(ctx context.Context, now time.Time) {
	read := c.store.ListStale
	view := c.writer.Load()
	first := c.listCount == 0
	// Records that are seconds old do to find others.
	fresh := !first && (c.isAlone() || c.syncedAt.Before(view.ReachabilityChangedAt))
	if fresh {
		read = c.store.List
	}
	entries, err := read(ctx, recordPrefix)
	if !c.recordResult("list", err) {
		return
	}
	c.listedAt = now
	c.listCount++
	if fresh || first {
		c.syncedAt = time.Now()
	}
	next := *c.writer.Load()
	next.ListedRecords = map[board.InstanceID]board.NodeRecord{}
	next.ListingRequestedAt = now
	for _, entry := range entries {
		record, err := DecodeRecord(entry.Value)
		if err != nil {
			c.log.Warn().Err(err).Str("event", "record_refused").Str("key", entry.Key).Msg("record of a node not understood")
			continue
		}
		next.ListedRecords[record.Instance] = record
	}
	c.writer.Publish(&next)
}

// DecodeRecord reads the record of a node.
func DecodeRecord(data []byte) (board.NodeRecord, error) {
	var record board.NodeRecord
	if err := cbor.Unmarshal(data, &record); err != nil {
		return record, errors.Trace(err)
	}
	if record.Instance == "" || record.PeerAddr == "" {
		return record, errors.New("record without instance or address")
	}
	return record, nil
}

// deregisterTimeout bounds the withdrawal of a node that stops; a record that
// stays ends with its lease.
const deregisterTimeout = 300 * time.Millisecond

func (c *Controller) deregister() {
	if c.leaseID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := c.store.RevokeLease(ctx, c.leaseID); err != nil {
		c.log.Info().Err(err).Str("event", "lease_not_revoked").Str("lease", c.leaseID).Send()
	}
}
