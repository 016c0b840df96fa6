// Package routefeed keeps the routing configuration up to date: it reads and
// watches the platform's store and pulls newer versions from other nodes. It
// writes the Routes section, whose version never decreases, and the sections
// RouteDocument and IdleTimeouts, which belong to it. The evacuated failure domains,
// which the same reads return, go to control/evacuation.
//
// One node, the watcher, reads the store continuously. It confirms that the
// version in force is the newest one, and the nodes pass the confirmation on to
// each other. The other nodes read the store only when confirmations stop: first
// the backups of the watcher, then all the others, the followers.
package routefeed

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/evacuation"
	"mangostand.example/mangostand/pkg/decide/idle"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/metrics"
	"mangostand.example/mangostand/pkg/routedoc"
	"mangostand.example/mangostand/platform"
)

// Store is the part of the store's client that the controller uses.
type Store interface {
	ReadOperatorState(ctx context.Context) (platform.OperatorState, error)
	WatchOperatorState(ctx context.Context, after platform.OperatorState, wait time.Duration) (platform.OperatorState, error)
}

// PullFunc asks the node at an address for its configuration. It calls progress with
// each part of the response that it receives.
type PullFunc func(ctx context.Context, addr string, request *PullRequest, progress func()) (*PullResponse, error)

// Options are the settings of the controller.
type Options struct {
	// Bootstrap is true when the whole deployment starts for the first time.
	Bootstrap bool
	// RevocationTime is the time in which a withdrawn API key is void on every node, 0
	// for no such limit.
	RevocationTime time.Duration
}

// Controller writes the Routes section.
type Controller struct {
	board   *board.MeshBoard
	store   Store
	pull    PullFunc
	metrics *metrics.MeshMetrics
	log     zerolog.Logger

	writer *board.Writer[*dynconf.RouteTable]
	// documentWriter writes the RouteDocument section, idleTimeouts the IdleTimeouts
	// section.
	documentWriter *board.Writer[*routedoc.Set]
	idleTimeouts   *board.Writer[idle.Timeouts]

	started time.Time
	options Options
	// stability belongs to syncWithStore.
	stability evacuation.Stability
	// documents passes documents to Run, which publishes them.
	documents chan *fetchedDocument
}

// fetchedDocument is an undecoded configuration and where it comes from.
type fetchedDocument struct {
	document []byte
	// encoded is the form in which another node sent the document, empty if it was
	// read from the store.
	encoded routedoc.Encoded
	from    string
	// readAt is when the first node read this version from the store.
	readAt time.Time
	// handled is closed when the document was published or refused.
	handled chan struct{}
}

// New claims the sections.
func New(b *board.MeshBoard, store Store, pull PullFunc, options Options, counters *metrics.MeshMetrics, log zerolog.Logger) *Controller {
	return &Controller{
		board: b, store: store, pull: pull, metrics: counters, log: log, writer: b.Routes.Claim("routefeed"),
		documentWriter: b.RouteDocument.Claim("routefeed"), idleTimeouts: b.IdleTimeouts.Claim("routefeed"),
		started: time.Now(), options: options, documents: make(chan *fetchedDocument),
	}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "routefeed" }

// Run keeps the configuration up to date until ctx is done. Reads of the store and
// pulls from other nodes run beside it, so that neither waits for the other.
func (c *Controller) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.syncWithStore(ctx)
	go newPuller(c).run(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case fetched := <-c.documents:
			c.apply(fetched)
			close(fetched.handled)
		}
	}
}

// publish hands a document to Run and waits until it was published or refused.
func (c *Controller) publish(ctx context.Context, fetched *fetchedDocument) {
	fetched.handled = make(chan struct{})
	select {
	case c.documents <- fetched:
	case <-ctx.Done():
		return
	}
	select {
	case <-fetched.handled:
	case <-ctx.Done():
	}
}

// fromStore is the source of a document that was read from the store; other
// sources are the peer addresses of nodes.
const fromStore = "store"

// apply decodes a document and publishes it if it is newer than the one in force.
func (c *Controller) apply(fetched *fetchedDocument) {
	started := time.Now()
	table, adjusted, err := platform.DecodeTable(fetched.document)
	if err != nil {
		c.metrics.IncrementCounter("config_refused", nil)
		c.log.Error().Err(err).Str("event", "config_refused").Str("from", fetched.from).Msg("cannot decode configuration, keeping the one in force")
		return
	}
	before := c.writer.Load()
	current := before.Version
	if table.Version <= current {
		return
	}
	table.KeysWithdrawn = !table.RequiresKeys && (before.RequiresKeys || before.KeysWithdrawn)
	table.ReadFromStore = fetched.from == fromStore
	c.idleTimeouts.Publish(c.idleTimeouts.Load().With(table.Limits.IdleTimeout, time.Now()))
	c.documentWriter.Publish(routedoc.NewSet(table.Version, fetched.document, fetched.encoded, fetched.readAt, c.documentWriter.Load()))
	c.writer.Publish(table)
	now := time.Now()
	c.metrics.RecordConfigAge(now.Sub(fetched.readAt))
	c.log.Info().Str("event", "config").Uint64("version", table.Version).Uint64("before", current).Str("from", fetched.from).
		Int("bytes", len(fetched.document)).Int("received_bytes", len(fetched.encoded.Data)).Uint64("difference_from", fetched.encoded.Base).
		Dur("decoded_in", now.Sub(started)).Dur("age", now.Sub(fetched.readAt)).Send()
	for _, entry := range adjusted[:min(len(adjusted), maxLoggedEntries)] {
		c.log.Warn().Str("event", "config_entry_adjusted").Uint64("version", table.Version).Int("entries", len(adjusted)).Msg(entry)
	}
}

// maxLoggedEntries bounds the log lines about entries of one document. "mangostand config
// check" shows all of them.
const maxLoggedEntries = 20
