// Package directory maintains the Fleet section, the view of all nodes. It
// merges the records that nodes gossip with the listings of the platform's
// store, and pushes changes to other nodes. Nodes gossip in exchanges: one sends
// a Message, the other responds with one.
package directory

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// exchangeInterval is the time between two rounds of exchanges, with random
	// nodes and with nodes that did not respond.
	exchangeInterval = 250 * time.Millisecond
	// randomExchangesPerRound is the number of random nodes in a round.
	randomExchangesPerRound = 1
	// maxUnconfirmedExchanges limits the exchanges of a round with unconfirmed
	// nodes, see startExchangeRound.
	maxUnconfirmedExchanges = 6
	// minForwardInterval is the minimum time between two pushes that forward
	// changes of other nodes. Changes that arrive in between share a message.
	minForwardInterval = 50 * time.Millisecond
	// exchangeTimeout limits one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// departedNodeTTL is how long a node is remembered after it was last alive,
	// so that stale records do not add it again.
	departedNodeTTL = time.Minute
)

// Controller merges the node records and writes the Fleet section.
type Controller struct {
	board      *board.MeshBoard
	exchange   ExchangeFunc
	loadReport func() board.LoadReport
	log        zerolog.Logger
	writer     *board.Writer[*board.Fleet]

	ownRecord board.NodeRecord
	// nodes holds the other nodes.
	nodes map[board.InstanceID]*nodeState
	// instancesByAddr holds the nodes by peer address. More than one has the
	// address of a machine that another one has replaced.
	instancesByAddr map[string][]board.InstanceID
	// pendingRecords holds records of other nodes that are forwarded when
	// forwardDue fires. lastForwardedAt is when this last happened.
	pendingRecords  []board.NodeRecord
	forwardDue      <-chan time.Time
	lastForwardedAt time.Time
	// reportedEarlier is the backend server that was last reported to
	// control/localserver, see reportEarlierServer.
	reportedEarlier *board.BackendServer
	// earlierRecordReported is set when the record that the store had of an earlier
	// process was reported to control/localserver.
	earlierRecordReported bool
	// quarantinedCount is the number of quarantined requests at the last change
	// of the Quarantine section.
	quarantinedCount int
	// pushedEvacuation is the newest value of the Evacuation section that was handled.
	pushedEvacuation *board.Evacuation
	// exchangesInFlight holds the nodes with an exchange in flight;
	// exchangesDone receives a node when its exchange ends.
	exchangesDone     chan board.InstanceID
	exchangesInFlight map[board.InstanceID]bool
}

// nodeState is what this node knows about another node.
type nodeState struct {
	endpoint    *board.MeshEndpoint
	firstSeenAt time.Time
	alive       bool
	lastAliveAt time.Time
	// wasAlive is set if this node has known the other one as alive.
	wasAlive bool
	// addressConflictAt is when another node was found at the same address, and
	// superseded is set if the other node has the later incarnation. Both apply
	// until the node itself responds.
	addressConflictAt time.Time
	superseded        bool
	// missingFromStore is set when the store does not list the node and the
	// node has not responded lately. Such a node is contacted before it is
	// dropped.
	missingFromStore bool
}

// New claims the Fleet section. The incarnation must rise with each start of
// the node.
func New(b *board.MeshBoard, incarnation uint64, exchange ExchangeFunc, load func() board.LoadReport, log zerolog.Logger) *Controller {
	c := &Controller{
		board: b, exchange: exchange, loadReport: load, log: log, writer: b.Fleet.Claim("directory"),
		ownRecord: board.NodeRecord{
			Instance: b.Self.Instance, Incarnation: incarnation, Sequence: 1, PeerAddr: b.Self.PeerAddr,
			Region: b.Self.Region, FailureDomain: b.Self.FailureDomain, Service: b.Self.Service, LinkRate: b.Self.LinkRate,
		},
		nodes: map[board.InstanceID]*nodeState{}, instancesByAddr: map[string][]board.InstanceID{},
		pushedEvacuation: b.Evacuation.Load(),
		exchangesDone:    make(chan board.InstanceID, exchangesDoneQueueSize), exchangesInFlight: map[board.InstanceID]bool{},
	}
	c.publish()
	return c
}

// exchangesDoneQueueSize is the number of ended exchanges that may wait for the
// controller.
const exchangesDoneQueueSize = 64

// Name returns the name of the controller.
func (c *Controller) Name() string { return "directory" }

// Run maintains the records until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	serverUpdates := c.board.LocalServer.Subscribe()
	shutdownUpdates := c.board.Shutdown.Subscribe()
	storeUpdates := c.board.Store.Subscribe()
	routeUpdates := c.board.Routes.Subscribe()
	quarantineUpdates := c.board.Quarantine.Subscribe()
	evacuationUpdates := c.board.Evacuation.Subscribe()
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.board.NodeRecords.Events():
			c.mergeBatches(ctx, event, time.Now())
		case <-serverUpdates:
			c.updateOwnRecord(ctx)
		case <-shutdownUpdates:
			c.updateOwnRecord(ctx)
		case <-routeUpdates:
			c.pushRecords(ctx, []board.NodeRecord{c.ownRecord}, c.board.Routes.Load().ReadFromStore)
		case <-quarantineUpdates:
			c.pushNewQuarantines(ctx, time.Now())
		case <-evacuationUpdates:
			c.pushEvacuation(ctx)
		case <-storeUpdates:
			c.mergeListing(ctx, time.Now())
		case id := <-c.exchangesDone:
			delete(c.exchangesInFlight, id)
		case now := <-c.forwardDue:
			c.forwardPending(ctx, now)
		case now := <-ticker.C:
			c.reportEarlierRecord()
			c.updateOwnRecord(ctx)
			c.updateLiveness(now)
			c.startExchangeRound(ctx)
		}
	}
}

// updateOwnRecord raises the sequence of this node's record and pushes the
// record when the backend server or the node changed.
func (c *Controller) updateOwnRecord(ctx context.Context) {
	next := c.ownRecord
	server := c.board.LocalServer.Load()
	next.ServerID, next.ServerStartMillis, next.Slots, next.State = server.ID, server.StartMillis, server.Slots, server.State
	if server.Service != "" {
		next.Service = server.Service
	}
	if server.State == board.ServerReady && !server.AcceptsCalls() {
		next.State = board.ServerUnknown
	}
	next.Leaving = c.board.Shutdown.Load().Leaving
	if contention := c.board.ServerLoad.Contention(); contention != board.ContentionUnknown {
		next.Contention = contention
	}
	if next == c.ownRecord {
		return
	}
	next.Sequence++
	c.ownRecord = next
	c.log.Info().Str("event", "own_record").Uint64("sequence", next.Sequence).Str("server", next.ServerID).
		Str("state", next.State.String()).Bool("leaving", next.Leaving).Send()
	c.publish()
	c.pushRecords(ctx, []board.NodeRecord{next}, true)
}
