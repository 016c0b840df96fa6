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
	// initialPullInterval is the time between pulls while the node has no
	// configuration and cannot serve calls.
	initialPullInterval = 250 * time.Millisecond
	// wantedPullInterval is the time between pulls while the node searches for an
	// announced version.
	wantedPullInterval = 500 * time.Millisecond
	// antiEntropyInterval is the minimum time between the regular pulls, which
	// detect different content with the same version. The version numbers in ping
	// responses do not show such conflicts; they announce a higher version within
	// a second.
	antiEntropyInterval = time.Minute
	// pullRequestTimeout bounds the request to one peer, including the transfer of
	// the document.
	pullRequestTimeout = 2 * time.Second
	// wantedTTL bounds the search for an announced version. The announcement may be
	// false, or the only node that had the version may have failed.
	wantedTTL = 30 * time.Second
	// maxPeersPerPull is the largest number of peers that one pull asks.
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
	// The jitter spreads the pulls of many nodes.
	return antiEntropyInterval + time.Duration(c.random.Int64N(int64(antiEntropyInterval/2)))
}

// startPull pulls from peers in the background unless a pull is in progress.
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

// pullPlan is one pull: the peers that are asked in turn for a newer document.
type pullPlan struct {
	newest configversion.Stamp
	// stopAtVersion ends the pull as soon as a document with at least this version
	// is found.
	stopAtVersion uint64
	addrs         []string
}

// planPull chooses the peers of the next pull. A node without a configuration
// asks several peers and takes the newest document. A regular pull, which only
// compensates for lost announcements, asks one peer.
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

// runPull asks the peers of a plan in turn and returns the newest document found
// and any conflict.
func (c *Controller) runPull(ctx context.Context, plan pullPlan) event {
	result := event{pullDone: true}
	best := plan.newest.Version
	for _, addr := range plan.addrs {
		doc, err := c.requestDocument(ctx, addr, plan.newest)
		if err != nil {
			c.Log.Debug().Err(err).Str("peer", addr).Msg("configuration pull failed")
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

// RespondToPull returns the response to a pull request from the state on the
// board. If the sender has a newer version, its request is also handled as a
// rumor about that version, so that this node pulls in turn.
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

// rumorID returns the same ID on all nodes that announce the same document, so
// that the rumor spreads once.
func rumorID(stamp configversion.Stamp) string {
	return "config/" + strconv.FormatUint(stamp.Version, 10) + "/" + stamp.ChangeID
}

// NewPullHandler returns the handler of pull requests from other nodes.
func NewPullHandler(b *board.Board, peers *peer.Transport) peer.Handler {
	return func(_ context.Context, frame wire.Frame, stream *peer.Stream) error {
		peers.CountReceived(frame)
		var request wire.ConfigPull
		if err := frame.Decode(&request); err != nil {
			return errors.Trace(err)
		}
		return peers.Respond(stream, wire.TypeConfigDoc, RespondToPull(b, request))
	}
}
