// Package directory maintains the Fleet section, the view of all nodes. It
// merges the records that nodes gossip with the listings of the platform's
// store, and pushes changes to other nodes. Nodes gossip in exchanges: one sends
// a Message, the other responds with one.
package directory

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/concurrency"
	"mangostand.example/mangostand/pkg/decide/fleet"
	"mangostand.example/mangostand/pkg/decide/quarantine"
	"mangostand.example/mangostand/pkg/guard"
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

// Message is what a node sends in an exchange, as request and as response.
type Message struct {
	From     board.InstanceID   `cbor:"1,keyasint"`
	PeerAddr string             `cbor:"2,keyasint"`
	Records  []board.NodeRecord `cbor:"3,keyasint"`
	// Digests are the bucket digests of all records that the sender has. They are
	// set only in a request for the records that differ.
	Digests []uint32 `cbor:"4,keyasint,omitempty"`
	// Config is the configuration version of the sender and the age of its
	// confirmation.
	Config board.ConfigAdvertisement `cbor:"5,keyasint"`
	// Load is the load report of the sender.
	Load board.LoadReport `cbor:"6,keyasint"`
	// Suspicions are reports of requests that may crash backend servers.
	// SuspicionDigests are the bucket digests of all such reports that the
	// sender has, in the same requests as Digests.
	Suspicions       []board.Suspicion `cbor:"7,keyasint,omitempty"`
	SuspicionDigests []uint32          `cbor:"8,keyasint,omitempty"`
	// Push is set in a request that only passes on changes. Its response has no
	// records, since most buckets differ while many nodes change.
	Push bool `cbor:"9,keyasint,omitempty"`
}

// ExchangeFunc sends a message to a node and returns its response.
type ExchangeFunc func(ctx context.Context, addr string, m *Message) (*Message, error)

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
	// quarantinedCount is the number of quarantined requests at the last change
	// of the Quarantine section.
	quarantinedCount int
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
		exchangesDone: make(chan board.InstanceID, exchangesDoneQueueSize), exchangesInFlight: map[board.InstanceID]bool{},
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

// maxMergedBatches bounds the waiting batches that are merged before the view is
// published.
const maxMergedBatches = 64

// mergeBatches merges a batch and those that wait behind it, and publishes the
// view once, since a new view costs time in proportion to the fleet.
func (c *Controller) mergeBatches(ctx context.Context, batch board.NodeRecordBatch, now time.Time) {
	changed := c.mergeRecords(ctx, batch, now)
	// This controller is the only reader of the inbox, so no receive blocks.
	waiting := c.board.NodeRecords.Events()
	for range min(len(waiting), maxMergedBatches) {
		changed = c.mergeRecords(ctx, <-waiting, now) || changed
	}
	if changed {
		c.publish()
	}
}

// mergeRecords merges the records of another node or of the store and reports
// whether any was newer. It forwards the newer ones unless they come from the
// store.
func (c *Controller) mergeRecords(ctx context.Context, event board.NodeRecordBatch, now time.Time) bool {
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
	if len(newer) == 0 || event.From == "" {
		return len(newer) > 0
	}
	c.pendingRecords = append(c.pendingRecords, newer...)
	switch wait := minForwardInterval - now.Sub(c.lastForwardedAt); {
	case wait <= 0:
		c.forwardPending(ctx, now)
	case c.forwardDue == nil:
		c.forwardDue = time.After(wait)
	}
	return true
}

// forwardPending pushes the pending records of other nodes.
func (c *Controller) forwardPending(ctx context.Context, now time.Time) {
	c.pushRecords(ctx, c.pendingRecords, false)
	c.pendingRecords, c.forwardDue, c.lastForwardedAt = nil, nil, now
}

