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
	// tick spaces the exchanges with random nodes and the questions to nodes
	// that did not answer.
	tick = 250 * time.Millisecond
	// randomExchanges is the number of nodes asked in each tick.
	randomExchanges = 1
	// doubtfulExchanges bounds the questions to silent nodes in each tick.
	doubtfulExchanges = 6
	// sameDomainShare is the part of the random exchanges that stay in the
	// failure domain, where bytes cost nothing.
	sameDomainShare = 0.75
	// fanout is the number of nodes that a change is passed on to at once.
	fanout = 4
	// spreadGap spaces the messages that pass on changes of other nodes. Changes
	// that arrive meanwhile share a message.
	spreadGap = 50 * time.Millisecond
	// exchangeTimeout bounds an exchange.
	exchangeTimeout = 400 * time.Millisecond
	// leftMemory is how long a node that left is remembered, so that older
	// records do not bring it back.
	leftMemory = time.Minute
)

// Message is what two nodes tell each other.
type Message struct {
	From     board.InstanceID   `cbor:"1,keyasint"`
	PeerAddr string             `cbor:"2,keyasint"`
	Records  []board.NodeRecord `cbor:"3,keyasint"`
	// Digests are those of all records of the sender.
	Digests []uint32 `cbor:"4,keyasint"`
	// Config is what the sender knows of the configuration.
	Config board.ConfigAdvertisement `cbor:"5,keyasint"`
	// Load is the sender's load.
	Load board.LoadReport `cbor:"6,keyasint"`
	// Suspicions concern requests that crash backend servers; SuspicionDigests
	// are those of all that the sender knows.
	Suspicions       []board.Suspicion `cbor:"7,keyasint,omitempty"`
	SuspicionDigests []uint32          `cbor:"8,keyasint,omitempty"`
}

// Exchanger sends a message to a node and returns its answer.
type Exchanger func(ctx context.Context, addr string, m *Message) (*Message, error)

// Controller keeps the records.
type Controller struct {
	board    *board.MeshBoard
	exchange Exchanger
	load     func() board.LoadReport
	log      zerolog.Logger
	writer   *board.Writer[*board.Fleet]

	own    board.NodeRecord
	others map[board.InstanceID]*entry
	// news holds records of other nodes that are to be passed on when flush
	// fires; spreadAt is when that was done last.
	news     []board.NodeRecord
	flush    <-chan time.Time
	spreadAt time.Time
	// refused is the number of quarantined requests that others were told of.
	refused int
	// busy holds the nodes with an exchange under way.
	done chan board.InstanceID
	busy map[board.InstanceID]bool
}

// entry is one other node.
type entry struct {
	cell    *board.MeshEndpoint
	seen    time.Time
	alive   bool
	aliveAt time.Time
	// contestedAt is when another node was found to have the same address, and
	// overtaken whether that one is later; they count until this one answers.
	contestedAt time.Time
	overtaken   bool
	// unlisted is set when the store does not list the node and it was not heard
	// lately; it is asked before it is given up.
	unlisted bool
}

// New claims the section. The incarnation rises with each start of the node.
func New(b *board.MeshBoard, incarnation uint64, exchange Exchanger, load func() board.LoadReport, log zerolog.Logger) *Controller {
	c := &Controller{
		board: b, exchange: exchange, load: load, log: log, writer: b.Fleet.Claim("directory"),
		own: board.NodeRecord{
			Instance: b.Self.Instance, Incarnation: incarnation, Sequence: 1, PeerAddr: b.Self.PeerAddr,
			Region: b.Self.Region, FailureDomain: b.Self.FailureDomain, Service: b.Self.Service, LinkRate: b.Self.LinkRate,
		},
		others: map[board.InstanceID]*entry{},
		done:   make(chan board.InstanceID, exchangeQueue), busy: map[board.InstanceID]bool{},
	}
	c.publish()
	return c
}

// exchangeQueue holds the ends of exchanges until the controller takes them.
const exchangeQueue = 64

// Name returns the name of the controller.
func (c *Controller) Name() string { return "directory" }

// Run keeps the records until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	server := c.board.LocalServer.Subscribe()
	stopping := c.board.Shutdown.Subscribe()
	store := c.board.Store.Subscribe()
	routes := c.board.Routes.Subscribe()
	suspicions := c.board.Quarantine.Subscribe()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.board.NodeRecords.Events():
			c.merge(ctx, event, time.Now())
		case <-server:
			c.refreshOwn(ctx)
		case <-stopping:
			c.refreshOwn(ctx)
		case <-routes:
			c.spread(ctx, []board.NodeRecord{c.own})
		case <-suspicions:
			c.spreadQuarantine(ctx, time.Now())
		case <-store:
			c.takeListing(ctx, time.Now())
		case id := <-c.done:
			delete(c.busy, id)
		case now := <-c.flush:
			c.passOn(ctx, now)
		case now := <-ticker.C:
			c.refreshOwn(ctx)
			c.review(now)
			c.askOthers(ctx)
		}
	}
}

