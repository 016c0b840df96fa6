package routefeed

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/bootclock"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/decide/customer"
	"mangostand.example/mangostand/pkg/decide/fleet"
	"mangostand.example/mangostand/platform"
)

const (
	// readInterval is the time between the watcher's reads of a small document.
	// Small documents are polled because a read returns at once and confirms the
	// version as of now. A watch returns late and confirms it only as of its start,
	// so that other nodes would get old confirmations and read the store as well.
	readInterval = 500 * time.Millisecond
	// maxPolledSize is the size in bytes below which a document is polled instead
	// of watched. Polling reads at most 32 kB/s.
	maxPolledSize = 16 << 10
	// maxWatchWait is the longest wait of one watch. It is short because a change
	// must be in force within 2 s: a waiting watch gets no events from a store that
	// has lost its history, and only the next call reports the loss.
	maxWatchWait = 600 * time.Millisecond
	// backupWatchers is the number of nodes that take over early when the watcher
	// does not confirm the version.
	backupWatchers = 1
	// backupMaxAge and followerMaxAge are the ages of the newest confirmation at
	// which a backup and a follower read the store themselves. followerJitter
	// spreads the reads of many followers.
	backupMaxAge   = time.Second
	followerMaxAge = 1500 * time.Millisecond
	followerJitter = 300 * time.Millisecond
	// startupGrace is the time after its start during which a node that knows no
	// other node does not act as the watcher.
	startupGrace = 3 * time.Second
	// recheckInterval is the time between two checks of the age of the
	// confirmation and of the fleet, which may make this node the watcher.
	recheckInterval = 250 * time.Millisecond
	// startCheckInterval is the time between two checks whether a starting node has
	// to read the store itself.
	startCheckInterval = 20 * time.Millisecond
	// watchPause is the pause between watches when versions come in quick
	// succession.
	watchPause = 150 * time.Millisecond
)

// syncWithStore reads new versions from the store until ctx is done. The watcher
// polls a small document and watches a large one. Any other node reads the store
// only when no node has confirmed for too long that the version in force is the
// newest one.
func (c *Controller) syncWithStore(ctx context.Context) {
	jitter := rand.N(followerJitter)
	var handledRevision uint64
	for ctx.Err() == nil {
		rank := c.watchRank()
		watcher, watcherOrBackup := rank == 0, rank <= backupWatchers
		maxAge := followerMaxAge + jitter
		if watcherOrBackup {
			maxAge = backupMaxAge
		}
		if age := c.confirmedAge(); !watcher && age < maxAge && !c.proofDue() {
			control.Sleep(ctx, min(recheckInterval, maxAge-age))
			continue
		}
		if c.startsWithoutRead(watcherOrBackup) {
			control.Sleep(ctx, startCheckInterval)
			continue
		}
		if c.storeUnavailable() {
			control.Sleep(ctx, recheckInterval)
			continue
		}
		requestedAt, proofAt := time.Now(), c.board.ConfigRequestSentAt()
		entry, revision, err := c.store.GetAsOf(ctx, platform.ConfigKey)
		if err != nil {
			c.log.Info().Err(err).Str("event", "config_unread").Bool("watcher", watcher).
				Dur("confirmed_age", c.confirmedAge()).Send()
			control.Sleep(ctx, fleet.ReadRetryDelay(watcherOrBackup, c.board.Fleet.Load().Size))
			continue
		}
		if entry.Revision > handledRevision {
			c.publish(ctx, &fetchedDocument{document: entry.Value, from: fromStore, readAt: requestedAt})
			handledRevision = entry.Revision
		}
		c.confirm(entry.Value, requestedAt, proofAt)
		pause := watchPause
		switch {
		case watcher && len(entry.Value) < maxPolledSize:
			pause = readInterval
		case watcher:
			c.watchChanges(ctx, revision, entry.Value)
		}
		control.Sleep(ctx, pause)
	}
}