// mergeRecord merges a record and reports whether it changed anything.
func (c *Controller) mergeRecord(record board.NodeRecord, now time.Time) bool {
	if record.Instance == c.ownRecord.Instance {
		if record.ServerID != "" {
			c.reportEarlierServer(board.BackendServer{ID: record.ServerID, StartMillis: record.ServerStartMillis, State: record.State})
		}
		return c.restoreContention(record) || c.refute(record)
	}
	current := c.nodes[record.Instance]
	if current != nil {
		if !record.Supersedes(current.endpoint.Record) {
			return false
		}
		record = fleet.RetainWithdrawal(current.endpoint.Record, record)
	}
	node := &nodeState{firstSeenAt: now, alive: !record.Leaving, lastAliveAt: now}
	endpoint := &board.MeshEndpoint{Record: record, EndpointStats: &board.EndpointStats{}, Reachability: &board.Reachability{}}
	if current != nil {
		node.firstSeenAt = current.firstSeenAt
		endpoint.Reachability = current.endpoint.Reachability
		// A restarted node numbers its load reports from the start, so its
		// statistics are not kept.
		if current.endpoint.Record.Incarnation == record.Incarnation && current.endpoint.Record.ServerID == record.ServerID &&
			current.endpoint.Record.ServerStartMillis == record.ServerStartMillis {
			endpoint.EndpointStats = current.endpoint.EndpointStats
		}
		if record.Incarnation != current.endpoint.Record.Incarnation || record.PeerAddr != current.endpoint.Record.PeerAddr {
			endpoint.Reachability = &board.Reachability{}
		}
	}
	node.endpoint = endpoint
	if current != nil {
		c.removeAddress(current.endpoint.Record)
	}
	c.nodes[record.Instance] = node
	c.instancesByAddr[record.PeerAddr] = append(c.instancesByAddr[record.PeerAddr], record.Instance)
	c.detectAddressConflicts(record, now)
	c.log.Info().Str("event", "node_record").Str("node", string(record.Instance)).Uint64("incarnation", record.Incarnation).
		Uint64("sequence", record.Sequence).Str("service", record.Service).Str("server", record.ServerID).
		Str("state", record.State.String()).Bool("leaving", record.Leaving).Send()
	return true
}

// removeAddress removes a node from the nodes of its address.
func (c *Controller) removeAddress(record board.NodeRecord) {
	ids := slices.DeleteFunc(c.instancesByAddr[record.PeerAddr], func(id board.InstanceID) bool { return id == record.Instance })
	if len(ids) == 0 {
		delete(c.instancesByAddr, record.PeerAddr)
		return
	}
	c.instancesByAddr[record.PeerAddr] = ids
}

// detectAddressConflicts marks the other nodes with the address of a record. Of
// two such nodes the one with the later incarnation is assumed to use the
// address now. But incarnations are wall-clock times, so a response takes precedence
// and both nodes are contacted.
func (c *Controller) detectAddressConflicts(record board.NodeRecord, now time.Time) {
	for _, id := range c.instancesByAddr[record.PeerAddr] {
		if id == record.Instance {
			continue
		}
		node := c.nodes[id]
		other := node.endpoint.Record
		node.addressConflictAt, node.superseded = now, other.Incarnation < record.Incarnation
		if node.superseded {
			node.alive = false
			c.log.Info().Str("event", "node_overtaken").Str("node", string(id)).Str("by", string(record.Instance)).
				Str("addr", record.PeerAddr).Send()
		}
	}
}

// hasAddressConflict reports whether another node may have taken the address.
func (n *nodeState) hasAddressConflict() bool {
	return !n.addressConflictAt.IsZero() && !n.endpoint.Reachability.RespondedSince(n.addressConflictAt)
}

// reportEarlierServer reports the backend server in a record of an earlier process of
// this node, or that the store has none, to control/localserver.
func (c *Controller) reportEarlierServer(earlier board.BackendServer) {
	if earlier.ID != "" && earlier.ID == c.ownRecord.ServerID && earlier.StartMillis == c.ownRecord.ServerStartMillis && earlier.State <= c.ownRecord.State {
		return
	}
	if c.reportedEarlier != nil && *c.reportedEarlier == earlier {
		return
	}
	if !c.board.Announcements.Post(board.ServerEvent{Kind: board.ServerEventEarlierRecord, Server: earlier}) {
		c.log.Warn().Str("event", "earlier_server_dropped").Str("server", earlier.ID).Msg("inbox of announcements is full, the next exchange tries again")
		return
	}
	c.reportedEarlier = &earlier
}