// refreshOwn raises the own record when the backend server or the node changed.
func (c *Controller) refreshOwn(ctx context.Context) {
	next := c.own
	server := c.board.LocalServer.Load()
	next.ServerID, next.ServerStartMillis, next.Slots, next.State = server.ID, server.StartMillis, server.Slots, server.State
	if server.Service != "" {
		next.Service = server.Service
	}
	if server.Down {
		next.State = board.ServerUnknown
	}
	next.Leaving = c.board.Shutdown.Load().Leaving
	if found := c.board.ServerLoad.Contention(); found != board.ContentionUnknown {
		next.Contention = found
	}
	if next == c.own {
		return
	}
	next.Sequence++
	c.own = next
	c.log.Info().Str("event", "own_record").Uint64("sequence", next.Sequence).Str("server", next.ServerID).
		Str("state", next.State.String()).Bool("leaving", next.Leaving).Send()
	c.publish()
	c.spread(ctx, []board.NodeRecord{next})
}

// merge takes records of another node or of the store and passes on the newer
// ones.
func (c *Controller) merge(ctx context.Context, event board.NodeRecordBatch, now time.Time) {
	var news []board.NodeRecord
	for _, record := range event.Records {
		if !c.mergeOne(record, now) {
			continue
		}
		if record.Instance == c.own.Instance {
			record = c.own
		}
		news = append(news, record)
	}
	if len(news) == 0 {
		return
	}
	c.publish()
	if event.From == "" {
		return
	}
	c.news = append(c.news, news...)
	switch wait := spreadGap - now.Sub(c.spreadAt); {
	case wait <= 0:
		c.passOn(ctx, now)
	case c.flush == nil:
		c.flush = time.After(wait)
	}
}

// passOn spreads the news of other nodes.
func (c *Controller) passOn(ctx context.Context, now time.Time) {
	c.spread(ctx, c.news)
	c.news, c.flush, c.spreadAt = nil, nil, now
}

// mergeOne takes a record and reports whether it is news.
func (c *Controller) mergeOne(record board.NodeRecord, now time.Time) bool {
	if record.Instance == c.own.Instance {
		return c.recall(record) || c.refute(record)
	}
	known := c.others[record.Instance]
	if known != nil && !record.Supersedes(known.cell.Record) {
		return false
	}
	next := &entry{seen: now, alive: !record.Leaving, aliveAt: now}
	cell := &board.MeshEndpoint{Record: record, EndpointStats: &board.EndpointStats{}, Reachability: &board.Reachability{}}
	if known != nil {
		next.seen = known.seen
		cell.Reachability = known.cell.Reachability
		// A restarted node counts its load reports anew.
		if known.cell.Record.Incarnation == record.Incarnation && known.cell.Record.ServerID == record.ServerID &&
			known.cell.Record.ServerStartMillis == record.ServerStartMillis {
			cell.EndpointStats = known.cell.EndpointStats
		}
		if record.Incarnation != known.cell.Record.Incarnation || record.PeerAddr != known.cell.Record.PeerAddr {
			cell.Reachability = &board.Reachability{}
		}
	}
	next.cell = cell
	c.others[record.Instance] = next
	c.contest(record, now)
	c.log.Info().Str("event", "node_record").Str("node", string(record.Instance)).Uint64("incarnation", record.Incarnation).
		Uint64("sequence", record.Sequence).Str("service", record.Service).Str("server", record.ServerID).
		Str("state", record.State.String()).Bool("leaving", record.Leaving).Send()
	return true
}

// contest doubts the other nodes at the address of a record. The later one is
// believed, but incarnations are times of day, so that contact has the last
// word and both are asked.
func (c *Controller) contest(record board.NodeRecord, now time.Time) {
	for id, e := range c.others {
		known := e.cell.Record
		if id == record.Instance || known.PeerAddr != record.PeerAddr {
			continue
		}
		e.contestedAt, e.overtaken = now, known.Incarnation < record.Incarnation
		if e.overtaken {
			e.alive = false
			c.log.Info().Str("event", "node_overtaken").Str("node", string(id)).Str("by", string(record.Instance)).
				Str("addr", record.PeerAddr).Send()
		}
	}
}

// contested reports whether another node may have the address.
func (e *entry) contested() bool {
	return !e.contestedAt.IsZero() && !e.cell.Reachability.RespondedSince(e.contestedAt)
}

