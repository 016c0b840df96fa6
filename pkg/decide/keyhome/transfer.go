package keyhome

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

const (
	// ConfirmationTTL is how long an executor runs non-idempotent calls after
	// it last confirmed its epoch. Members that a partition cuts off from both
	// a majority of the members and the store stop after this time. A longer
	// TTL needs fewer confirmations, but recovery from the loss of two members
	// takes longer.
	ConfirmationTTL = 12 * time.Second
	// lossMargin extends the horizon of an earlier loss: the home that is now
	// lost may itself have had a horizon, which was set after that loss.
	lossMargin = 2 * ConfirmationTTL
)

// MemberTransfer is what is known about the transfer from one member of a
// former epoch.
type MemberTransfer struct {
	// Complete: the member has adopted the new epoch and has sent all records.
	Complete bool
	// Ended: this incarnation of the instance has left or was replaced by
	// another.
	Ended bool
	// Horizon is the horizon of the keys whose home was the member. It is sent
	// with the records.
	Horizon time.Time
}

// PreviousEpochTransfer tracks the transfer of records from the members of one
// former epoch to one new home.
type PreviousEpochTransfer struct {
	Previous *board.FormerEpoch
	// ByMember is shared by the transfers of all former epochs to this home.
	ByMember map[board.EpochMember]MemberTransfer
	// StartedAt is when the transfer began. MajorityAt is when a majority of
	// the members had completed it, zero before that.
	StartedAt  time.Time
	MajorityAt time.Time
}

// IsMajority reports whether count of total members is a majority.
func IsMajority(count, total int) bool { return 2*count > total }

// UpdateMajority sets MajorityAt once a majority of the members has completed
// the transfer.
func (t *PreviousEpochTransfer) UpdateMajority(now time.Time) {
	complete, _ := t.countMembers()
	if t.MajorityAt.IsZero() && IsMajority(complete, len(t.Previous.Members)) {
		t.MajorityAt = now
	}
}

// countMembers returns how many members have completed the transfer, and how
// many are missing: they have not, and may still run calls.
func (t *PreviousEpochTransfer) countMembers() (complete, missing int) {
	for _, m := range t.Previous.Members {
		switch status := t.ByMember[m]; {
		case status.Complete:
			complete++
		case !status.Ended:
			missing++
		}
	}
	return complete, missing
}

// State returns the state of the transfer from one former home.
func (t *PreviousEpochTransfer) State(home board.EpochMember, now time.Time, limits dynconf.AtMostOnce) board.TransferState {
	status := t.ByMember[home]
	complete, missing := t.countMembers()
	total := len(t.Previous.Members)
	switch {
	case status.Complete:
		return board.TransferState{Horizon: status.Horizon}
	case total > 1 && complete == total-1:
		// Only the home is missing. Each call of the epoch also has a record at
		// its executor, which is another member. This does not hold for an epoch
		// with a single member, which is both home and executor.
		return board.TransferState{Horizon: lossHorizon(t.Previous.LastMemberLoss, limits)}
	case t.fenced(missing, now, limits):
		return board.TransferState{Horizon: HorizonAt(now, limits)}
	}
	return board.TransferState{Pending: true}
}

// fenced reports whether the missing members can no longer run calls of their
// epoch, so that keys after the horizon may be served.
//
// A single missing member cannot run a call, because the home and the executor
// of a key are different members. A missing minority fails to confirm its epoch
// and stops after ConfirmationTTL. A missing majority may continue while it is
// cut off from the store. The transfer waits for it until the key retention has
// passed. By then its callers no longer use the keys that were valid when the
// transfer began.
func (t *PreviousEpochTransfer) fenced(missing int, now time.Time, limits dynconf.AtMostOnce) bool {
	switch {
	case missing == 0, missing == 1 && len(t.Previous.Members) > 1:
		return true
	case !t.MajorityAt.IsZero():
		return now.Sub(t.MajorityAt) > ConfirmationTTL
	}
	return now.Sub(t.StartedAt) > limits.KeyRetention
}

// lossHorizon returns the horizon of keys whose executor may have been lost in
// an earlier epoch change, so that only their home had a record. It is zero
// when no member was lost.
func lossHorizon(loss time.Time, limits dynconf.AtMostOnce) time.Time {
	if loss.IsZero() {
		return time.Time{}
	}
	return HorizonAt(loss.Add(lossMargin), limits)
}

// Proposal is a proposal for the next epoch of a service.
type Proposal struct {
	Service string
	// Current is the current epoch, nil when there is none yet.
	Current *board.Epoch
	// TransferComplete reports whether no transfer from the i-th former epoch
	// of Current is pending, so that the members of that epoch can no longer
	// run calls of it.
	TransferComplete func(i int) bool
	// Members are the members of the next epoch.
	Members []board.EpochMember
	ID      string
}

// NextEpoch returns the epoch that the proposal creates.
func (p *Proposal) NextEpoch(now time.Time, limits dynconf.AtMostOnce) *board.Epoch {
	next := &board.Epoch{Service: p.Service, Number: 1, Members: p.Members, Start: now, Proposal: p.ID}
	current := p.Current
	if current == nil {
		return next
	}
	next.Number, next.FormerNumber = current.Number+1, current.Number
	next.FormerEpochs = []board.FormerEpoch{{Members: current.Members, LastMemberLoss: current.LastMemberLoss, End: now}}
	for i, former := range current.FormerEpochs {
		if !p.TransferComplete(i) && now.Sub(former.End) <= limits.KeyRetention {
			next.FormerEpochs = append(next.FormerEpochs, former)
		}
	}
	next.LastMemberLoss = current.LastMemberLoss
	if len(current.Members) == 1 {
		// The single member is both home and executor, so each of its keys has
		// only one record.
		next.LastMemberLoss = now
	}
	for _, m := range current.Members {
		if !next.HasMember(m.Instance, m.Incarnation) {
			next.LastMemberLoss = now
		}
	}
	return next
}

// SameMembers reports whether two lists contain the same incarnations of the
// same instances, in the same order.
func SameMembers(a, b []board.EpochMember) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Instance != b[i].Instance || a[i].Incarnation != b[i].Incarnation {
			return false
		}
	}
	return true
}
