// Package directory knows the nodes of the fleet. It merges what nodes tell
// each other with the listings of the platform's store, spreads changes, and is
// the writer of the section Fleet.
package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/concurrency"
	"mangostand.example/mangostand/pkg/decide/fleet"
	"mangostand.example/mangostand/pkg/decide/quarantine"
)

const (
	// exchangeInterval spaces the exchanges with random nodes and the questions to nodes
	// that did not answer.
	exchangeInterval = 250 * time.Millisecond
	// randomExchangesPerRound is the number of nodes asked in each tick.
	randomExchangesPerRound = 1
	// maxUnconfirmedExchanges bounds the questions to silent nodes in each tick.
	maxUnconfirmedExchanges = 6
	// sameDomainProbability is the part of the random exchanges that stay in the
	// failure domain, where bytes cost nothing.
	sameDomainProbability = 0.75
	// pushFanout is the number of nodes that a change is passed on to at once.
	pushFanout = 4
	// minForwardInterval spaces the messages that pass on changes of other nodes. Changes
	// that arrive meanwhile share a message.
	minForwardInterval = 50 * time.Millisecond
	// exchangeTimeout bounds an exchange.
	exchangeTimeout = 400 * time.Millisecond
	// departedNodeTTL is how long a node that left is remembered, so that older
	// records do not bring it back.
	departedNodeTTL = time.Minute
)

// Message is what two nodes tell each other.
type Message struct {
	From     board.InstanceID   `cbor:"1,keyasint"`
	PeerAddr string             `cbor:"2,keyasint"`
	Records  []board.NodeRecord `cbor:"3,keyasint"`
	// Digests are those of all records of the sender.
	Digests []uint32 `cbor:"4,keyasint"`
	// Config is what the sender knows of the configuration.
	Config board.ConfigWord `cbor:"5,keyasint"`
	// Load is the sender's load.
	Load board.LoadReport `cbor:"6,keyasint"`
	// Suspicions concern requests that crash backend servers; SuspicionDigests
	// are those of all that the sender knows.
	Suspicions       []board.Suspicion `cbor:"7,keyasint,omitempty"`
	SuspicionDigests []uint32          `cbor:"8,keyasint,omitempty"`
}

// ExchangeFunc sends a message to a node and returns its answer.
type ExchangeFunc func(ctx context.Context, addr string, m *Message) (*Message, error)

// Controller keeps the records.
type Controller struct {
	board      *board.Mesh
	exchange   ExchangeFunc
	loadReport func() board.LoadReport
	log        zerolog.Logger
	writer     *board.Writer[*board.Fleet]

	ownRecord board.NodeRecord
	nodes     map[board.InstanceID]*nodeState
	// pendingRecords holds records of other nodes that are to be passed on when flush
	// fires; spreadAt is when that was done last.
	pendingRecords  []board.NodeRecord
	forwardDue      <-chan time.Time
	lastForwardedAt time.Time
	// quarantinedCount is the number of quarantined requests that others were told of.
	quarantinedCount int
	// busy holds the nodes with an exchange under way.
	exchangesDone     chan board.InstanceID
	exchangesInFlight map[board.InstanceID]bool
}

// nodeState is one other node.
type nodeState struct {
	endpoint    *board.MeshCell
	firstSeenAt time.Time
	alive       bool
	lastAliveAt time.Time
	// addressConflictAt is when another node was found to have the same address, and
	// overtaken whether that one is later; they count until this one answers.
	addressConflictAt time.Time
	superseded        bool
	// missingFromStore is set when the store does not list the node and it was not heard
	// lately; it is asked before it is given up.
	missingFromStore bool
}

// New claims the section. The incarnation rises with each start of the node.
func New(b *board.Mesh, incarnation uint64, exchange ExchangeFunc, load func() board.LoadReport, log zerolog.Logger) *Controller {
	c := &Controller{
		board: b, exchange: exchange, loadReport: load, log: log, writer: b.Fleet.Claim("directory"),
		ownRecord: board.NodeRecord{
			Instance: b.Self.Instance, Incarnation: incarnation, Sequence: 1, PeerAddr: b.Self.PeerAddr,
			Region: b.Self.Region, FailureDomain: b.Self.FailureDomain, Service: b.Self.Service, LinkRate: b.Self.LinkRate,
		},
		nodes:         map[board.InstanceID]*nodeState{},
		exchangesDone: make(chan board.InstanceID, exchangesDoneQueueSize), exchangesInFlight: map[board.InstanceID]bool{},
	}
	c.publish()
	return c
}

