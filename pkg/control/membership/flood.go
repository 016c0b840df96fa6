package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/wire"
)

const (
	// sendAttemptTimeout limits one attempt to send a message.
	sendAttemptTimeout = 500 * time.Millisecond
	// maxSendAttempts is the number of attempts to send a message. Digest
	// exchanges make up for messages that still do not arrive.
	maxSendAttempts = 2
	// maxRecordsPerMessage limits the records in a message: at about 120 bytes
	// each they take half of the size limit of a control message.
	maxRecordsPerMessage = 256
	// maxRumorsPerMessage limits the rumors in a message, see
	// maxRumorPayloadBytes.
	maxRumorsPerMessage = 40
)

// floodBatch holds the records and rumors that wait to be flooded to the
// neighbours.
type floodBatch struct {
	records        map[board.InstanceID]pendingRecord
	rumors         []pendingRumor
	flushScheduled bool
}

// pendingRecord is a record and the neighbour that sent it, to which it is not
// sent back.
type pendingRecord struct {
	record board.Member
	from   board.InstanceID
}

// pendingRumor is a rumor and the neighbour that sent it, to which it is not
// sent back.
type pendingRumor struct {
	rumor board.Rumor
	from  board.InstanceID
}

func (b *floodBatch) empty() bool { return len(b.records) == 0 && len(b.rumors) == 0 }

func (b *floodBatch) addRecord(record board.Member, from board.InstanceID) {
	if b.records == nil {
		b.records = map[board.InstanceID]pendingRecord{}
	}
	b.records[record.Instance] = pendingRecord{record: record, from: from}
}

func (b *floodBatch) addRumor(rumor board.Rumor, from board.InstanceID) {
	b.rumors = append(b.rumors, pendingRumor{rumor: rumor, from: from})
}

// recordsFor returns the records to send to a neighbour. Its own record is
// among them only if it declares the neighbour dead, so that the neighbour
// refutes it.
func (b *floodBatch) recordsFor(to board.InstanceID) []board.Member {
	var records []board.Member
	for _, pending := range b.records {
		if pending.from != to && (pending.record.Instance != to || pending.record.State == board.MemberDead) {
			records = append(records, pending.record)
		}
	}
	return records
}

// rumorsFor returns the rumors to send to a neighbour.
func (b *floodBatch) rumorsFor(to board.InstanceID) []board.Rumor {
	var rumors []board.Rumor
	for _, pending := range b.rumors {
		if pending.from != to {
			rumors = append(rumors, pending.rumor)
		}
	}
	return rumors
}

// flush sends the pending records and rumors to all neighbours. If they include
// the record of this node with the state left, it sets leftSent when all sends
// have ended.
func (c *Controller) flush(ctx context.Context) {
	batch := c.pendingFlood
	c.pendingFlood = floodBatch{}
	if batch.empty() {
		return
	}
	var sends sync.WaitGroup
	for _, neighbour := range c.ring.Neighbours(c.table.selfID) {
		records, rumors := batch.recordsFor(neighbour.Instance), batch.rumorsFor(neighbour.Instance)
		sends.Add(1)
		c.workers.Go(func() {
			defer sends.Done()
			c.sendBatch(ctx, neighbour.PeerAddr, records, rumors)
		})
	}
	if batch.records[c.table.selfID].record.State == board.MemberLeft {
		c.workers.Go(func() {
			sends.Wait()
			c.runOnController(ctx, func() { c.leftSent = true })
		})
	}
}

// sendBatch sends records and rumors to one node, split into messages within
// the size limits.
func (c *Controller) sendBatch(ctx context.Context, addr string, records []board.Member, rumors []board.Rumor) {
	self := c.members.Load().Self
	for chunk := range slices.Chunk(records, maxRecordsPerMessage) {
		var response wire.Delta
		c.sendWithRetry(ctx, addr, wire.TypeDelta, wire.Delta{From: self, Members: chunk}, wire.TypeDelta, &response)
	}
	for chunk := range slices.Chunk(rumors, maxRumorsPerMessage) {
		var response wire.Ack
		c.sendWithRetry(ctx, addr, wire.TypeRumor, wire.Rumors{From: self, Rumors: chunk}, wire.TypeAck, &response)
	}
}

// sendWithRetry sends a message in up to maxSendAttempts attempts.
func (c *Controller) sendWithRetry(ctx context.Context, addr string, requestType wire.MessageType, message any, responseType wire.MessageType, response any) {
	for range maxSendAttempts {
		err := c.request(ctx, addr, sendAttemptTimeout, requestType, message, responseType, response)
		if err == nil || ctx.Err() != nil {
			return
		}
		c.log.Debug().Err(err).Str("peer", addr).Msg("sending a message to a peer failed")
	}
}
