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
	// sendAttemptTimeout bounds one try of a flooded message.
	sendAttemptTimeout = 500 * time.Millisecond
	// sendAttempts is the number of tries; the digest exchange repairs the rest.
	sendAttempts = 2
	// maxRecordsPerMessage bounds the records of a message: at about 120 bytes each they
	// take half of the limit of a control message.
	maxRecordsPerMessage = 256
	// maxRumorsPerMessage bounds the rumors of a message, see maxRumorPayload.
	maxRumorsPerMessage = 40
)

// floodBatch holds changes that wait to be passed on.
type floodBatch struct {
	records        map[board.InstanceID]pendingRecord
	rumors         []pendingRumor
	flushScheduled bool
}

// pendingRecord is a record with the neighbour that sent it, which needs no copy.
type pendingRecord struct {
	record board.Member
	from   board.InstanceID
}

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

// recordsFor returns the records that a neighbour needs. Of itself it needs
// only a declaration of death, which it refutes.
func (b *floodBatch) recordsFor(to board.InstanceID) []board.Member {
	var records []board.Member
	for _, pending := range b.records {
		if pending.from != to && (pending.record.Instance != to || pending.record.State == board.MemberDead) {
			records = append(records, pending.record)
		}
	}
	return records
}

func (b *floodBatch) rumorsFor(to board.InstanceID) []board.Rumor {
	var rumors []board.Rumor
	for _, pending := range b.rumors {
		if pending.from != to {
			rumors = append(rumors, pending.rumor)
		}
	}
	return rumors
}

// flush passes the pending changes to all neighbours.
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
		c.tasks.Go(func() {
			defer sends.Done()
			c.sendBatch(ctx, neighbour.PeerAddr, records, rumors)
		})
	}
	if batch.records[c.table.selfID].record.State == board.MemberLeft {
		c.tasks.Go(func() {
			sends.Wait()
			c.complete(ctx, func() { c.leftSent = true })
		})
	}
}

func (c *Controller) sendBatch(ctx context.Context, addr string, records []board.Member, rumors []board.Rumor) {
	self := c.members.Load().Self
	for chunk := range slices.Chunk(records, maxRecordsPerMessage) {
		var answer wire.Delta
		c.sendWithRetry(ctx, addr, wire.TypeDelta, wire.Delta{From: self, Members: chunk}, wire.TypeDelta, &answer)
	}
	for chunk := range slices.Chunk(rumors, maxRumorsPerMessage) {
		var answer wire.Ack
		c.sendWithRetry(ctx, addr, wire.TypeRumor, wire.Rumors{From: self, Rumors: chunk}, wire.TypeAck, &answer)
	}
}

// sendWithRetry tries a message a few times.
func (c *Controller) sendWithRetry(ctx context.Context, addr string, requestType wire.Type, message any, answerType wire.Type, answer any) {
	for range sendAttempts {
		err := c.request(ctx, addr, sendAttemptTimeout, requestType, message, answerType, answer)
		if err == nil || ctx.Err() != nil {
			return
		}
		c.log.Debug().Err(err).Str("peer", addr).Msg("change was not passed on")
	}
}
