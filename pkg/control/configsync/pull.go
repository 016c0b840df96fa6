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
	// initialPullInterval spaces the pulls of a node without a configuration, which
	// cannot serve a call.
	initialPullInterval = 250 * time.Millisecond
	// wantedPullInterval spaces the pulls of a version that a rumor or a peer named.
	wantedPullInterval = 500 * time.Millisecond
	// antiEntropyInterval spaces the pulls that find other content under the same
	// version, which the version numbers on ping answers do not show. A node
	// learns of higher versions from these numbers within a second.
	antiEntropyInterval = time.Minute
	// pullRequestTimeout bounds one exchange with one peer, document included.
	pullRequestTimeout = 2 * time.Second
	// wantedTTL bounds the search for a version that a rumor or a peer named,
	// which may be false or gone with its origin.
	wantedTTL = 30 * time.Second
	// maxPeersPerPull is the number of peers that one pull asks at most.
	maxPeersPerPull = 3
)

// pullInterval returns the time until the next pull.
func (c *Controller) pullInterval() time.Duration {
	switch newest := c.state.Load().Newest.Version; {
	case newest == 0:
		return initialPullInterval
	case c.wantedVersion > newest:
		return wantedPullInterval
	}
	// The jitter keeps the pulls of many nodes apart.
	return antiEntropyInterval + time.Duration(c.random.Int64N(int64(antiEntropyInterval/2)))
}

// startPull asks peers for a newer document unless a pull is running.
func (c *Controller) startPull(ctx context.Context) {
	if c.pulling {
		return
	}
	plan := c.planPull()
	if len(plan.addrs) == 0 {
		return
	}
	c.pulling = true
	go func() { c.deliver(ctx, c.runPull(ctx, plan)) }()
}

// pullPlan is one round of questions to peers.
type pullPlan struct {
	newest configversion.Stamp
	// stopAtVersion ends the round early once a document of this version was found.
	stopAtVersion uint64
	addrs         []string
}

// planPull plans a round. A node without a configuration compares several
// peers, one that only makes up for lost rumors asks one.
func (c *Controller) planPull() pullPlan {
	newest := c.state.Load().Newest
	plan := pullPlan{newest: newest, stopAtVersion: math.MaxUint64}
	limit := maxPeersPerPull
	switch {
	case c.wantedVersion > newest.Version:
		plan.stopAtVersion = c.wantedVersion
	case newest.Version > 0:
		limit = 1
	}
	plan.addrs = configversion.PullOrder(c.PullSources(), max(c.wantedVersion, newest.Version), c.wantedOrigin, limit, c.random)
	return plan
}

// runPull asks peers in turn and returns the newest document that they have.
func (c *Controller) runPull(ctx context.Context, plan pullPlan) event {
	result := event{pullDone: true}
	best := plan.newest.Version
	for _, addr := range plan.addrs {
		doc, err := c.requestDocument(ctx, addr, plan.newest)
		if err != nil {
			c.Log.Debug().Err(err).Str("peer", addr).Msg("configuration not pulled")
			continue
		}
		if doc.Version == plan.newest.Version && doc.ChangeID != plan.newest.ChangeID {
			result.conflicting = configversion.Stamp{Version: doc.Version, ChangeID: doc.ChangeID}
		}
		if len(doc.Document) > 0 && doc.Version > best {
			best, result.data = doc.Version, doc.Document
		}
		if best >= plan.stopAtVersion {
			break
		}
	}
	return result
}

func (c *Controller) requestDocument(ctx context.Context, addr string, newest configversion.Stamp) (wire.ConfigDoc, error) {
	ctx, cancel := context.WithTimeout(ctx, pullRequestTimeout)
	defer cancel()
	var doc wire.ConfigDoc
	request := wire.ConfigPull{Version: newest.Version, ChangeID: newest.ChangeID, Addr: c.Addr}
	err := c.Peers.Exchange(ctx, addr, wire.TypeConfigPull, request, wire.TypeConfigDoc, &doc)
	return doc, errors.Trace(err)
}

// RespondToPull answers a pull from the board. A sender with a newer version is taken
// as a rumor, so that one exchange brings both sides up to date.
func RespondToPull(b *board.Board, request wire.ConfigPull) wire.ConfigDoc {
	state := b.ConfigState.Load()
	doc := wire.ConfigDoc{Version: state.Newest.Version, ChangeID: state.Newest.ChangeID}
	if state.Newest.Version > request.Version {
		doc.Document = state.Document
	}
	if request.Version > state.Newest.Version && request.Addr != "" {
		postConfigRumor(b, request)
	}
	return doc
}

func postConfigRumor(b *board.Board, request wire.ConfigPull) {
	stamp := configversion.Stamp{Version: request.Version, ChangeID: request.ChangeID}
	payload, err := wire.EncodeConfigRumor(wire.ConfigRumor{Version: stamp.Version, ChangeID: stamp.ChangeID, Addr: request.Addr})
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
		var request wire.ConfigPull
		if err := frame.Decode(&request); err != nil {
			return errors.Trace(err)
		}
		return peers.Answer(stream, wire.TypeConfigDoc, RespondToPull(b, request))
	}
}