// restoreContention restores the contention that an earlier process of this
// node found for the same service, unless this process has found it already.
func (c *Controller) restoreContention(record board.NodeRecord) bool {
	if c.ownRecord.Contention != board.ContentionUnknown || record.Contention == board.ContentionUnknown || record.Service != c.ownRecord.Service {
		return false
	}
	c.refute(record)
	c.ownRecord.Contention = record.Contention
	c.ownRecord.Sequence++
	c.log.Info().Str("event", "crowding_recalled").Uint8("crowding", uint8(record.Contention)).Uint64("incarnation", record.Incarnation).Send()
	return true
}

// refute raises the incarnation of this node above that of a record from an
// earlier process, which is higher if the clock was set back.
func (c *Controller) refute(record board.NodeRecord) bool {
	if record == c.ownRecord || !record.Supersedes(c.ownRecord) {
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
	records := make([]board.NodeRecord, 0, len(store.ListedRecords))
	for _, record := range store.ListedRecords {
		records = append(records, record)
	}
	// A record without a server says as much as no record.
	listed := !store.ListingRequestedAt.IsZero()
	if listed && store.ListedRecords[c.ownRecord.Instance].ServerID == "" && c.reportedEarlier == nil {
		c.reportEarlierServer(board.BackendServer{})
	}
	alone := len(c.nodes) == 0
	if !c.mergeRecords(ctx, board.NodeRecordBatch{Records: records}, now) {
		return
	}
	c.publish()
	if alone {
		// A node that has just started gets the records and the configuration of
		// the others without waiting for the next round.
		c.startExchangeRound(ctx)
	}
}

// updateLiveness decides which nodes are alive and drops those that departed
// long ago.
func (c *Controller) updateLiveness(now time.Time) {
	store := c.board.Store.Load()
	// Nodes may take ReregistrationGrace to be listed again after the store was
	// unreachable.
	settled := store.Reachable && !store.ListingRequestedAt.IsZero() && store.ListingRequestedAt.Sub(store.ReachabilityChangedAt) >= fleet.ReregistrationGrace
	changed := false
	for id, node := range c.nodes {
		_, listed := store.ListedRecords[id]
		fresh := settled && store.ListingRequestedAt.After(node.firstSeenAt)
		alive := fleet.Alive(fleet.Evidence{
			Listed: listed, ListingFresh: fresh,
			Responsive: node.endpoint.Reachability.RespondedSince(now.Add(-fleet.UnresponsiveTimeout)),
			Leaving:    node.endpoint.Record.Leaving, Replaced: node.endpoint.Reachability.Replaced() || node.superseded && node.hasAddressConflict(),
			KnownFor: now.Sub(node.firstSeenAt), LastExchangeFailed: node.endpoint.Reachability.Suspected(),
		})
		node.missingFromStore = fresh && !listed && !node.endpoint.Reachability.RespondedSince(now.Add(-fleet.UnresponsiveTimeout))
		if alive {
			node.lastAliveAt = now
		}
		if alive != node.alive {
			node.alive = alive
			changed = true
			c.log.Info().Str("event", "node_alive").Str("node", string(id)).Bool("alive", alive).Bool("listed", listed).
				Bool("listing_settled", settled).Time("listed_at", store.ListingRequestedAt).Send()
		}
		if !alive && now.Sub(node.lastAliveAt) > departedNodeTTL {
			c.removeAddress(node.endpoint.Record)
			delete(c.nodes, id)
		}
	}
	if changed {
		c.publish()
	}
}

// publish publishes a new version of the Fleet section.
func (c *Controller) publish() {
	next := &board.Fleet{
		ByInstance: map[board.InstanceID]*board.MeshEndpoint{}, ByService: map[string][]*board.MeshEndpoint{}, Size: 1,
	}
	previous := c.writer.Load().ByInstance[c.ownRecord.Instance]
	if previous == nil || previous.Record.ServerID != c.ownRecord.ServerID || previous.Record.ServerStartMillis != c.ownRecord.ServerStartMillis {
		previous = &board.MeshEndpoint{EndpointStats: &board.EndpointStats{}, Reachability: &board.Reachability{}}
	}
	ownEndpoint := &board.MeshEndpoint{Record: c.ownRecord, EndpointStats: previous.EndpointStats, Reachability: previous.Reachability}
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
	next.BucketDigests = fleet.BucketDigests(records)
	next.Contention = concurrency.MajorityDecision(records, c.ownRecord.Service)
	if next.Contention == board.ContentionUnknown {
		next.Contention = c.writer.Load().Contention
	}
	c.writer.Publish(next)
}

// addEndpoint adds an endpoint to the indexes of the section.
func addEndpoint(view *board.Fleet, endpoint *board.MeshEndpoint) {
	view.ByInstance[endpoint.Record.Instance] = endpoint
	if endpoint.Record.AcceptsCalls() {
		view.ByService[endpoint.Record.Service] = append(view.ByService[endpoint.Record.Service], endpoint)
	}
}

// startExchangeRound starts exchanges with random nodes and with unconfirmed
// ones, see fleet.NeedsContact.
func (c *Controller) startExchangeRound(ctx context.Context) {
	var sameDomain, otherDomain, unconfirmed []board.InstanceID
	for id, node := range c.nodes {
		if node.endpoint.Record.Leaving || node.endpoint.Reachability.Replaced() {
			continue
		}
		inSameDomain := node.endpoint.Record.FailureDomain == c.ownRecord.FailureDomain
		if fleet.NeedsContact(fleet.Contact{
			AddressConflict: node.hasAddressConflict(), MissingFromStore: node.missingFromStore, SameDomain: inSameDomain,
			LastExchangeFailed: node.endpoint.Reachability.Suspected(), Responded: node.endpoint.Reachability.RespondedSince(time.Time{}),
		}) {
			unconfirmed = append(unconfirmed, id)
		}
		if inSameDomain {
			sameDomain = append(sameDomain, id)
		} else {
			otherDomain = append(otherDomain, id)
		}
	}
	candidates := otherDomain
	if len(otherDomain) == 0 || len(sameDomain) > 0 && rand.Float64() >= fleet.CrossDomainShare(len(sameDomain)+1) {
		candidates = sameDomain
	}
	shuffle(candidates)
	shuffle(unconfirmed)
	targets := append(candidates[:min(len(candidates), randomExchangesPerRound)], unconfirmed[:min(len(unconfirmed), maxUnconfirmedExchanges)]...)
	for _, id := range targets {
		c.startExchange(ctx, c.nodes[id], []board.NodeRecord{c.ownRecord}, false)
	}
}

func shuffle(ids []board.InstanceID) {
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

// pushRecords sends records to random live nodes. The node that a change
// concerns is its origin.
func (c *Controller) pushRecords(ctx context.Context, records []board.NodeRecord, origin bool) {
	candidates := map[string][]board.InstanceID{}
	for id, node := range c.nodes {
		if node.alive && !node.endpoint.Record.Leaving && !c.exchangesInFlight[id] {
			domain := node.endpoint.Record.FailureDomain
			candidates[domain] = append(candidates[domain], id)
		}
	}
	for _, ids := range candidates {
		shuffle(ids)
	}
	for _, id := range fleet.PushTargets(candidates, c.ownRecord.FailureDomain, origin) {
		c.startExchange(ctx, c.nodes[id], records, true)
	}
}

// pushNewQuarantines starts exchanges at once when more requests are
// quarantined. Suspicions that do not quarantine a request yet are sent with the
// periodic exchanges.
func (c *Controller) pushNewQuarantines(ctx context.Context, now time.Time) {
	quarantined := len(quarantine.QuarantinedReports(c.board.Quarantine.Load(), now))
	if quarantined > c.quarantinedCount {
		c.pushRecords(ctx, []board.NodeRecord{c.ownRecord}, true)
	}
	c.quarantinedCount = quarantined
}

// startExchange starts an exchange with a node, unless one is in flight. The
// response comes back through the inboxes of the board.
func (c *Controller) startExchange(ctx context.Context, node *nodeState, records []board.NodeRecord, push bool) {
	id := node.endpoint.Record.Instance
	if c.exchangesInFlight[id] {
		return
	}
	c.exchangesInFlight[id] = true
	now := time.Now()
	message := newMessage(c.board, c.loadReport(), now)
	message.Records, message.Push = records, push
	if !push {
		message.Digests, message.SuspicionDigests = c.board.Fleet.Load().BucketDigests, c.board.Quarantine.Load().BucketDigests
	}
	message.Suspicions = quarantine.QuarantinedReports(c.board.Quarantine.Load(), now)
	go c.runExchange(ctx, node.endpoint, message)
}

// runExchange sends a message to a node, records whether the node responded, and
// dispatches the response.
func (c *Controller) runExchange(ctx context.Context, endpoint *board.MeshEndpoint, message *Message) {
	defer func() {
		select {
		case c.exchangesDone <- endpoint.Record.Instance:
		case <-ctx.Done():
		}
	}()
	defer guard.Recover(c.log, "exchange", nil)
	exchangeCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := c.exchange(exchangeCtx, endpoint.Record.PeerAddr, message)
	if err != nil {
		if ctx.Err() == nil {
			endpoint.Reachability.RecordFailure()
			c.log.Debug().Err(err).Str("event", "exchange_failed").Str("node", string(endpoint.Record.Instance)).Send()
		}
		return
	}
	if response.From != endpoint.Record.Instance {
		endpoint.Reachability.MarkReplaced()
		c.log.Info().Str("event", "node_replaced").Str("node", string(endpoint.Record.Instance)).Str("by", string(response.From)).Send()
	} else {
		endpoint.Reachability.RecordResponse(time.Now())
	}
	Dispatch(c.board, response)
}

// newMessage returns a message with the fields that requests and responses
// have in common.
func newMessage(b *board.MeshBoard, load board.LoadReport, now time.Time) *Message {
	return &Message{
		From: b.Self.Instance, PeerAddr: b.Self.PeerAddr, Config: b.ConfigAdvertisement(now), Load: load,
	}
}

// Dispatch passes the contents of a message to the responsible controllers and
// sections.
func Dispatch(b *board.MeshBoard, m *Message) {
	if len(m.Records) > 0 {
		b.NodeRecords.Post(board.NodeRecordBatch{Records: m.Records, From: m.From})
	}
	if len(m.Suspicions) > 0 {
		b.Suspicions.Post(m.Suspicions)
	}
	b.ReceiveConfigAdvertisement(m.Config, m.PeerAddr, time.Now())
	if endpoint := b.Fleet.Load().ByInstance[m.From]; endpoint != nil {
		m.Load.ReceivedAt = time.Now()
		endpoint.UpdateLoadReport(m.Load)
	}
}

// Respond dispatches a message of another node and returns the response, with the
// records and suspicions that may differ according to the digests.
func Respond(b *board.MeshBoard, m *Message, load board.LoadReport) *Message {
	Dispatch(b, m)
	now := time.Now()
	response := newMessage(b, load, now)
	if m.Push {
		return response
	}
	view := b.Fleet.Load()
	response.Suspicions = quarantine.ReportDelta(b.Quarantine.Load(), m.SuspicionDigests, now)
	if slices.Equal(view.BucketDigests, m.Digests) {
		return response
	}
	for id, endpoint := range view.ByInstance {
		if fleet.MayDiffer(id, view.BucketDigests, m.Digests) {
			response.Records = append(response.Records, endpoint.Record)
		}
	}
	return response
}