// exchangesDoneQueueSize holds the ends of exchanges until the controller takes them.
const exchangesDoneQueueSize = 64

// Name returns the name of the controller.
func (c *Controller) Name() string { return "directory" }

// Run keeps the records until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	serverUpdates := c.board.Server.Subscribe()
	shutdownUpdates := c.board.Stopping.Subscribe()
	storeUpdates := c.board.Store.Subscribe()
	routeUpdates := c.board.Routes.Subscribe()
	quarantineUpdates := c.board.Quarantine.Subscribe()
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.board.Records.Events():
			c.mergeRecords(ctx, event, time.Now())
		case <-serverUpdates:
			c.updateOwnRecord(ctx)
		case <-shutdownUpdates:
			c.updateOwnRecord(ctx)
		case <-routeUpdates:
			c.push(ctx, []board.NodeRecord{c.ownRecord})
		case <-quarantineUpdates:
			c.pushNewQuarantines(ctx, time.Now())
		case <-storeUpdates:
			c.mergeListing(ctx, time.Now())
		case id := <-c.exchangesDone:
			delete(c.exchangesInFlight, id)
		case now := <-c.forwardDue:
			c.forwardPending(ctx, now)
		case now := <-ticker.C:
			c.updateOwnRecord(ctx)
			c.updateLiveness(now)
			c.startExchangeRound(ctx)
		}
	}
}

// updateOwnRecord raises the own record when the backend server or the node changed.
func (c *Controller) updateOwnRecord(ctx context.Context) {
	next := c.ownRecord
	server := c.board.Server.Load()
	next.ServerID, next.Born, next.Slots, next.State = server.ID, server.Born, server.Slots, server.State
	if server.Service != "" {
		next.Service = server.Service
	}
	if server.Down {
		next.State = board.ServerUnknown
	}
	next.Leaving = c.board.Stopping.Load().Leaving
	if found := c.board.Pulse.Crowding(); found != board.CrowdingUnknown {
		next.Crowding = found
	}
	if next == c.ownRecord {
		return
	}
	next.Sequence++
	c.ownRecord = next
	c.log.Info().Str("event", "own_record").Uint64("sequence", next.Sequence).Str("server", next.ServerID).
		Str("state", next.State.String()).Bool("leaving", next.Leaving).Send()
	c.publish()
	c.push(ctx, []board.NodeRecord{next})
}

// mergeRecords takes records of another node or of the store and passes on the newer
// ones.
func (c *Controller) mergeRecords(ctx context.Context, event board.RecordsEvent, now time.Time) {
	var newer []board.NodeRecord
	for _, record := range event.Records {
		if !c.mergeRecord(record, now) {
			continue
		}
		if record.Instance == c.ownRecord.Instance {
			record = c.ownRecord
		}
		newer = append(newer, record)
	}
	if len(newer) == 0 {
		return
	}
	c.publish()
	if event.From == "" {
		return
	}
	c.pendingRecords = append(c.pendingRecords, newer...)
	switch wait := minForwardInterval - now.Sub(c.lastForwardedAt); {
	case wait <= 0:
		c.forwardPending(ctx, now)
	case c.forwardDue == nil:
		c.forwardDue = time.After(wait)
	}
}

// forwardPending spreads the news of other nodes.
func (c *Controller) forwardPending(ctx context.Context, now time.Time) {
	c.push(ctx, c.pendingRecords)
	c.pendingRecords, c.forwardDue, c.lastForwardedAt = nil, nil, now
}

