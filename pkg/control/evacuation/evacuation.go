// Package evacuation maintains the Evacuation section, the set of evacuated failure
// domains. It merges what control/routefeed reads from the platform's store with what
// other nodes pass on. Package decide/evacuation decides how.
package evacuation

import (
	"context"
	"slices"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/evacuation"
	"mangostand.example/mangostand/pkg/metrics"
)

// Controller writes the Evacuation section.
type Controller struct {
	board   *board.MeshBoard
	metrics *metrics.MeshMetrics
	log     zerolog.Logger
	writer  *board.Writer[*board.Evacuation]
	// unknown holds the evacuated domains without a node that were logged.
	unknown []string
}

// New claims the Evacuation section.
func New(b *board.MeshBoard, counters *metrics.MeshMetrics, log zerolog.Logger) *Controller {
	return &Controller{board: b, metrics: counters, log: log, writer: b.Evacuation.Claim("evacuation")}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "evacuation" }

// Run merges states until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.board.Evacuations.Events():
			c.merge(event)
			if event.Handled != nil {
				close(event.Handled)
			}
		}
	}
}

// merge publishes the state that follows from the section and a received state.
func (c *Controller) merge(event board.EvacuationEvent) {
	current, received := c.writer.Load(), *event.State
	known := decide.KnownDomains(c.board.Self.FailureDomain, c.board.Fleet.Load())
	exists := func(domain string) bool { return known[domain] }
	var dropped int
	received.Domains, dropped = decide.Bound(received.Domains, exists)
	fromStore := event.From == ""
	decided := decide.Merge(current, &received)
	if fromStore {
		decided = decide.Apply(current, &received)
	}
	if decided == current {
		return
	}
	next := *decided
	next.ReadFromStore = fromStore
	next.Domains, _ = decide.Bound(next.Domains, exists)
	if next.Compare(current) == 0 && slices.Equal(next.Domains, current.Domains) {
		return
	}
	c.logUnknownDomains(next.Domains, exists)
	c.writer.Publish(&next)
	c.metrics.RecordEvacuation(len(next.Domains), next.Era, fromStore)
	c.log.Info().Str("event", "evacuation").Strs("domains", next.Domains).Strs("before", current.Domains).
		Uint64("era", next.Era).Uint64("revision", next.Revision).Uint64("era_before", current.Era).Uint64("revision_before", current.Revision).
		Strs("received_domains", received.Domains).Uint64("received_era", received.Era).Uint64("received_revision", received.Revision).
		Bool("settled", received.Settled).Int("dropped", dropped).Str("from", event.From).Send()
}

// logUnknownDomains logs evacuated domains in which no node is known. They have no
// effect, since no backend server is in them.
func (c *Controller) logUnknownDomains(domains []string, exists func(string) bool) {
	unknown := slices.DeleteFunc(slices.Clone(domains), exists)
	if len(unknown) > 0 && !slices.Equal(unknown, c.unknown) {
		c.log.Warn().Str("event", "evacuation_unknown_domain").Strs("domains", unknown).Msg("no node is known in these failure domains")
	}
	c.unknown = unknown
}