// startsWithoutRead reports whether a node that has just started leaves the first
// read of the configuration to others.
func (c *Controller) startsWithoutRead(storeFollower bool) bool {
	if c.writer.Load().Version > 0 {
		return false
	}
	start := fleet.Start{
		Listed: !c.board.Store.Load().ListingRequestedAt.IsZero(), StoreFollower: storeFollower,
		FleetSize: c.board.Fleet.Load().Size, Bootstrap: c.options.Bootstrap,
	}
	return time.Since(c.started) < fleet.FirstReadDelay(start)
}

// storeUnavailable reports whether the newest call of control/registration to the
// store failed. That controller probes the store at little cost, so that a read,
// which is billed also when it is refused, can wait for the probe to succeed.
func (c *Controller) storeUnavailable() bool {
	status := c.board.Store.Load()
	return !status.Reachable && !status.ReachabilityChangedAt.IsZero()
}

// watchRank returns the rank of this node in the order in which nodes take the
// role of the watcher; 0 is the watcher.
func (c *Controller) watchRank() int {
	ids := fleet.FilterInstances(c.board.Fleet.Load(), func(r board.NodeRecord) bool { return !r.Leaving })
	if len(ids) <= 1 && time.Since(c.started) < startupGrace {
		// A node that has just started may not have found the others yet.
		return backupWatchers + 1
	}
	return fleet.HashRank(ids, c.board.Self.Instance)
}

// watchChanges watches for changes after a revision, at which the store had a document,
// until a watch fails or this node is no longer the watcher.
func (c *Controller) watchChanges(ctx context.Context, after uint64, document []byte) {
	for ctx.Err() == nil && c.watchRank() == 0 {
		requestedAt, proofAt := time.Now(), c.board.ConfigRequestSentAt()
		events, next, err := c.store.WatchPrefix(ctx, platform.ConfigKey, after, maxWatchWait)
		if errors.Is(err, platform.ErrCompacted) {
			c.log.Info().Str("event", "watch_compacted").Uint64("after", after).Send()
			return
		}
		if err != nil {
			c.log.Info().Err(err).Str("event", "watch_broken").Uint64("after", after).Send()
			control.Sleep(ctx, fleet.RetryInterval)
			return
		}
		for i := len(events) - 1; i >= 0; i-- {
			if events[i].Key == platform.ConfigKey && !events[i].Deleted {
				document = events[i].Value
				c.publish(ctx, &fetchedDocument{document: document, from: fromStore, readAt: time.Now()})
				break
			}
		}
		c.confirm(document, requestedAt, proofAt)
		after = next
		if len(events) > 0 {
			control.Sleep(ctx, watchPause)
		}
	}
}

// confirmedAge returns the age of the last confirmation of the version in force.
func (c *Controller) confirmedAge() time.Duration {
	return c.board.ConfigConfirmed.Age(c.writer.Load().Version, time.Now())
}

// confirm records that the version in force is the newest one, as a read of the store
// has shown that was sent at a time.
func (c *Controller) confirm(document []byte, requestedAt time.Time, proofAt time.Duration) {
	inForce := c.writer.Load().Version
	c.board.ConfigConfirmed.Confirm(inForce, requestedAt)
	if !c.board.ConfigProven.Required {
		return
	}
	// A document that was refused, or is older than the one in force, proves nothing.
	if bytes.Equal(document, c.board.RouteDocument.Load().Document) {
		c.board.ConfigProven.Prove(inForce, proofAt)
	}
}

// proofDue reports whether API keys will soon be refused because other nodes have not
// confirmed the version in force.
func (c *Controller) proofDue() bool {
	table := c.writer.Load()
	if c.options.RevocationTime == 0 || table.Customers.Len() == 0 {
		return false
	}
	age := c.board.ConfigProven.Age(table.Version, bootclock.Now())
	return customer.Confirmation{Strict: true, Age: age, RevocationTime: c.options.RevocationTime}.RefreshDue()
}