// mergeRecord takes a record and reports whether it is news.
func (c *Controller) mergeRecord(record board.NodeRecord, now time.Time) bool {
	if record.Instance == c.ownRecord.Instance {
		return c.restoreContention(record) || c.refute(record)
	}
	current := c.nodes[record.Instance]
	if current != nil && !record.Newer(current.endpoint.Record) {
		return false
	}
	node := &nodeState{firstSeenAt: now, alive: !record.Leaving, lastAliveAt: now}
	endpoint := &board.MeshCell{Record: record, Figures: &board.Figures{}, Reach: &board.Reach{}}
	if current != nil {
		node.firstSeenAt = current.firstSeenAt
		endpoint.Reach = current.endpoint.Reach
		// A restarted node counts its load reports anew.
		if current.endpoint.Record.Incarnation == record.Incarnation && current.endpoint.Record.ServerID == record.ServerID &&
			current.endpoint.Record.Born == record.Born {
			endpoint.Figures = current.endpoint.Figures
		}
		if record.Incarnation != current.endpoint.Record.Incarnation || record.PeerAddr != current.endpoint.Record.PeerAddr {
			endpoint.Reach = &board.Reach{}
		}
	}
	node.endpoint = endpoint
	c.nodes[record.Instance] = node
	c.detectAddressConflicts(record, now)
	c.log.Info().Str("event", "node_record").Str("node", string(record.Instance)).Uint64("incarnation", record.Incarnation).
		Uint64("sequence", record.Sequence).Str("service", record.Service).Str("server", record.ServerID).
		Str("state", record.State.String()).Bool("leaving", record.Leaving).Send()
	return true
}

// detectAddressConflicts doubts the other nodes at the address of a record. The later one is
// believed, but incarnations are times of day, so that contact has the last
// word and both are asked.
func (c *Controller) detectAddressConflicts(record board.NodeRecord, now time.Time) {
	for id, node := range c.nodes {
		other := node.endpoint.Record
		if id == record.Instance || other.PeerAddr != record.PeerAddr {
			continue
		}
		node.addressConflictAt, node.superseded = now, other.Incarnation < record.Incarnation
		if node.superseded {
			node.alive = false
			c.log.Info().Str("event", "node_overtaken").Str("node", string(id)).Str("by", string(record.Instance)).
				Str("addr", record.PeerAddr).Send()
		}
	}
}

// hasAddressConflict reports whether another node may have the address.
func (n *nodeState) hasAddressConflict() bool {
	return !n.addressConflictAt.IsZero() && !n.endpoint.Reach.HeardSince(n.addressConflictAt)
}

// restoreContention takes over what this node found out in an earlier life.
func (c *Controller) restoreContention(record board.NodeRecord) bool {
	if c.ownRecord.Crowding != board.CrowdingUnknown || record.Crowding == board.CrowdingUnknown || record.Service != c.ownRecord.Service {
		return false
	}
	c.refute(record)
	c.ownRecord.Crowding = record.Crowding
	c.ownRecord.Sequence++
	c.log.Info().Str("event", "crowding_recalled").Uint8("crowding", uint8(record.Crowding)).Uint64("incarnation", record.Incarnation).Send()
	return true
}

// refute raises the own incarnation above a record of an earlier life, which a
// clock that went back may have left.
func (c *Controller) refute(record board.NodeRecord) bool {
	if record == c.ownRecord || !record.Newer(c.ownRecord) {
		return false
	}
	c.ownRecord.Incarnation = record.Incarnation + 1
	c.ownRecord.Sequence = 1
	c.log.Warn().Str("event", "own_record_refuted").Uint64("incarnation", c.ownRecord.Incarnation).Send()
	return true
}

// mergeListing merges the newest listing of the store.
func (c *Controller) mergeListing(ctx context.Context, now time.Time) {
	store := c.board.Store.Load()
	records := make([]board.NodeRecord, 0, len(store.Listed))
	for _, record := range store.Listed {
		records = append(records, record)
	}
	c.mergeRecords(ctx, board.RecordsEvent{Records: records}, now)
}

