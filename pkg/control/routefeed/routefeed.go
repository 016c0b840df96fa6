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
	// confirmEvery spaces the reads of a small document by the watcher. A read
	// confirms the configuration at once, a watch only the time at which it was
	// asked, so that with watches others hear late and ask the store as well.
	confirmEvery = 500 * time.Millisecond
	// smallDocument is the size in bytes up to which a document is read again
	// and again: 32 kB/s at most.
	smallDocument = 16 << 10
	// watchWait is the longest wait of one watch. A store that loses its history
	// leaves a waiting watch without news; only the next call tells. A change
	// is to be in force within 2 s.
	watchWait = 600 * time.Millisecond
	// backups is the number of nodes that step in early when the watcher brings
	// no confirmation.
	backups = 1
	// backupLimit and quietLimit are the times without confirmation after which
	// a backup and any other node ask the store themselves; quietJitter spreads
	// the questions of many nodes.
	backupLimit = time.Second
	quietLimit  = 1500 * time.Millisecond
	quietJitter = 300 * time.Millisecond
	// aloneLimit is the age up to which a node that knows no other one does not
	// take itself for the watcher.
	aloneLimit = 3 * time.Second
	// pollEvery spaces the looks at the time of the confirmation and at the
	// fleet, which may make this node the watcher.
	pollEvery = 250 * time.Millisecond
	// watchGap spaces watches when versions come in quick succession.
	watchGap = 150 * time.Millisecond
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
	documents chan source
}

type source struct {
	document []byte
	from     string
}

// documentQueue holds the documents of a quick succession of versions.
const documentQueue = 16

// New claims the section.
func New(b *board.MeshBoard, store Store, pull Puller, log zerolog.Logger) *Controller {
	return &Controller{
		board: b, store: store, pull: pull, log: log, writer: b.Routes.Claim("routefeed"), started: time.Now(),
		documents: make(chan source, documentQueue),
	}
}

// Name returns the name of the controller.
func (c *Controller) Name() string { return "routefeed" }

// Run keeps the routes until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	go c.watch(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-c.documents:
			c.take(s.document, s.from)
		case hint := <-c.board.RouteTableHints.Events():
			c.follow(ctx, hint)
		}
	}
}

// take puts a document in force when it is newer than the one in force.
func (c *Controller) take(document []byte, from string) {
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

// follow pulls a newer table from the node that has it.
func (c *Controller) follow(ctx context.Context, hint board.RouteTableHint) {
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
	c.take(document, hint.From)
}

// watch keeps the configuration current: a watcher reads a small document again
// and again and follows the changes of a large one, any other node asks the
// store only when it has not heard for too long, from whatever node, that the
// version in force is the newest.
func (c *Controller) watch(ctx context.Context) {
	jitter := rand.N(quietJitter)
	var offered uint64
	for ctx.Err() == nil {
		rank := c.watchRank()
		watcher, follows := rank == 0, rank <= backups
		limit := quietLimit + jitter
		if follows {
			limit = backupLimit
		}
		if age := c.board.ConfigConfirmed.Age(time.Now()); !watcher && age < limit {
			control.Sleep(ctx, min(pollEvery, limit-age))
			continue
		}
		asked := time.Now()
		entry, asOf, err := c.store.GetAsOf(ctx, platform.ConfigKey)
		if err != nil {
			c.log.Info().Err(err).Str("event", "config_unread").Bool("watcher", watcher).
				Dur("confirmed_age", c.board.ConfigConfirmed.Age(time.Now())).Send()
			control.Sleep(ctx, fleet.ReadRetry(follows, c.board.Fleet.Load().Size))
			continue
		}
		if entry.Revision > offered {
			c.offer(ctx, entry.Value)
			offered = entry.Revision
		}
		c.board.ConfigConfirmed.Advance(asked)
		pause := watchGap
		switch {
		case watcher && len(entry.Value) < smallDocument:
			pause = confirmEvery
		case watcher:
			c.followWatch(ctx, asOf)
		}
		control.Sleep(ctx, pause)
	}
}

// watchRank returns the place of this node in the order of those that follow
// the store; 0 is the watcher.
func (c *Controller) watchRank() int {
	ids := fleet.Instances(c.board.Fleet.Load(), func(r board.NodeRecord) bool { return !r.Leaving })
	if len(ids) <= 1 && time.Since(c.started) < aloneLimit {
		// A node that has just started knows no other one yet.
		return backups + 1
	}
	return fleet.WatchRank(ids, c.board.Self.Instance)
}

// followWatch follows the changes after a revision until the watch breaks or
// this node is no watcher any more.
func (c *Controller) followWatch(ctx context.Context, after uint64) {
	for ctx.Err() == nil && c.watchRank() == 0 {
		asked := time.Now()
		events, next, err := c.store.WatchPrefix(ctx, platform.ConfigKey, after, watchWait)
		if errors.Is(err, platform.ErrCompacted) {
			c.log.Info().Str("event", "watch_compacted").Uint64("after", after).Send()
			return
		}
		if err != nil {
			c.log.Info().Err(err).Str("event", "watch_broken").Uint64("after", after).Send()
			control.Sleep(ctx, fleet.RetryEvery)
			return
		}
		for i := len(events) - 1; i >= 0; i-- {
			if events[i].Key == platform.ConfigKey && !events[i].Deleted {
				c.offer(ctx, events[i].Value)
				break
			}
		}
		c.board.ConfigConfirmed.Advance(asked)
		after = next
		if len(events) > 0 {
			control.Sleep(ctx, watchGap)
		}
	}
}

func (c *Controller) offer(ctx context.Context, document []byte) {
	select {
	case c.documents <- source{document: document, from: "store"}:
	case <-ctx.Done():
	}
}
