package membership

import (
	"maps"
	"time"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
)

// memberTable is the working copy of the Members section with what is kept about
// records that are not, or not yet, in it.
type memberTable struct {
	selfID  board.InstanceID
	members map[board.InstanceID]board.Member
	// tombstoneTTL is how long left and dead records stay.
	tombstoneTTL time.Duration
	// tombstonedAt says since when a record is left or dead.
	tombstonedAt  map[board.InstanceID]time.Time
	versionFloors map[board.InstanceID]decide.VersionFloor
	// pendingDeaths are declarations of death that wait for a refutation.
	pendingDeaths map[board.InstanceID]pendingDeath
	// selfReplaced is set when a newer process runs under this instance's name.
	selfReplaced bool
	changed      bool
}

type pendingDeath struct {
	record  board.Member
	applyAt time.Time
}

// mergeResult says what became of a mergeResult record.
type mergeResult uint8

const (
	// mergeAccepted: the record replaced the known one.
	mergeAccepted mergeResult = iota
	// mergeDeathPending: the declaration of death waits for a refutation.
	mergeDeathPending
	// mergeNotNewer: the record is not newer than the mergeNotNewer one.
	mergeNotNewer
	// mergeOutdatedLive: the record is live and older than one that is left, dead or
	// dropped.
	mergeOutdatedLive
	// mergeRefuted: the record was a false claim about this node.
	mergeRefuted
	// mergeSelfReplaced: the record is a newer incarnation of this node's instance.
	mergeSelfReplaced
)

func newMemberTable(self board.Member, tombstoneTTL time.Duration) *memberTable {
	return &memberTable{
		selfID:        self.Instance,
		tombstoneTTL:  tombstoneTTL,
		members:       map[board.InstanceID]board.Member{self.Instance: self},
		tombstonedAt:  map[board.InstanceID]time.Time{},
		versionFloors: map[board.InstanceID]decide.VersionFloor{},
		pendingDeaths: map[board.InstanceID]pendingDeath{},
		changed:       true,
	}
}

func (t *memberTable) self() board.Member { return t.members[t.selfID] }

// merge merges a record of another node.
func (t *memberTable) merge(record board.Member, now time.Time) mergeResult {
	if record.Instance == t.selfID {
		return t.mergeSelf(record, now)
	}
	old, found := t.members[record.Instance]
	if !found {
		return t.mergeUnknown(record, now)
	}
	if !decide.Supersedes(record, old) {
		if !decide.Live(old) && decide.Live(record) {
			return mergeOutdatedLive
		}
		return mergeNotNewer
	}
	if death, pending := t.pendingDeaths[record.Instance]; pending && !decide.Supersedes(record, death.record) {
		return mergeNotNewer
	}
	if decide.AwaitsRefutation(old, record) {
		t.pendingDeaths[record.Instance] = pendingDeath{record: record, applyAt: now.Add(decide.RefutationWindow)}
		return mergeDeathPending
	}
	t.put(record, now)
	return mergeAccepted
}

// mergeUnknown accepts a live record above the floor. Of a left or dead one
// only the floor is kept: nobody here routes to it or waits for it.
func (t *memberTable) mergeUnknown(record board.Member, now time.Time) mergeResult {
	if floor, found := t.versionFloors[record.Instance]; found && !decide.AboveFloor(record, floor, now) {
		if decide.Live(record) {
			return mergeOutdatedLive
		}
		return mergeNotNewer
	}
	if decide.Live(record) {
		t.put(record, now)
		return mergeAccepted
	}
	t.addVersionFloor(decide.NewVersionFloor(record, now))
	return mergeNotNewer
}

func (t *memberTable) mergeSelf(record board.Member, now time.Time) mergeResult {
	self := t.self()
	if record.Incarnation > self.Incarnation {
		if t.selfReplaced {
			return mergeNotNewer
		}
		t.selfReplaced = true
		return mergeSelfReplaced
	}
	next, needed := decide.Refute(self, record)
	if !needed {
		return mergeNotNewer
	}
	t.put(next, now)
	return mergeRefuted
}

// put stores a record that won.
func (t *memberTable) put(record board.Member, now time.Time) {
	t.members[record.Instance] = record
	delete(t.pendingDeaths, record.Instance)
	delete(t.versionFloors, record.Instance)
	delete(t.tombstonedAt, record.Instance)
	if !decide.Live(record) {
		t.tombstonedAt[record.Instance] = now
	}
	t.changed = true
}

// applyPendingDeaths puts declarations of death in force that were not refuted.
func (t *memberTable) applyPendingDeaths(now time.Time) {
	for _, death := range t.pendingDeaths {
		if !now.Before(death.applyAt) {
			t.put(death.record, now)
		}
	}
}

// dropExpired turns old tombstones into floors and ends old floors.
func (t *memberTable) dropExpired(now time.Time) {
	for id, since := range t.tombstonedAt {
		if id == t.selfID || now.Sub(since) < t.tombstoneTTL {
			continue
		}
		t.addVersionFloor(decide.NewVersionFloor(t.members[id], now))
		delete(t.members, id)
		delete(t.tombstonedAt, id)
		t.changed = true
	}
	for id, floor := range t.versionFloors {
		if !now.Before(floor.ExpiresAt) {
			delete(t.versionFloors, id)
		}
	}
}

// addVersionFloor stores a floor and ends the oldest one when there are too many.
func (t *memberTable) addVersionFloor(floor decide.VersionFloor) {
	t.versionFloors[floor.Record.Instance] = floor
	if len(t.versionFloors) <= decide.MaxVersionFloors {
		return
	}
	oldest := floor
	for _, f := range t.versionFloors {
		if f.ExpiresAt.Before(oldest.ExpiresAt) {
			oldest = f
		}
	}
	delete(t.versionFloors, oldest.Record.Instance)
}

// supersedingRecord returns the record for which a live one was refused.
func (t *memberTable) supersedingRecord(record board.Member) (board.Member, bool) {
	if known, found := t.members[record.Instance]; found {
		return known, true
	}
	floor, found := t.versionFloors[record.Instance]
	superseding := floor.Record
	superseding.PeerAddr = record.PeerAddr
	return superseding, found
}

// snapshot returns the members for publication.
func (t *memberTable) snapshot() *board.Members {
	t.changed = false
	return board.NewMembers(t.selfID, maps.Clone(t.members))
}