// updateLiveness decides which nodes are alive.
func (c *Controller) updateLiveness(now time.Time) {
	store := c.board.Store.Load()
	settled := store.Reachable && !store.ListedAt.IsZero() && store.ListedAt.Sub(store.Since) >= fleet.ReregistrationGrace
	changed := false
	for id, node := range c.nodes {
		_, listed := store.Listed[id]
		fresh := settled && store.ListedAt.After(node.firstSeenAt)
		alive := fleet.Alive(fleet.Evidence{
			Listed: listed, ListingFresh: fresh,
			Responsive: node.endpoint.Reach.HeardSince(now.Add(-fleet.UnresponsiveTimeout)),
			Leaving:    node.endpoint.Record.Leaving, Replaced: node.endpoint.Reach.Replaced() || node.superseded && node.hasAddressConflict(),
			KnownFor: now.Sub(node.firstSeenAt), LastExchangeFailed: node.endpoint.Reach.Suspected(),
		})
		node.missingFromStore = fresh && !listed && !node.endpoint.Reach.HeardSince(now.Add(-fleet.UnresponsiveTimeout))
		if alive {
			node.lastAliveAt = now
		}
		if alive != node.alive {
			node.alive = alive
			changed = true
			c.log.Info().Str("event", "node_alive").Str("node", string(id)).Bool("alive", alive).Bool("listed", listed).
				Bool("listing_settled", settled).Time("listed_at", store.ListedAt).Send()
		}
		if !alive && now.Sub(node.lastAliveAt) > departedNodeTTL {
			delete(c.nodes, id)
		}
	}
	if changed {
		c.publish()
	}
}

// publish makes a new view of the fleet.
func (c *Controller) publish() {
	next := &board.Fleet{
		ByInstance: map[board.InstanceID]*board.MeshCell{}, ByService: map[string][]*board.MeshCell{}, Size: 1,
	}
	previous := c.writer.Load().ByInstance[c.ownRecord.Instance]
	if previous == nil || previous.Record.ServerID != c.ownRecord.ServerID || previous.Record.Born != c.ownRecord.Born {
		previous = &board.MeshCell{Figures: &board.Figures{}, Reach: &board.Reach{}}
	}
	ownEndpoint := &board.MeshCell{Record: c.ownRecord, Figures: previous.Figures, Reach: previous.Reach}
	records := []board.NodeRecord{c.ownRecord}
	addEndpoint(next, ownEndpoint)
	for _, node := range c.nodes {
		if !node.alive {
			continue
		}
		records = append(records, node.endpoint.Record)
		next.Size++
		addEndpoint(next, node.endpoint)
	}
	next.Digests = fleet.BucketDigests(records)
	next.Crowding = concurrency.MajorityDecision(records, c.ownRecord.Service)
	if next.Crowding == board.CrowdingUnknown {
		next.Crowding = c.writer.Load().Crowding
	}
	c.writer.Publish(next)
}

func addEndpoint(view *board.Fleet, endpoint *board.MeshCell) {
	view.ByInstance[endpoint.Record.Instance] = endpoint
	if endpoint.Record.Takes() {
		view.ByService[endpoint.Record.Service] = append(view.ByService[endpoint.Record.Service], endpoint)
	}
}

// startExchangeRound exchanges with random nodes and with those that did not answer.
func (c *Controller) startExchangeRound(ctx context.Context) {
	var sameDomain, otherDomain, unconfirmed []board.InstanceID
	for id, node := range c.nodes {
		if node.endpoint.Record.Leaving || node.endpoint.Reach.Replaced() {
			continue
		}
		if node.hasAddressConflict() || node.missingFromStore || node.endpoint.Reach.Suspected() || !node.endpoint.Reach.HeardSince(time.Time{}) {
			unconfirmed = append(unconfirmed, id)
		}
		if node.endpoint.Record.FailureDomain == c.ownRecord.FailureDomain {
			sameDomain = append(sameDomain, id)
		} else {
			otherDomain = append(otherDomain, id)
		}
	}
	candidates := otherDomain
	if len(otherDomain) == 0 || len(sameDomain) > 0 && rand.Float64() < sameDomainProbability {
		candidates = sameDomain
	}
	shuffle(candidates)
	shuffle(unconfirmed)
	targets := append(candidates[:min(len(candidates), randomExchangesPerRound)], unconfirmed[:min(len(unconfirmed), maxUnconfirmedExchanges)]...)
	for _, id := range targets {
		c.startExchange(ctx, c.nodes[id], []board.NodeRecord{c.ownRecord})
	}
}

