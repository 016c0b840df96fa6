package routefeed

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/decide/distribution"
	"mangostand.example/mangostand/pkg/guard"
	"mangostand.example/mangostand/pkg/routedoc"
)

// puller pulls newer versions from the nodes that have announced them. Only its own
// goroutine uses its fields.
type puller struct {
	controller *Controller
	// sources are the nodes that have announced a version which is not in force here.
	sources map[string]distribution.Source
	// progress holds for each pull in flight when a part of its response was last
	// received. The goroutines of the pulls write the times.
	progress map[string]*atomic.Pointer[time.Time]
	results  chan pullResult
	// crossDelay is this node's part of distribution.CrossDomainDelay.
	crossDelay time.Duration
}

// pullResult is the result of a pull.
type pullResult struct {
	addr     string
	response *PullResponse
	// document is the decompressed document, nil if the node was busy.
	document []byte
	err      error
}

// pullResultQueueSize is above the number of pulls at a time.
const pullResultQueueSize = 4

func newPuller(c *Controller) *puller {
	return &puller{
		controller: c, sources: map[string]distribution.Source{},
		progress: map[string]*atomic.Pointer[time.Time]{}, results: make(chan pullResult, pullResultQueueSize),
		crossDelay: rand.N(distribution.CrossDomainDelay),
	}
}

// run pulls newer versions until ctx is done.
func (p *puller) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case hint := <-p.controller.board.RouteTableHints.Events():
			p.addSource(hint.From, hint.Version, time.Now())
		case result := <-p.results:
			p.finishPull(ctx, result)
		case <-timer.C:
		}
		p.startPulls(ctx, timer)
	}
}

// addSource records that a node has a version.
func (p *puller) addSource(addr string, version uint64, now time.Time) {
	self := p.controller.board.Self
	if addr == "" || addr == self.PeerAddr || version <= p.controller.writer.Load().Version {
		return
	}
	source, known := p.sources[addr]
	if !known {
		source = distribution.Source{Addr: addr, SameDomain: p.inOwnDomain(addr), AnnouncedAt: now}
	}
	source.Version = max(source.Version, version)
	p.sources[addr] = source
}

// inOwnDomain reports whether the node at an address is in the failure domain of this
// node.
func (p *puller) inOwnDomain(addr string) bool {
	b := p.controller.board
	for _, endpoint := range b.Fleet.Load().ByInstance {
		if endpoint.Record.PeerAddr == addr {
			return endpoint.Record.FailureDomain == b.Self.FailureDomain
		}
	}
	return false
}

// startPulls starts the pulls that are due and sets the timer to the next decision.
func (p *puller) startPulls(ctx context.Context, timer *time.Timer) {
	version := p.controller.writer.Load().Version
	for addr, source := range p.sources {
		if source.Version <= version && source.PullingSince.IsZero() {
			delete(p.sources, addr)
		}
	}
	for {
		now := time.Now()
		sources := p.listSources()
		rand.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
		crossDelay := p.crossDelay
		if version == 0 {
			// A node that cannot serve callers yet takes the first source.
			crossDelay = 0
		}
		addr, again := distribution.Next(sources, version, crossDelay, now)
		if addr == "" {
			if !again.IsZero() {
				timer.Reset(again.Sub(now))
			}
			return
		}
		source := p.sources[addr]
		source.PullingSince = now
		p.sources[addr] = source
		progress := &atomic.Pointer[time.Time]{}
		p.progress[addr] = progress
		go p.pull(ctx, addr, func() {
			now := time.Now()
			progress.Store(&now)
		})
	}
}

// listSources returns the sources with the progress of their pulls.
func (p *puller) listSources() []distribution.Source {
	sources := slices.Collect(maps.Values(p.sources))
	for i := range sources {
		if progress := p.progress[sources[i].Addr]; progress != nil && progress.Load() != nil {
			sources[i].ProgressAt = *progress.Load()
		}
	}
	return sources
}

// pull pulls from a node and sends the result to the goroutine of the puller.
func (p *puller) pull(ctx context.Context, addr string, progress func()) {
	result := pullResult{addr: addr, err: errors.New("pull ended unexpectedly")}
	defer func() { p.results <- result }()
	defer guard.Recover(p.controller.log, "pull", nil)
	base := p.controller.board.RouteDocument.Load()
	ctx, cancel := context.WithTimeout(ctx, distribution.PullTimeout(len(base.Document)))
	defer cancel()
	request := &PullRequest{Base: base.Version, PeerAddr: p.controller.board.Self.PeerAddr}
	result.response, result.err = p.controller.pull(ctx, addr, request, progress)
	if result.err != nil || len(result.response.Data) == 0 {
		return
	}
	switch result.response.DifferenceFrom {
	case 0:
		result.document, result.err = routedoc.Decompress(result.response.Data, nil)
	case base.Version:
		result.document, result.err = routedoc.Decompress(result.response.Data, base.Document)
	default:
		result.err = errors.Errorf("difference from version %d, expected %d", result.response.DifferenceFrom, base.Version)
	}
}

// finishPull publishes the document of a pull, or records why there is none.
func (p *puller) finishPull(ctx context.Context, result pullResult) {
	c, now := p.controller, time.Now()
	source := p.sources[result.addr]
	delete(p.progress, result.addr)
	switch {
	case result.err != nil:
		c.metrics.IncrementCounter("config_pulls", map[string]string{"result": "failed"})
		c.log.Info().Err(result.err).Str("event", "config_pull_failed").Str("from", result.addr).Uint64("version", source.Version).
			Dur("took", now.Sub(source.PullingSince)).Int("failures", source.Failures+1).Send()
		p.sources[result.addr] = source.AfterFailure(now)
	case result.response.Busy:
		c.metrics.IncrementCounter("config_pulls", map[string]string{"result": "busy"})
		p.sources[result.addr] = source.AfterBusy(now)
		for _, addr := range result.response.Holders {
			p.addSource(addr, result.response.Version, now)
		}
	default:
		c.metrics.IncrementCounter("config_pulls", map[string]string{"result": "ok"})
		p.publish(ctx, result, now)
		source.PullingSince = time.Time{}
		if source.Version > c.writer.Load().Version {
			// Its document is older than what it announced, or was refused.
			source = source.AfterFailure(now)
		}
		p.sources[result.addr] = source
	}
}

// publish publishes the document of a pull.
func (p *puller) publish(ctx context.Context, result pullResult, now time.Time) {
	if result.document == nil {
		return
	}
	response := result.response
	p.controller.publish(ctx, &fetchedDocument{
		document: result.document, encoded: routedoc.Encoded{Base: response.DifferenceFrom, Data: response.Data}, from: result.addr,
		readAt: now.Add(-time.Duration(max(0, response.AgeMillis)) * time.Millisecond),
	})
}
