package membership

import (
	"maps"
	"time"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
)

// memberTable is the working copy of the Members section, with the state kept
// about records that are no longer, or not yet, in it.
type memberTable struct {
	selfID  board.InstanceID
	members map[board.InstanceID]board.Member
	// tombstoneTTL is how long left and dead records are kept.
	tombstoneTTL time.Duration
	// tombstonedAt holds the time at which a record became left or dead.
	tombstonedAt map[board.InstanceID]time.Time
	// versionFloors holds the record versions of instances whose records were
	// dropped.
	versionFloors map[board.InstanceID]decide.VersionFloor
	// pendingDeaths holds received death declarations that take effect unless
	// they are refuted in time.
	pendingDeaths map[board.InstanceID]pendingDeath
	// selfReplaced is set when a newer process runs with the instance ID of
	// this node.
	selfReplaced bool
	// changed is set when members has changed since the last snapshot.
	changed bool
}

// pendingDeath is a record that declares a member dead, and when it takes
// effect.
type pendingDeath struct {
	record  board.Member
	applyAt time.Time
}

// mergeResult is the result of merging a received record.
type mergeResult uint8

const (
	// mergeAccepted: the record replaced the known one.
	mergeAccepted mergeResult = iota
	// mergeDeathPending: the death declaration takes effect later unless it is
	// refuted in time.
	mergeDeathPending
	// mergeIgnored: the record is not newer than what is known, or says that an
	// unknown instance left or is dead.
	mergeIgnored
	// mergeOutdatedLive: the record is live, but not newer than one that is
	// left, dead or dropped.
	mergeOutdatedLive
	// mergeRefuted: the record was a false claim about this node, whose own
	// record now supersedes it.
	mergeRefuted
	// mergeSelfReplaced: the record belongs to a newer process with the
	// instance ID of this node.
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

// merge merges a record from another node.
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
		return mergeIgnored
	}
	if death, pending := t.pendingDeaths[record.Instance]; pending && !decide.Supersedes(record, death.record) {
		return mergeIgnored
	}
	if decide.AwaitsRefutation(old, record) {
		t.pendingDeaths[record.Instance] = pendingDeath{record: record, applyAt: now.Add(decide.RefutationWindow)}
		return mergeDeathPending
	}
	t.put(record, now)
	return mergeAccepted
}

// mergeUnknown accepts a live record above the version floor. For a left or dead
// record it keeps only a version floor, because this node neither routes to
// the instance nor waits for it.
func (t *memberTable) mergeUnknown(record board.Member, now time.Time) mergeResult {
	if floor, found := t.versionFloors[record.Instance]; found && !decide.AboveFloor(record, floor, now) {
		if decide.Live(record) {
			return mergeOutdatedLive
		}
		return mergeIgnored
	}
	if decide.Live(record) {
		t.put(record, now)
		return mergeAccepted
	}
	t.addVersionFloor(decide.NewVersionFloor(record, now))
	return mergeIgnored
}

// mergeSelf handles a record about this node, which it refutes if the record is
// a false claim.
func (t *memberTable) mergeSelf(record board.Member, now time.Time) mergeResult {
	self := t.self()
	if record.Incarnation > self.Incarnation {
		if t.selfReplaced {
			return mergeIgnored
		}
		t.selfReplaced = true
		return mergeSelfReplaced
	}
	next, needed := decide.Refute(self, record)
	if !needed {
		return mergeIgnored
	}
	t.put(next, now)
	return mergeRefuted
}

// put stores a record and replaces all state about its instance.
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

// applyPendingDeaths applies the death declarations that were not refuted in
// time.
func (t *memberTable) applyPendingDeaths(now time.Time) {
	for _, death := range t.pendingDeaths {
		if !now.Before(death.applyAt) {
			t.put(death.record, now)
		}
	}
}

// dropExpired replaces expired tombstones by version floors and drops expired
// version floors.
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

// addVersionFloor stores a version floor. Above the limit it drops the one that
// expires first.
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

// supersedingRecord returns the left, dead or dropped record that superseded an
// ignored live record. A dropped record is restored from its version floor, with
// the address of the live record.
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