func shuffle(ids []board.InstanceID) {
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

// push passes news on to some nodes at once.
func (c *Controller) push(ctx context.Context, records []board.NodeRecord) {
	var ids []board.InstanceID
	for id, node := range c.nodes {
		if node.alive && !node.endpoint.Record.Leaving && !c.exchangesInFlight[id] {
			ids = append(ids, id)
		}
	}
	shuffle(ids)
	for _, id := range ids[:min(len(ids), pushFanout)] {
		c.startExchange(ctx, c.nodes[id], records)
	}
}

// pushNewQuarantines tells some nodes at once when more requests are refused.
// Suspicions that refuse nothing yet wait for the exchanges of each tick.
func (c *Controller) pushNewQuarantines(ctx context.Context, now time.Time) {
	quarantined := len(quarantine.QuarantinedReports(c.board.Quarantine.Load(), now))
	if quarantined > c.quarantinedCount {
		c.push(ctx, []board.NodeRecord{c.ownRecord})
	}
	c.quarantinedCount = quarantined
}

// startExchange starts an exchange with a node. Its answer comes back through the inbox.
func (c *Controller) startExchange(ctx context.Context, node *nodeState, records []board.NodeRecord) {
	id := node.endpoint.Record.Instance
	if c.exchangesInFlight[id] {
		return
	}
	c.exchangesInFlight[id] = true
	now := time.Now()
	message := newMessage(c.board, c.loadReport(), now)
	message.Records = records
	message.Suspicions = quarantine.QuarantinedReports(c.board.Quarantine.Load(), now)
	go c.runExchange(ctx, node.endpoint, message)
}

func (c *Controller) runExchange(ctx context.Context, endpoint *board.MeshCell, message *Message) {
	defer func() {
		select {
		case c.exchangesDone <- endpoint.Record.Instance:
		case <-ctx.Done():
		}
	}()
	exchangeCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := c.exchange(exchangeCtx, endpoint.Record.PeerAddr, message)
	if err != nil {
		if ctx.Err() == nil {
			endpoint.Reach.Failed()
			c.log.Debug().Err(err).Str("event", "exchange_failed").Str("node", string(endpoint.Record.Instance)).Send()
		}
		return
	}
	if answer.From != endpoint.Record.Instance {
		endpoint.Reach.SetReplaced()
		c.log.Info().Str("event", "node_replaced").Str("node", string(endpoint.Record.Instance)).Str("by", string(answer.From)).Send()
	} else {
		endpoint.Reach.Heard(time.Now())
	}
	Dispatch(c.board, answer)
}

// newMessage returns a message with what it always says.
func newMessage(b *board.Mesh, load board.LoadReport, now time.Time) *Message {
	return &Message{
		From: b.Self.Instance, PeerAddr: b.Self.PeerAddr, Digests: b.Fleet.Load().Digests, Config: b.ConfigWord(now),
		Load: load, SuspicionDigests: b.Quarantine.Load().Digests,
	}
}

// Dispatch posts what a message says to the controllers that it concerns.
func Dispatch(b *board.Mesh, m *Message) {
	if len(m.Records) > 0 {
		b.Records.Post(board.RecordsEvent{Records: m.Records, From: m.From})
	}
	if len(m.Suspicions) > 0 {
		b.Suspicions.Post(m.Suspicions)
	}
	b.HeardConfig(m.Config, m.PeerAddr, time.Now())
	if endpoint := b.Fleet.Load().ByInstance[m.From]; endpoint != nil {
		m.Load.ReceivedAt = time.Now()
		endpoint.Report(m.Load)
	}
}

// Respond takes a message of another node and returns the answer, with the
// records in which the two may differ.
func Respond(b *board.Mesh, m *Message, load board.LoadReport) *Message {
	Dispatch(b, m)
	now := time.Now()
	answer := newMessage(b, load, now)
	answer.Suspicions = quarantine.ReportDelta(b.Quarantine.Load(), m.SuspicionDigests, now)
	for id, endpoint := range b.Fleet.Load().ByInstance {
		if fleet.MayDiffer(id, answer.Digests, m.Digests) {
			answer.Records = append(answer.Records, endpoint.Record)
		}
	}
	return answer
}
