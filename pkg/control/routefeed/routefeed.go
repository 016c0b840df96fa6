// Package routefeed keeps the newest configuration in force: it watches the
// platform's store and takes newer versions from other nodes. It is the writer
// of the section Routes. Versions only rise.
package routefeed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/decide/fleet"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/platform"
)

const (
	// readInterval spaces the reads of a small document by the watcher. A read
	// confirms the configuration at once, a watch only the time at which it was
	// asked, so that with watches others hear late and ask the store as well.
	readInterval = 500 * time.Millisecond
	// maxPolledSize is the size in bytes up to which a document is read again
	// and again: 32 kB/s at most.
	maxPolledSize = 16 << 10
	// maxWatchWait is the longest wait of one watch. A store that loses its history
	// leaves a waiting watch without news; only the next call tells. A change
	// is to be in force within 2 s.
	maxWatchWait = 600 * time.Millisecond
	// backupWatchers is the number of nodes that step in early when the watcher brings
	// no confirmation.
	backupWatchers = 1
	// backupMaxAge and quietLimit are the times without confirmation after which
	// a backup and any other node ask the store themselves; quietJitter spreads
	// the questions of many nodes.
	backupMaxAge   = time.Second
	followerMaxAge = 1500 * time.Millisecond
	followerJitter = 300 * time.Millisecond
	// startupGrace is the age up to which a node that knows no other one does not
	// take itself for the watcher.
	startupGrace = 3 * time.Second
	// recheckInterval spaces the looks at the time of the confirmation and at the
	// fleet, which may make this node the watcher.
	recheckInterval = 250 * time.Millisecond
	// watchPause spaces watches when versions come in quick succession.
	watchPause = 150 * time.Millisecond
)

// Store is what the controller needs of the store.
type Store interface {
	GetAsOf(ctx context.Context, key string) (platform.Entry, uint64, error)
	WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Event, uint64, error)
}

// Puller reads the table of another node.
type Puller func(ctx context.Context, addr string) ([]byte, error)

// Controller keeps the routes.
type Controller struct {
	board   *board.MeshBoard
	store   Store
	pull    Puller
	log     zerolog.Logger
	writer  *board.Writer[*dynconf.Table]
	started time.Time
	// documents carries what the watch has read to the writer.
	documents chan fetchedDocument
}

type fetchedDocument struct {
	document []byte
	from     string
}

// documentQueueSize holds the documents of a quick succession of versions.
const documentQueueSize = 16

// New claims the section.
func New(b *board.MeshBoard, store Store, pull Puller, log zerolog.Logger) *Controller {
	return &Controller{
		board: b, store: store, pull: pull, log: log, writer: b.Routes.Claim("routefeed"), started: time.Now(),
		documents: make(chan fetchedDocument, documentQueueSize),
	}
}

// Name returns the name of the controller.
func (c *Controller) Name() string { return "routefeed" }

// Run keeps the routes until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	go c.syncWithStore(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-c.documents:
			c.apply(s.document, s.from)
		case hint := <-c.board.RouteTableHints.Events():
			c.pullNewer(ctx, hint)
		}
	}
}

// apply puts a document in force when it is newer than the one in force.
func (c *Controller) apply(document []byte, from string) {
	table, err := platform.DecodeTable(document)
	if err != nil {
		c.log.Error().Err(err).Str("event", "config_refused").Str("from", from).Msg("configuration not understood, the one in force stays")
		return
	}
	current := c.writer.Load().Version
	if table.Version <= current {
		return
	}
	c.writer.Publish(table)
	c.log.Info().Str("event", "config").Uint64("version", table.Version).Uint64("before", current).Str("from", from).Send()
}

// pullTimeout bounds a pull from another node.
const pullTimeout = 500 * time.Millisecond

// pullNewer pulls a newer table from the node that has it.
func (c *Controller) pullNewer(ctx context.Context, hint board.RouteTableHint) {
	if hint.Version <= c.writer.Load().Version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	document, err := c.pull(ctx, hint.From)
	if err != nil {
		c.log.Info().Err(err).Str("event", "config_pull_failed").Str("from", hint.From).Uint64("version", hint.Version).Send()
		return
	}
	c.apply(document, hint.From)
}

// syncWithStore keeps the configuration current: a watcher reads a small document again
// and again and follows the changes of a large one, any other node asks the
// store only when it has not heard for too long, from whatever node, that the
// version in force is the newest.
func (c *Controller) syncWithStore(ctx context.Context) {
	jitter := rand.N(followerJitter)
	var offered uint64
	for ctx.Err() == nil {
		rank := c.watchRank()
		watcher, follows := rank == 0, rank <= backupWatchers
		limit := followerMaxAge + jitter
		if follows {
			limit = backupMaxAge
		}
		if age := c.board.ConfigConfirmed.Age(time.Now()); !watcher && age < limit {
			control.Sleep(ctx, min(recheckInterval, limit-age))
			continue
		}
		asked := time.Now()
		entry, asOf, err := c.store.GetAsOf(ctx, platform.ConfigKey)
		if err != nil {
			c.log.Info().Err(err).Str("event", "config_unread").Bool("watcher", watcher).
				Dur("confirmed_age", c.board.ConfigConfirmed.Age(time.Now())).Send()
			control.Sleep(ctx, fleet.ReadRetryDelay(follows, c.board.Fleet.Load().Size))
			continue
		}
		if entry.Revision > offered {
			c.enqueue(ctx, entry.Value)
			offered = entry.Revision
		}
		c.board.ConfigConfirmed.Advance(asked)
		pause := watchPause
		switch {
		case watcher && len(entry.Value) < maxPolledSize:
			pause = readInterval
		case watcher:
			c.watchChanges(ctx, asOf)
		}
		control.Sleep(ctx, pause)
	}
}

// watchRank returns the place of this node in the order of those that follow
// the store; 0 is the watcher.
func (c *Controller) watchRank() int {
	ids := fleet.FilterInstances(c.board.Fleet.Load(), func(r board.NodeRecord) bool { return !r.Leaving })
	if len(ids) <= 1 && time.Since(c.started) < startupGrace {
		// A node that has just started knows no other one yet.
		return backupWatchers + 1
	}
	return fleet.HashRank(ids, c.board.Self.Instance)
}

// watchChanges follows the changes after a revision until the watch breaks or
// this node is no watcher any more.
func (c *Controller) watchChanges(ctx context.Context, after uint64) {
	for ctx.Err() == nil && c.watchRank() == 0 {
		asked := time.Now()
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
				c.enqueue(ctx, events[i].Value)
				break
			}
		}
		c.board.ConfigConfirmed.Advance(asked)
		after = next
		if len(events) > 0 {
			control.Sleep(ctx, watchPause)
		}
	}
}

func (c *Controller) enqueue(ctx context.Context, document []byte) {
	select {
	case c.documents <- fetchedDocument{document: document, from: "store"}:
	case <-ctx.Done():
	}
}
