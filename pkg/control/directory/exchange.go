package directory

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/fleet"
	"mangostand.example/mangostand/pkg/decide/quarantine"
	"mangostand.example/mangostand/pkg/guard"
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
	// Evacuation is what the sender knows of evacuated failure domains, nil for
	// nothing.
	Evacuation *board.Evacuation `cbor:"10,keyasint,omitempty"`
}

// ExchangeFunc sends a message to a node and returns its response.
type ExchangeFunc func(ctx context.Context, addr string, m *Message) (*Message, error)

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
	sentAt := c.board.ConfigRequestSentAt()
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
	c.board.ReceiveConfigProof(response.Config, sentAt)
	Dispatch(c.board, response)
}

// newMessage returns a message with the fields that requests and responses
// have in common.
func newMessage(b *board.MeshBoard, load board.LoadReport, now time.Time) *Message {
	return &Message{
		From: b.Self.Instance, PeerAddr: b.Self.PeerAddr, Config: b.ConfigAdvertisement(now), Load: load,
		Evacuation: b.EvacuationAdvertisement(),
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
	// Before the configuration, so that no node has one without knowing the evacuated
	// failure domains.
	b.ReceiveEvacuation(m.Evacuation, m.PeerAddr)
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
	// The digests cover live nodes only, so a bucket of the sender differs if it takes a
	// departed node for alive.
	for _, record := range view.Departed {
		if fleet.MayDiffer(record.Instance, view.BucketDigests, m.Digests) {
			response.Records = append(response.Records, record)
		}
	}
	return response
}
