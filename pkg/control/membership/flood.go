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
	// sendTimeout bounds one try of a flooded message.
	sendTimeout = 500 * time.Millisecond
	// sendTries is the number of tries; the digest exchange repairs the rest.
	sendTries = 2
	// maxRecords bounds the records of a message: at about 120 bytes each they
	// take half of the limit of a control message.
	maxRecords = 256
	// maxRumors bounds the rumors of a message, see maxRumorPayload.
	maxRumors = 40
)

// pending holds changes that wait to be passed on.
type pending struct {
	members   map[board.InstanceID]change
	rumors    []heardRumor
	scheduled bool
}

// change is a record with the neighbour that sent it, which needs no copy.
type change struct {
	record board.Member
	from   board.InstanceID
}

type heardRumor struct {
	rumor board.Rumor
	from  board.InstanceID
}

func (p *pending) empty() bool { return len(p.members) == 0 && len(p.rumors) == 0 }

func (p *pending) addMember(record board.Member, from board.InstanceID) {
	if p.members == nil {
		p.members = map[board.InstanceID]change{}
	}
	p.members[record.Instance] = change{record: record, from: from}
}

func (p *pending) addRumor(rumor board.Rumor, from board.InstanceID) {
	p.rumors = append(p.rumors, heardRumor{rumor: rumor, from: from})
}

// membersFor returns the records that a neighbour needs. Of itself it needs
// only a declaration of death, which it refutes.
func (p *pending) membersFor(to board.InstanceID) []board.Member {
	var records []board.Member
	for _, c := range p.members {
		if c.from != to && (c.record.Instance != to || c.record.State == board.MemberDead) {
			records = append(records, c.record)
		}
	}
	return records
}

func (p *pending) rumorsFor(to board.InstanceID) []board.Rumor {
	var rumors []board.Rumor
	for _, r := range p.rumors {
		if r.from != to {
			rumors = append(rumors, r.rumor)
		}
	}
	return rumors
}

// flush passes the pending changes to all neighbours.
func (c *Controller) flush(ctx context.Context) {
	batch := c.flood
	c.flood = pending{}
	if batch.empty() {
		return
	}
	var sent sync.WaitGroup
	for _, n := range c.ring.Neighbours(c.table.selfID) {
		records, rumors := batch.membersFor(n.Instance), batch.rumorsFor(n.Instance)
		sent.Add(1)
		c.work.Go(func() {
			defer sent.Done()
			c.sendBatch(ctx, n.PeerAddr, records, rumors)
		})
	}
	if batch.members[c.table.selfID].record.State == board.MemberLeft {
		c.work.Go(func() {
			sent.Wait()
			c.report(ctx, func() { c.leftSent = true })
		})
	}
}

func (c *Controller) sendBatch(ctx context.Context, addr string, records []board.Member, rumors []board.Rumor) {
	self := c.members.Load().Self
	for chunk := range slices.Chunk(records, maxRecords) {
		var answer wire.Delta
		c.send(ctx, addr, wire.TypeDelta, wire.Delta{From: self, Members: chunk}, wire.TypeDelta, &answer)
	}
	for chunk := range slices.Chunk(rumors, maxRumors) {
		var answer wire.Ack
		c.send(ctx, addr, wire.TypeRumor, wire.Rumors{From: self, Rumors: chunk}, wire.TypeAck, &answer)
	}
}

// send tries a message a few times.
func (c *Controller) send(ctx context.Context, addr string, kind wire.MessageType, message any, receive wire.MessageType, answer any) {
	for range sendTries {
		err := c.exchange(ctx, addr, sendTimeout, kind, message, receive, answer)
		if err == nil || ctx.Err() != nil {
			return
		}
		c.log.Debug().Err(err).Str("peer", addr).Msg("change was not passed on")
	}
}
