// Package registration writes this node's record to the platform's store under
// a lease and lists the records of the other nodes. It writes the Store section.
package registration

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/fleet"
	"mangostand.example/mangostand/platform"
)

const (
	// RecordPrefix is the key prefix of the records of all nodes.
	RecordPrefix = "nodes/"
	// leaseTTL is the time after which an unrenewed record expires, about three
	// renewal intervals. Unresponsive nodes are avoided long before.
	leaseTTL = 10 * time.Second
	// renewInterval is the time between two lease renewals.
	renewInterval = 3200 * time.Millisecond
	// maxServerWait is how long the first write of the record waits for the backend
	// server, so that one write covers the node and its server. Until then, other
	// nodes learn about this one from its exchanges with the nodes that it finds.
	maxServerWait = 5 * time.Second
	// relistDelay and relistJitter set the time between listings of a node that
	// has found no other node. When all nodes of a site start together, the first
	// listing may find none of them.
	relistDelay  = time.Second
	relistJitter = time.Second
	// pollInterval is the resolution of the intervals above.
	pollInterval = 200 * time.Millisecond
)

// Store is the part of the store's client that the controller uses.
type Store interface {
	Put(ctx context.Context, key string, value []byte, lease string) (uint64, error)
	Get(ctx context.Context, key string) (platform.Entry, error)
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
	ListStale(ctx context.Context, prefix string) ([]platform.Entry, error)
	GetStale(ctx context.Context, key string) (platform.Entry, error)
	GrantLease(ctx context.Context, ttl time.Duration) (platform.Lease, error)
	RenewLease(ctx context.Context, id string) error
	// Era returns the highest era in any response, see platform.Client.
	Era() uint64
}

// Controller registers the node in the store.
type Controller struct {
	board  *board.MeshBoard
	store  Store
	log    zerolog.Logger
	writer *board.Writer[*board.StoreStatus]

	// bootstrap is true when the whole deployment starts for the first time.
	bootstrap bool

	started time.Time
	// leaseID is "" while the node holds no lease.
	leaseID string
	// era is the highest known era of the store, and leaseEra the one in which leaseID
	// was granted or found. eraKnown is set from the first response.
	era, leaseEra uint64
	eraKnown      bool
	// reregisterAt is when the node may take a lease again after the era rose, and
	// reregisterDue fires then.
	reregisterAt  time.Time
	reregisterDue <-chan time.Time
	// earlierLeaseID is the lease of an earlier process of this node that may still
	// be alive, earlierRecord the record under it, and earlierLeaseEra the era in which
	// it was read.
	earlierLeaseID  string
	earlierLeaseEra uint64
	earlierRecord   board.NodeRecord
	// unavailable is set from a failed call until a probe of the store succeeds.
	unavailable bool
	// writtenRecord is the record last written under the lease.
	writtenRecord board.NodeRecord
	renewedAt     time.Time
	failedAt      time.Time
	listedAt      time.Time
	listCount     int
	// relistInterval is the time between listings while no other node is known.
	relistInterval time.Duration
	// syncedAt is when the first listing or the newest consistent one completed.
	syncedAt time.Time
}

// New claims the Store section. bootstrap is true when the whole deployment starts for
// the first time, so that no earlier process of this node has left a record.
func New(b *board.MeshBoard, store Store, bootstrap bool, log zerolog.Logger) *Controller {
	return &Controller{board: b, store: store, bootstrap: bootstrap, log: log, writer: b.Store.Claim("registration"), started: time.Now(), relistInterval: relistDelay + rand.N(relistJitter)}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "registration" }

// Run keeps the node registered until ctx is done, and leaves its record for the next
// process.
func (c *Controller) Run(ctx context.Context) {
	evacuationUpdates, fleetUpdates := c.board.Evacuation.Subscribe(), c.board.Fleet.Subscribe()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.makeDueCalls(ctx, time.Now())
		c.awaitWork(ctx, ticker.C, evacuationUpdates, fleetUpdates)
	}
	c.retainRecord()
}

