package directory

import (
	"context"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/fleet"
)

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

// mergeRecord merges a record and reports whether it changed anything.
func (c *Controller) mergeRecord(record board.NodeRecord, now time.Time) bool {
	if record.Instance == c.ownRecord.Instance {
		if record.ServerID != "" {
			c.reportEarlierServer(recordedServer(record))
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
		node.firstSeenAt, node.wasAlive = current.firstSeenAt, current.wasAlive || current.alive
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

// recordedServer returns what a record says about the backend server of the node.
func recordedServer(record board.NodeRecord) board.BackendServer {
	return board.BackendServer{ID: record.ServerID, StartMillis: record.ServerStartMillis, State: record.State}
}

// reportEarlierRecord reports to control/localserver once what the store had of an
// earlier process of this node.
func (c *Controller) reportEarlierRecord() {
	store := c.board.Store.Load()
	record := store.EarlierRecord
	if record == nil || c.earlierRecordReported {
		return
	}
	// If the inbox is full, the next round tries again.
	c.earlierRecordReported = c.board.Announcements.Post(board.ServerEvent{
		Kind: board.ServerEventEarlierRecord, Server: recordedServer(*record), RecordCurrent: true,
		RecordMissing: record.Instance == "" && !store.FirstStart,
	})
}

// reportEarlierServer reports the backend server in a record of an earlier process of
// this node to control/localserver. The record may be older than what that process
// acknowledged last.
func (c *Controller) reportEarlierServer(earlier board.BackendServer) {
	if earlier.ID == c.ownRecord.ServerID && earlier.StartMillis == c.ownRecord.ServerStartMillis && earlier.State <= c.ownRecord.State {
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
	c.reportEarlierRecord()
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