// recall takes over what this node found out in an earlier life.
func (c *Controller) recall(record board.NodeRecord) bool {
	if c.own.Contention != board.ContentionUnknown || record.Contention == board.ContentionUnknown || record.Service != c.own.Service {
		return false
	}
	c.refute(record)
	c.own.Contention = record.Contention
	c.own.Sequence++
	c.log.Info().Str("event", "crowding_recalled").Uint8("crowding", uint8(record.Contention)).Uint64("incarnation", record.Incarnation).Send()
	return true
}

// refute raises the own incarnation above a record of an earlier life, which a
// clock that went back may have left.
func (c *Controller) refute(record board.NodeRecord) bool {
	if record == c.own || !record.Supersedes(c.own) {
		return false
	}
	c.own.Incarnation = record.Incarnation + 1
	c.own.Sequence = 1
	c.log.Warn().Str("event", "own_record_refuted").Uint64("incarnation", c.own.Incarnation).Send()
	return true
}

// takeListing merges the newest listing of the store.
func (c *Controller) takeListing(ctx context.Context, now time.Time) {
	view := c.board.Store.Load()
	records := make([]board.NodeRecord, 0, len(view.ListedRecords))
	for _, record := range view.ListedRecords {
		records = append(records, record)
	}
	c.merge(ctx, board.NodeRecordBatch{Records: records}, now)
}

// review decides which nodes are alive.
func (c *Controller) review(now time.Time) {
	view := c.board.Store.Load()
	settled := view.Reachable && !view.ListingRequestedAt.IsZero() && view.ListingRequestedAt.Sub(view.ReachabilityChangedAt) >= fleet.ReregistrationGrace
	changed := false
	for id, e := range c.others {
		_, listed := view.ListedRecords[id]
		fresh := settled && view.ListingRequestedAt.After(e.seen)
		alive := fleet.Alive(fleet.Evidence{
			Listed: listed, ListingFresh: fresh,
			Responsive: e.cell.Reachability.RespondedSince(now.Add(-fleet.UnresponsiveTimeout)),
			Leaving:    e.cell.Record.Leaving, Replaced: e.cell.Reachability.Replaced() || e.overtaken && e.contested(),
			KnownFor: now.Sub(e.seen), LastExchangeFailed: e.cell.Reachability.Suspected(),
		})
		e.unlisted = fresh && !listed && !e.cell.Reachability.RespondedSince(now.Add(-fleet.UnresponsiveTimeout))
		if alive {
			e.aliveAt = now
		}
		if alive != e.alive {
			e.alive = alive
			changed = true
			c.log.Info().Str("event", "node_alive").Str("node", string(id)).Bool("alive", alive).Bool("listed", listed).
				Bool("listing_settled", settled).Time("listed_at", view.ListingRequestedAt).Send()
		}
		if !alive && now.Sub(e.aliveAt) > leftMemory {
			delete(c.others, id)
		}
	}
	if changed {
		c.publish()
	}
}

// publish makes a new view of the fleet.
func (c *Controller) publish() {
	next := &board.Fleet{
		ByInstance: map[board.InstanceID]*board.MeshEndpoint{}, ByService: map[string][]*board.MeshEndpoint{}, Size: 1,
	}
	ownCell := c.writer.Load().ByInstance[c.own.Instance]
	if ownCell == nil || ownCell.Record.ServerID != c.own.ServerID || ownCell.Record.ServerStartMillis != c.own.ServerStartMillis {
		ownCell = &board.MeshEndpoint{EndpointStats: &board.EndpointStats{}, Reachability: &board.Reachability{}}
	}
	own := &board.MeshEndpoint{Record: c.own, EndpointStats: ownCell.EndpointStats, Reachability: ownCell.Reachability}
	records := []board.NodeRecord{c.own}
	add(next, own)
	for _, e := range c.others {
		if !e.alive {
			continue
		}
		records = append(records, e.cell.Record)
		next.Size++
		add(next, e.cell)
	}
	next.BucketDigests = fleet.BucketDigests(records)
	next.Contention = concurrency.MajorityDecision(records, c.own.Service)
	if next.Contention == board.ContentionUnknown {
		next.Contention = c.writer.Load().Contention
	}
	c.writer.Publish(next)
}

func add(view *board.Fleet, cell *board.MeshEndpoint) {
	view.ByInstance[cell.Record.Instance] = cell
	if cell.Record.AcceptsCalls() {
		view.ByService[cell.Record.Service] = append(view.ByService[cell.Record.Service], cell)
	}
}

