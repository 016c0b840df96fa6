// Package configsync keeps the Config section: the newest accepted
// configuration that this node has seen. A lower version never replaces it.
package configsync

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/platform"
)

const (
	// watchWait is how long one watch waits in the store.
	watchWait = 10 * time.Second
	// retryInterval spaces the calls while the store is down.
	retryInterval = 500 * time.Millisecond
)

// Controller writes the Config section.
type Controller struct {
	writer *board.Writer[*dynconf.Config]
	store  *platform.Client
	site   string
	log    zerolog.Logger
}

// New claims the Config section for a node of a site.
func New(b *board.Board, store *platform.Client, site string, log zerolog.Logger) *Controller {
	return &Controller{writer: b.Config.Claim("configsync"), store: store, site: site, log: log}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "configsync" }

// Run implements control.Controller.
func (c *Controller) Run(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		entry, err := c.store.Watch(ctx, dynconf.CurrentKey, revision, watchWait)
		if err != nil {
			if !errors.Is(err, platform.ErrNotFound) {
				c.log.Debug().Err(err).Msg("watch on the configuration failed")
			}
			sleep(ctx, retryInterval)
			continue
		}
		if entry.Revision == revision {
			continue
		}
		revision = entry.Revision
		c.accept(entry.Value)
	}
}

func (c *Controller) accept(data []byte) {
	document, err := dynconf.DecodeDocument(data)
	if err != nil {
		c.log.Error().Err(err).Msg("refused a configuration document")
		return
	}
	current := c.writer.Load()
	if document.Version <= current.Version {
		return
	}
	config, err := document.ForSite(c.site)
	if err != nil {
		c.log.Error().Err(err).Msg("refused a configuration document")
		return
	}
	c.writer.Publish(config)
	c.log.Info().Uint64("config_version", config.Version).Str("author", document.Author).Msg("configuration in force")
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
