package configsync

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/configversion"
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// startInterval spaces the pulls of a node without a configuration, which
	// cannot serve a call.
	startInterval = 250 * time.Millisecond
	// wantedInterval spaces the pulls of a version that a rumor or a peer named.
	wantedInterval = 500 * time.Millisecond
	// exchangeInterval spaces the pulls that find other content under the same
	// version, which the version numbers on ping answers do not show. A node
	// learns of higher versions from these numbers within a second.
	exchangeInterval = time.Minute
	// pullTimeout bounds one exchange with one peer, document included.
	pullTimeout = 2 * time.Second
	// wantedFor bounds the search for a version that a rumor or a peer named,
	// which may be false or gone with its origin.
	wantedFor = 30 * time.Second
	// peersPerPull is the number of peers that one pull asks at most.
	peersPerPull = 3
)

// pullInterval returns the time until the next pull.
func (c *Controller) pullInterval() time.Duration {
	switch newest := c.state.Load().Newest.Version; {
	case newest == 0:
		return startInterval
	case c.wanted > newest:
		return wantedInterval
	}
	// The jitter keeps the pulls of many nodes apart.
	return exchangeInterval + time.Duration(c.random.Int64N(int64(exchangeInterval/2)))
}

// startPull asks peers for a newer document unless a pull is running.
func (c *Controller) startPull(ctx context.Context) {
	if c.pulling {
		return
	}
	job := c.nextPull()
	if len(job.order) == 0 {
		return
	}
	c.pulling = true
	go func() { c.deliver(ctx, c.pull(ctx, job)) }()
}

// pullJob is one round of questions to peers.
type pullJob struct {
	newest configversion.Stamp
	// enough ends the round early once a document of this version was found.
	enough uint64
	order  []string
}

// nextPull plans a round. A node without a configuration compares several
// peers, one that only makes up for lost rumors asks one.
func (c *Controller) nextPull() pullJob {
	newest := c.state.Load().Newest
	job := pullJob{newest: newest, enough: math.MaxUint64}
	limit := peersPerPull
	switch {
	case c.wanted > newest.Version:
		job.enough = c.wanted
	case newest.Version > 0:
		limit = 1
	}
	job.order = configversion.PullOrder(c.PullSources(), max(c.wanted, newest.Version), c.origin, limit, c.random)
	return job
}

// pull asks peers in turn and returns the newest document that they have.
func (c *Controller) pull(ctx context.Context, job pullJob) event {
	found := event{pulled: true}
	best := job.newest.Version
	for _, addr := range job.order {
		doc, err := c.ask(ctx, addr, job.newest)
		if err != nil {
			c.Log.Debug().Err(err).Str("peer", addr).Msg("configuration not pulled")
			continue
		}
		if doc.Version == job.newest.Version && doc.ChangeID != job.newest.ChangeID {
			found.rival = configversion.Stamp{Version: doc.Version, ChangeID: doc.ChangeID}
		}
		if len(doc.Document) > 0 && doc.Version > best {
			best, found.data = doc.Version, doc.Document
		}
		if best >= job.enough {
			break
		}
	}
	return found
}

func (c *Controller) ask(ctx context.Context, addr string, newest configversion.Stamp) (wire.ConfigDoc, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var doc wire.ConfigDoc
	question := wire.ConfigPull{Version: newest.Version, ChangeID: newest.ChangeID, Addr: c.Addr}
	err := c.Peers.Exchange(ctx, addr, wire.TypeConfigPull, question, wire.TypeConfigDoc, &doc)
	return doc, errors.Trace(err)
}

// Answer answers a pull from the board. A sender with a newer version is taken
// as a rumor, so that one exchange brings both sides up to date.
func Answer(b *board.Board, question wire.ConfigPull) wire.ConfigDoc {
	state := b.ConfigState.Load()
	doc := wire.ConfigDoc{Version: state.Newest.Version, ChangeID: state.Newest.ChangeID}
	if state.Newest.Version > question.Version {
		doc.Document = state.Document
	}
	if question.Version > state.Newest.Version && question.Addr != "" {
		postRumor(b, question)
	}
	return doc
}

func postRumor(b *board.Board, question wire.ConfigPull) {
	stamp := configversion.Stamp{Version: question.Version, ChangeID: question.ChangeID}
	payload, err := wire.EncodeConfigRumor(wire.ConfigRumor{Version: stamp.Version, ChangeID: stamp.ChangeID, Addr: question.Addr})
	if err == nil {
		b.ConfigRumors.Post(board.Rumor{Kind: board.RumorConfig, ID: rumorID(stamp), Payload: payload})
	}
}

// rumorID is the same for all nodes that announce one accepted document.
func rumorID(stamp configversion.Stamp) string {
	return "config/" + strconv.FormatUint(stamp.Version, 10) + "/" + stamp.ChangeID
}

// NewPullHandler answers pulls from other nodes.
func NewPullHandler(b *board.Board, peers *peer.Transport) peer.Handler {
	return func(_ context.Context, frame wire.Frame, stream *peer.Stream) error {
		peers.CountReceived(frame)
		var question wire.ConfigPull
		if err := frame.Decode(&question); err != nil {
			return errors.Trace(err)
		}
		return peers.Respond(stream, wire.TypeConfigDoc, Answer(b, question))
	}
}