// awaitWork waits until a call may be due.
func (c *Controller) awaitWork(ctx context.Context, ticks <-chan time.Time, evacuationUpdates, fleetUpdates <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			return
		case <-evacuationUpdates:
			// Another node may have seen the era of the store rise.
			return
		case <-c.reregisterDue:
			return
		case <-fleetUpdates:
			// The acknowledgement of a leaving waits for the record of it.
			if own := c.board.Fleet.Load().ByInstance[c.board.Self.Instance]; own != nil && c.withdrawalChanged(own.Record) {
				return
			}
		}
	}
}

// withdrawalChanged reports whether the store does not hold yet that the backend server
// drains or leaves, or holds it of an earlier one.
func (c *Controller) withdrawalChanged(own board.NodeRecord) bool {
	return (c.writtenRecord.State >= board.ServerDraining) != (own.State >= board.ServerDraining)
}

// makeDueCalls makes the store calls that are due, the most urgent one first.
func (c *Controller) makeDueCalls(ctx context.Context, now time.Time) {
	for ctx.Err() == nil && c.makeNextCall(ctx, now) {
		now = time.Now()
	}
}

// makeNextCall makes at most one store call and reports whether it made one.
func (c *Controller) makeNextCall(ctx context.Context, now time.Time) bool {
	c.checkEra(now)
	if now.Sub(c.failedAt) < fleet.RetryInterval {
		return false
	}
	own, known := c.board.Fleet.Load().ByInstance[c.board.Self.Instance]
	switch {
	case !known:
		return false
	case c.unavailable:
		c.probe(ctx)
	case c.listCount == 0:
		c.listRecords(ctx, now)
	case c.writer.Load().EarlierRecord == nil:
		c.readEarlierRecord(ctx)
	case c.leaseID == "" && now.Before(c.reregisterAt):
		return false
	case c.leaseID == "" && c.earlierLeaseID != "":
		c.takeOverLease(ctx, now)
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

// writeDue reports whether the record in the store must be updated. Changes of
// other fields are not written: nodes learn them from each other.
func (c *Controller) writeDue(own board.NodeRecord, now time.Time) bool {
	if own.ServerID == "" && now.Sub(c.started) < maxServerWait {
		return false
	}
	written := c.writtenRecord
	return written.Instance == "" || written.ServerID != own.ServerID || written.ServerStartMillis != own.ServerStartMillis || written.Leaving != own.Leaving ||
		c.withdrawalChanged(own) ||
		written.Contention != own.Contention && c.writesContention()
}

// contentionWriters is the number of nodes of a service that write a change of
// their contention finding at once, so that the finding survives a restart of
// all nodes. The others include it in their next write.
const contentionWriters = 3

// writesContention reports whether this node is among the contentionWriters
// nodes of its service.
func (c *Controller) writesContention() bool {
	self := c.board.Self
	ids := fleet.FilterInstances(c.board.Fleet.Load(), func(r board.NodeRecord) bool { return r.Service == self.Service })
	return fleet.HashRank(ids, self.Instance) < contentionWriters
}

// listingDue reports whether the records must be listed again.
func (c *Controller) listingDue(now time.Time) bool {
	if c.isAlone() && now.Sub(c.listedAt) >= c.relistInterval {
		return true
	}
	status := c.writer.Load()
	return fleet.ListingDue(fleet.ListingState{
		Age: now.Sub(c.listedAt), FleetSize: c.board.Fleet.Load().Size,
		StoreInterrupted: c.syncedAt.Before(status.UnsettledAt()), NodeUnresponsive: c.hasUnresponsiveNode(now),
	})
}

// hasUnresponsiveNode reports whether some node has not responded for the TTL of
// a lease. If that node is gone, its record has expired.
func (c *Controller) hasUnresponsiveNode(now time.Time) bool {
	for _, endpoint := range c.board.Fleet.Load().ByInstance {
		if endpoint.Reachability.Suspected() && !endpoint.Reachability.RespondedSince(now.Add(-leaseTTL)) {
			return true
		}
	}
	return false
}

// isAlone reports whether no other node is known.
func (c *Controller) isAlone() bool { return c.board.Fleet.Load().Size <= 1 }

// recordResult publishes whether the store is reachable after a call and reports
// whether the call succeeded. ErrNotFound and ErrConflict are responses of a
// reachable store.
func (c *Controller) recordResult(call string, err error) bool {
	now := time.Now()
	reachable := err == nil || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict)
	if err != nil {
		c.failedAt, c.unavailable = now, !reachable
	}
	if reachable && !c.eraKnown {
		c.eraKnown, c.era = true, c.knownEra()
	}
	status := *c.writer.Load()
	if status.Reachable != reachable || status.ReachabilityChangedAt.IsZero() {
		status.Reachable, status.ReachabilityChangedAt = reachable, now
		c.writer.Publish(&status)
		c.log.Warn().Err(err).Str("event", "store").Str("call", call).Bool("reachable", reachable).Send()
	}
	return err == nil
}

// knownEra returns the highest era that this node or, as far as it was told, another one
// has seen.
func (c *Controller) knownEra() uint64 { return max(c.store.Era(), c.board.Evacuation.Load().Era) }

// checkEra gives up the lease when the store has come back from an older copy: the copy
// may lack the lease, or have given its number to another node.
func (c *Controller) checkEra(now time.Time) {
	era := c.knownEra()
	if !c.eraKnown || era <= c.era && (c.leaseID == "" || c.leaseEra >= c.era) {
		return
	}
	ids := fleet.FilterInstances(c.board.Fleet.Load(), func(board.NodeRecord) bool { return true })
	delay := fleet.ReregistrationDelay(fleet.HashRank(ids, c.board.Self.Instance), len(ids))
	c.log.Warn().Str("event", "lease_given_up").Uint64("era", era).Uint64("era_before", c.era).
		Str("lease", c.leaseID).Uint64("lease_era", c.leaseEra).Dur("delay", delay).Send()
	if era > c.era {
		status := *c.writer.Load()
		status.EraChangedAt = now
		c.writer.Publish(&status)
	}
	c.era = era
	c.leaseID, c.earlierLeaseID, c.writtenRecord = "", "", board.NodeRecord{}
	c.reregisterAt, c.reregisterDue = now.Add(delay), time.After(delay)
}

// probe makes the cheapest call of the store, whose refused calls are billed as
// well, to find out whether it accepts the calls that are due.
func (c *Controller) probe(ctx context.Context) {
	_, err := c.store.GetStale(ctx, RecordPrefix+string(c.board.Self.Instance))
	if errors.Is(err, platform.ErrNotFound) {
		err = nil
	}
	if c.recordResult("probe", err) {
		c.unavailable = false
	}
}

// takeOverLease renews the lease of an earlier process of this node, which saves a
// grant, and a write if the record under it still holds. A lease that has ended is
// not tried again.
func (c *Controller) takeOverLease(ctx context.Context, now time.Time) {
	lease := c.earlierLeaseID
	c.earlierLeaseID = ""
	err := c.store.RenewLease(ctx, lease)
	if errors.Is(err, platform.ErrNotFound) {
		return
	}
	if c.recordResult("take_over", err) {
		c.leaseID, c.renewedAt = lease, now
		c.leaseEra = c.earlierLeaseEra
		c.setWrittenRecord(c.earlierRecord)
		c.log.Info().Str("event", "lease_taken_over").Str("lease", lease).Send()
	}
}

func (c *Controller) grantLease(ctx context.Context, now time.Time) {
	lease, err := c.store.GrantLease(ctx, leaseTTL)
	if c.recordResult("grant", err) {
		c.leaseID, c.renewedAt, c.writtenRecord = lease.ID, now, board.NodeRecord{}
		c.leaseEra = cmp.Or(lease.Era, c.era)
	}
}

func (c *Controller) writeRecord(ctx context.Context, record board.NodeRecord) {
	data, err := cbor.Marshal(record)
	if err != nil {
		c.failedAt = time.Now()
		c.log.Error().Err(err).Str("event", "record_not_encoded").Send()
		return
	}
	_, err = c.store.Put(ctx, RecordPrefix+string(record.Instance), data, c.leaseID)
	if errors.Is(err, platform.ErrNotFound) {
		c.dropLease()
		return
	}
	if c.recordResult("write", err) {
		c.setWrittenRecord(record)
	}
}

// setWrittenRecord publishes which record the store holds under the lease.
func (c *Controller) setWrittenRecord(record board.NodeRecord) {
	c.writtenRecord = record
	status := *c.writer.Load()
	status.WrittenRecord = record
	c.writer.Publish(&status)
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

// dropLease forgets a lease that has expired; the next call requests a new one. It
// waits if the lease ended as soon as it was granted.
func (c *Controller) dropLease() {
	if now := time.Now(); now.Sub(c.renewedAt) < fleet.RetryInterval {
		c.failedAt = now
	}
	c.log.Warn().Str("event", "lease_lost").Str("lease", c.leaseID).Send()
	c.leaseID = ""
}

// listRecords lists the records of all nodes and publishes them.
func (c *Controller) listRecords(ctx context.Context, now time.Time) {
	list := c.store.ListStale
	status := c.writer.Load()
	first := c.listCount == 0
	// To discover other nodes, records that are seconds old are good enough, unless
	// two listings have shown none.
	consistent := !first && (c.isAlone() && c.listCount > 1 || c.syncedAt.Before(status.UnsettledAt()))
	if consistent {
		list = c.store.List
	}
	entries, err := list(ctx, RecordPrefix)
	if !c.recordResult("list", err) {
		return
	}
	c.listedAt = now
	c.listCount++
	if consistent || first {
		c.syncedAt = time.Now()
	}
	next := *c.writer.Load()
	next.ListedRecords = map[board.InstanceID]board.NodeRecord{}
	next.ListingRequestedAt = now
	for _, entry := range entries {
		record, err := DecodeRecord(entry.Value)
		if err != nil {
			c.log.Warn().Err(err).Str("event", "record_refused").Str("key", entry.Key).Msg("cannot decode node record")
			continue
		}
		if record.Ended {
			continue
		}
		next.ListedRecords[record.Instance] = record
	}
	if _, listed := next.ListedRecords[c.board.Self.Instance]; c.bootstrap && !listed && next.EarlierRecord == nil {
		next.EarlierRecord, next.FirstStart = &board.NodeRecord{}, true
	}
	c.writer.Publish(&next)
}

// readEarlierRecord reads the record of an earlier process of this node and publishes
// it. A listing does not do, because a stale one may lack a leaving that the earlier
// process has acknowledged.
func (c *Controller) readEarlierRecord(ctx context.Context) {
	entry, err := c.store.Get(ctx, RecordPrefix+string(c.board.Self.Instance))
	found := !errors.Is(err, platform.ErrNotFound)
	if !found {
		err = nil
	}
	if !c.recordResult("read_earlier", err) {
		return
	}
	next := *c.writer.Load()
	next.EarlierRecord = &board.NodeRecord{}
	if found {
		if record, err := DecodeRecord(entry.Value); err != nil {
			c.log.Warn().Err(err).Str("event", "record_refused").Str("key", entry.Key).Msg("cannot decode node record")
		} else {
			next.EarlierRecord = &record
			if record.PeerAddr == c.board.Self.PeerAddr && !record.Leaving {
				c.earlierLeaseID, c.earlierLeaseEra, c.earlierRecord = entry.Lease, c.store.Era(), record
			}
		}
	}
	c.writer.Publish(&next)
}

// CountServers returns the number of nodes with a backend server by service, from the
// records in the store. It skips malformed records and those of nodes that have ended.
func CountServers(entries []platform.Entry) map[string]int {
	servers := map[string]int{}
	for _, entry := range entries {
		if record, err := DecodeRecord(entry.Value); err == nil && record.Service != "" && !record.Ended {
			servers[record.Service]++
		}
	}
	return servers
}

// DecodeRecord decodes and validates the record of a node.
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

// retainTimeout bounds the last calls of a node that stops.
const retainTimeout = 300 * time.Millisecond

// retainRecord leaves the record in the store for the next process of the node when this
// one stops, until its lease ends: what it says of the backend server binds that process,
// since this one may have acknowledged that the server leaves. To all others the record
// says that the node has ended.
func (c *Controller) retainRecord() {
	if c.leaseID == "" {
		return
	}
	if era := c.knownEra(); era > c.leaseEra {
		// The number of the lease may belong to another node now.
		c.log.Info().Str("event", "lease_not_renewed").Str("lease", c.leaseID).Uint64("lease_era", c.leaseEra).Uint64("era", era).Send()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), retainTimeout)
	defer cancel()
	if own, known := c.board.Fleet.Load().ByInstance[c.board.Self.Instance]; known {
		record := own.Record
		record.Leaving, record.Ended = true, true
		c.writeRecord(ctx, record)
	}
	c.renewLease(ctx, time.Now())
}