// askOthers exchanges with random nodes and with those that did not answer.
func (c *Controller) askOthers(ctx context.Context) {
	var near, far, doubtful []board.InstanceID
	for id, e := range c.others {
		if e.cell.Record.Leaving || e.cell.Reachability.Replaced() {
			continue
		}
		if e.contested() || e.unlisted || e.cell.Reachability.Suspected() || !e.cell.Reachability.RespondedSince(time.Time{}) {
			doubtful = append(doubtful, id)
		}
		if e.cell.Record.FailureDomain == c.own.FailureDomain {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	ids := far
	if len(far) == 0 || len(near) > 0 && rand.Float64() < sameDomainShare {
		ids = near
	}
	shuffle(ids)
	shuffle(doubtful)
	targets := append(ids[:min(len(ids), randomExchanges)], doubtful[:min(len(doubtful), doubtfulExchanges)]...)
	for _, id := range targets {
		c.ask(ctx, c.others[id], []board.NodeRecord{c.own})
	}
}

func shuffle(ids []board.InstanceID) {
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

// spread passes news on to some nodes at once.
func (c *Controller) spread(ctx context.Context, news []board.NodeRecord) {
	var ids []board.InstanceID
	for id, e := range c.others {
		if e.alive && !e.cell.Record.Leaving && !c.busy[id] {
			ids = append(ids, id)
		}
	}
	shuffle(ids)
	for _, id := range ids[:min(len(ids), fanout)] {
		c.ask(ctx, c.others[id], news)
	}
}

// spreadQuarantine tells some nodes at once when more requests are refused.
// Suspicions that refuse nothing yet wait for the exchanges of each tick.
func (c *Controller) spreadQuarantine(ctx context.Context, now time.Time) {
	refused := len(quarantine.QuarantinedReports(c.board.Quarantine.Load(), now))
	if refused > c.refused {
		c.spread(ctx, []board.NodeRecord{c.own})
	}
	c.refused = refused
}

// ask starts an exchange with a node. Its answer comes back through the inbox.
func (c *Controller) ask(ctx context.Context, e *entry, records []board.NodeRecord) {
	id := e.cell.Record.Instance
	if c.busy[id] {
		return
	}
	c.busy[id] = true
	now := time.Now()
	message := newMessage(c.board, c.load(), now)
	message.Records = records
	message.Suspicions = quarantine.QuarantinedReports(c.board.Quarantine.Load(), now)
	go c.run(ctx, e.cell, message)
}

func (c *Controller) run(ctx context.Context, cell *board.MeshEndpoint, message *Message) {
	defer func() {
		select {
		case c.done <- cell.Record.Instance:
		case <-ctx.Done():
		}
	}()
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := c.exchange(call, cell.Record.PeerAddr, message)
	if err != nil {
		if ctx.Err() == nil {
			cell.Reachability.RecordFailure()
			c.log.Debug().Err(err).Str("event", "exchange_failed").Str("node", string(cell.Record.Instance)).Send()
		}
		return
	}
	if answer.From != cell.Record.Instance {
		cell.Reachability.MarkReplaced()
		c.log.Info().Str("event", "node_replaced").Str("node", string(cell.Record.Instance)).Str("by", string(answer.From)).Send()
	} else {
		cell.Reachability.RecordResponse(time.Now())
	}
	Take(c.board, answer)
}

// newMessage returns a message with what it always says.
func newMessage(b *board.MeshBoard, load board.LoadReport, now time.Time) *Message {
	return &Message{
		From: b.Self.Instance, PeerAddr: b.Self.PeerAddr, Digests: b.Fleet.Load().BucketDigests, Config: b.ConfigAdvertisement(now),
		Load: load, SuspicionDigests: b.Quarantine.Load().BucketDigests,
	}
}

// Take posts what a message says to the controllers that it concerns.
func Take(b *board.MeshBoard, m *Message) {
	if len(m.Records) > 0 {
		b.NodeRecords.Post(board.NodeRecordBatch{Records: m.Records, From: m.From})
	}
	if len(m.Suspicions) > 0 {
		b.Suspicions.Post(m.Suspicions)
	}
	b.ReceiveConfigAdvertisement(m.Config, m.PeerAddr, time.Now())
	if cell := b.Fleet.Load().ByInstance[m.From]; cell != nil {
		m.Load.ReceivedAt = time.Now()
		cell.UpdateLoadReport(m.Load)
	}
}

// Respond takes a message of another node and returns the answer, with the
// records in which the two may differ.
func Respond(b *board.MeshBoard, m *Message, load board.LoadReport) *Message {
	Take(b, m)
	now := time.Now()
	answer := newMessage(b, load, now)
	answer.Suspicions = quarantine.ReportDelta(b.Quarantine.Load(), m.SuspicionDigests, now)
	for id, cell := range b.Fleet.Load().ByInstance {
		if fleet.MayDiffer(id, answer.Digests, m.Digests) {
			answer.Records = append(answer.Records, cell.Record)
		}
	}
	return answer
}
