package membership

import (
	"maps"
	"time"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
)

// table is the working copy of the Members section with what is kept about
// records that are not, or not yet, in it.
type table struct {
	selfID  board.InstanceID
	members map[board.InstanceID]board.Member
	// keep is how long left and dead records stay.
	keep time.Duration
	// gone says since when a record is left or dead.
	gone   map[board.InstanceID]time.Time
	floors map[board.InstanceID]decide.VersionFloor
	// held are declarations of death that wait for a refutation.
	held map[board.InstanceID]heldClaim
	// replacedSelf is set when a newer process runs under this instance's name.
	replacedSelf bool
	changed      bool
}

type heldClaim struct {
	record  board.Member
	applyAt time.Time
}

// received says what became of a received record.
type received uint8

const (
	// accepted: the record replaced the known one.
	accepted received = iota
	// held: the declaration of death waits for a refutation.
	held
	// known: the record is not newer than the known one.
	known
	// below: the record is live and older than one that is left, dead or
	// dropped.
	below
	// refuted: the record was a false claim about this node.
	refuted
	// replaced: the record is a newer incarnation of this node's instance.
	replaced
)

func newTable(self board.Member, tombstoneTime time.Duration) *table {
	return &table{
		selfID:  self.Instance,
		keep:    tombstoneTime,
		members: map[board.InstanceID]board.Member{self.Instance: self},
		gone:    map[board.InstanceID]time.Time{},
		floors:  map[board.InstanceID]decide.VersionFloor{},
		held:    map[board.InstanceID]heldClaim{},
		changed: true,
	}
}

func (t *table) self() board.Member { return t.members[t.selfID] }

// receive merges a record of another node.
func (t *table) receive(record board.Member, now time.Time) received {
	if record.Instance == t.selfID {
		return t.receiveSelf(record, now)
	}
	old, found := t.members[record.Instance]
	if !found {
		return t.receiveUnknown(record, now)
	}
	if !decide.Supersedes(record, old) {
		if !decide.Live(old) && decide.Live(record) {
			return below
		}
		return known
	}
	if claim, waits := t.held[record.Instance]; waits && !decide.Supersedes(record, claim.record) {
		return known
	}
	if decide.AwaitsRefutation(old, record) {
		t.held[record.Instance] = heldClaim{record: record, applyAt: now.Add(decide.RefutationWindow)}
		return held
	}
	t.set(record, now)
	return accepted
}

// receiveUnknown accepts a live record above the floor. Of a left or dead one
// only the floor is kept: nobody here routes to it or waits for it.
func (t *table) receiveUnknown(record board.Member, now time.Time) received {
	if floor, found := t.floors[record.Instance]; found && !decide.AboveFloor(record, floor, now) {
		if decide.Live(record) {
			return below
		}
		return known
	}
	if decide.Live(record) {
		t.set(record, now)
		return accepted
	}
	t.keepFloor(decide.NewVersionFloor(record, now))
	return known
}

func (t *table) receiveSelf(record board.Member, now time.Time) received {
	self := t.self()
	if record.Incarnation > self.Incarnation {
		if t.replacedSelf {
			return known
		}
		t.replacedSelf = true
		return replaced
	}
	next, needed := decide.Refute(self, record)
	if !needed {
		return known
	}
	t.set(next, now)
	return refuted
}

// set stores a record that won.
func (t *table) set(record board.Member, now time.Time) {
	t.members[record.Instance] = record
	delete(t.held, record.Instance)
	delete(t.floors, record.Instance)
	delete(t.gone, record.Instance)
	if !decide.Live(record) {
		t.gone[record.Instance] = now
	}
	t.changed = true
}

// applyHeld puts declarations of death in force that were not refuted.
func (t *table) applyHeld(now time.Time) {
	for _, claim := range t.held {
		if !now.Before(claim.applyAt) {
			t.set(claim.record, now)
		}
	}
}

// dropOld turns old tombstones into floors and ends old floors.
func (t *table) dropOld(now time.Time) {
	for id, since := range t.gone {
		if id == t.selfID || now.Sub(since) < t.keep {
			continue
		}
		t.keepFloor(decide.NewVersionFloor(t.members[id], now))
		delete(t.members, id)
		delete(t.gone, id)
		t.changed = true
	}
	for id, floor := range t.floors {
		if !now.Before(floor.ExpiresAt) {
			delete(t.floors, id)
		}
	}
}

// keepFloor stores a floor and ends the oldest one when there are too many.
func (t *table) keepFloor(floor decide.VersionFloor) {
	t.floors[floor.Record.Instance] = floor
	if len(t.floors) <= decide.MaxVersionFloors {
		return
	}
	oldest := floor
	for _, f := range t.floors {
		if f.ExpiresAt.Before(oldest.ExpiresAt) {
			oldest = f
		}
	}
	delete(t.floors, oldest.Record.Instance)
}

// claimAgainst returns the record for which a live one was refused.
func (t *table) claimAgainst(record board.Member) (board.Member, bool) {
	if old, found := t.members[record.Instance]; found {
		return old, true
	}
	floor, found := t.floors[record.Instance]
	claim := floor.Record
	claim.PeerAddr = record.PeerAddr
	return claim, found
}

// snapshot returns the members for publication.
func (t *table) snapshot() *board.Members {
	t.changed = false
	return board.NewMembers(t.selfID, maps.Clone(t.members))
}
