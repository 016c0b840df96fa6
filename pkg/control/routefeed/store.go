package routefeed

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/bootclock"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/decide/customer"
	"mangostand.example/mangostand/pkg/decide/evacuation"
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
	var handled documentVersion
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
		state, err := c.store.ReadOperatorState(ctx)
		if err != nil {
			c.stability = c.stability.AfterFailure()
			c.log.Info().Err(err).Str("event", "config_unread").Bool("watcher", watcher).
				Dur("confirmed_age", c.confirmedAge()).Send()
			control.Sleep(ctx, fleet.ReadRetryDelay(watcherOrBackup, c.board.Fleet.Load().Size))
			continue
		}
		c.observe(ctx, state, requestedAt)
		if version := versionOf(state); version != handled && version != (documentVersion{}) {
			c.publish(ctx, &fetchedDocument{document: state.Config.Value, from: fromStore, readAt: requestedAt})
			handled = version
		}
		confirmed := c.confirm(state.Config.Value, requestedAt, proofAt)
		pause := watchPause
		switch {
		case watcher && len(state.Config.Value) < maxPolledSize:
			pause = readInterval
		case watcher:
			c.watchChanges(ctx, state)
		}
		if !confirmed {
			// Further reads confirm nothing until the operators write again or the store
			// has settled.
			pause = max(pause, fleet.ReadRetryDelay(watcherOrBackup, c.board.Fleet.Load().Size))
		}
		control.Sleep(ctx, pause)
	}
}

// documentVersion identifies a write of the configuration document.
type documentVersion struct{ era, revision uint64 }

// versionOf returns the version of the document in a state, zero if there is none.
func versionOf(state platform.OperatorState) documentVersion {
	if state.Config.Revision == 0 {
		return documentVersion{}
	}
	return documentVersion{state.Era, state.Config.Revision}
}

// evacuationTimeout bounds the wait until control/evacuation has merged a read.
const evacuationTimeout = 100 * time.Millisecond

// observe records the response to a request that was sent at a time, and passes on what
// it says of the evacuated failure domains. It waits until evacuated domains are in force,
// so that a node which has just started has no configuration without them.
func (c *Controller) observe(ctx context.Context, state platform.OperatorState, requestedAt time.Time) {
	before := c.stability
	c.stability = before.AfterResponse(state.Era, requestedAt)
	if before.Era > 0 && state.Era != before.Era {
		c.log.Warn().Str("event", "store_era").Uint64("era", state.Era).Uint64("before", before.Era).
			Uint64("revision", state.Revision).Uint64("config_revision", state.Config.Revision).Msg("the store came back from an older copy")
	}
	read := &board.Evacuation{
		Era: state.Era, Revision: state.Revision, Domains: state.EvacuatedDomains,
		Settled: c.stability.Settled(requestedAt, c.board.Store.Load().ReachabilityChangedAt),
	}
	if current := c.board.Evacuation.Load(); evacuation.Apply(current, read) != current {
		event := board.EvacuationEvent{State: read, Handled: make(chan struct{})}
		if !c.board.Evacuations.Post(event) || len(read.Domains) == 0 {
			return
		}
		timer := time.NewTimer(evacuationTimeout)
		defer timer.Stop()
		select {
		case <-event.Handled:
		case <-timer.C:
		case <-ctx.Done():
		}
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

// watchChanges watches for changes after a state until a watch fails or this node is no
// longer the watcher.
func (c *Controller) watchChanges(ctx context.Context, state platform.OperatorState) {
	for ctx.Err() == nil && c.watchRank() == 0 {
		requestedAt, proofAt := time.Now(), c.board.ConfigRequestSentAt()
		next, err := c.store.WatchOperatorState(ctx, state, maxWatchWait)
		if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrEraChanged) {
			c.log.Info().Err(err).Str("event", "watch_compacted").Uint64("era", state.Era).Uint64("after", state.Revision).Send()
			return
		}
		if err != nil {
			c.stability = c.stability.AfterFailure()
			c.log.Info().Err(err).Str("event", "watch_broken").Uint64("era", state.Era).Uint64("after", state.Revision).Send()
			control.Sleep(ctx, fleet.RetryInterval)
			return
		}
		c.observe(ctx, next, requestedAt)
		changed := versionOf(next) != versionOf(state)
		if changed {
			c.publish(ctx, &fetchedDocument{document: next.Config.Value, from: fromStore, readAt: time.Now()})
		}
		confirmed := c.confirm(next.Config.Value, requestedAt, proofAt)
		changed = changed || !slices.Equal(next.EvacuatedDomains, state.EvacuatedDomains)
		state = next
		if changed || !confirmed {
			control.Sleep(ctx, watchPause)
		}
	}
}

// confirmedAge returns the age of the last confirmation of the version in force.
func (c *Controller) confirmedAge() time.Duration {
	return c.board.ConfigConfirmed.Age(c.writer.Load().Version, time.Now())
}

// confirm records that the version in force is the newest one, as a read of the store
// has shown that was sent at a time. With strict revocation of API keys, a store proves
// nothing while it holds another document, which was refused or is older than the one in
// force, or within evacuation.SettleTime after it may have come back from an older copy.
// confirm reports whether the version was confirmed.
func (c *Controller) confirm(document []byte, requestedAt time.Time, proofAt time.Duration) bool {
	inForce := c.writer.Load().Version
	if c.board.ConfigProven.Required {
		if !c.stability.EraSettled(requestedAt) || !bytes.Equal(document, c.board.RouteDocument.Load().Document) {
			return false
		}
		c.board.ConfigProven.Prove(inForce, proofAt)
	}
	c.board.ConfigConfirmed.Confirm(inForce, requestedAt)
	return true
}

// proofDue reports whether API keys will soon be refused because other nodes have not
// confirmed the version in force.
func (c *Controller) proofDue() bool {
	table := c.writer.Load()
	if c.options.RevocationTime == 0 || table.Customers.Len() == 0 {
		// No key is valid.
		return false
	}
	age := c.board.ConfigProven.Age(table.Version, bootclock.Now())
	return customer.Confirmation{Strict: true, Age: age, RevocationTime: c.options.RevocationTime}.RefreshDue()
}
