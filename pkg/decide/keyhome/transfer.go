package keyhome

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

const (
	// ConfirmationTTL is how long an executor runs non-idempotent calls after it
	// last confirmed its epoch. Members that a partition cuts off from a
	// majority and from the store stop after this time. A longer time costs
	// fewer confirmations and a later recovery from two losses at once.
	ConfirmationTTL = 12 * time.Second
	// lossMargin covers the horizon that a lost home may have had itself after
	// the loss before its own.
	lossMargin = 2 * ConfirmationTTL
)

// TransferStatus is what one incarnation of an instance has answered about an epoch.
type TransferStatus struct {
	// Complete: the member sent all records and has adopted the epoch.
	Complete bool
	// Ended: that incarnation of the instance has left or was replaced by another.
	Ended bool
	// Horizon came with the records.
	Horizon time.Time
}

// FormerEpochTransfer is the state of the transfer from the members of one former epoch
// to one new home.
type FormerEpochTransfer struct {
	Former *board.FormerEpoch
	// ByMember is shared by the collections of an epoch.
	ByMember map[board.EpochMember]TransferStatus
	// StartedAt is when the transfer began; MajorityAt is when a majority of the
	// members had answered, zero before.
	StartedAt  time.Time
	MajorityAt time.Time
}

// IsMajority reports whether count of total members is a majority.
func IsMajority(count, total int) bool { return 2*count > total }

// UpdateMajority keeps the time at which a majority has answered.
func (t *FormerEpochTransfer) UpdateMajority(now time.Time) {
	complete, _ := t.countMembers()
	if t.MajorityAt.IsZero() && IsMajority(complete, len(t.Former.Members)) {
		t.MajorityAt = now
	}
}

// countMembers returns how many members have answered, and how many have not and may
// still run calls.
func (t *FormerEpochTransfer) countMembers() (complete, missing int) {
	for _, m := range t.Former.Members {
		switch status := t.ByMember[m]; {
		case status.Complete:
			complete++
		case !status.Ended:
			missing++
		}
	}
	return complete, missing
}

// Source returns the state of the transfer from one former home.
func (t *FormerEpochTransfer) Source(home board.EpochMember, now time.Time, limits dynconf.AtMostOnce) board.EpochSource {
	status := t.ByMember[home]
	complete, missing := t.countMembers()
	total := len(t.Former.Members)
	switch {
	case status.Complete:
		return board.EpochSource{Horizon: status.Horizon}
	case total > 1 && complete == total-1:
		// Each run of the epoch has a record at its executor, which is not the
		// home. It proves nothing for a single member, which was both.
		return board.EpochSource{Horizon: lossHorizon(t.Former.Loss, limits)}
	case t.fenced(missing, now, limits):
		return board.EpochSource{Horizon: HorizonAt(now, limits)}
	}
	return board.EpochSource{Pending: true}
}

// fenced reports whether the missing members can run no more calls of their
// epoch, so that keys after the horizon may be served. One member alone is
// never home and executor of a key, and a minority fails to confirm its epoch.
// A majority that is cut off from the store goes on; it is waited for as long
// as keys live, after which its callers repeat none of today's keys.
func (t *FormerEpochTransfer) fenced(missing int, now time.Time, limits dynconf.AtMostOnce) bool {
	switch {
	case missing == 0, missing == 1 && len(t.Former.Members) > 1:
		return true
	case !t.MajorityAt.IsZero():
		return now.Sub(t.MajorityAt) > ConfirmationTTL
	}
	return now.Sub(t.StartedAt) > limits.Retention
}

// lossHorizon is the horizon of keys whose executor may have been lost in an
// earlier epoch change: only their home had a record.
func lossHorizon(loss time.Time, limits dynconf.AtMostOnce) time.Time {
	if loss.IsZero() {
		return time.Time{}
	}
	return HorizonAt(loss.Add(lossMargin), limits)
}

// Proposal holds what the next epoch of a service is made of.
type Proposal struct {
	Service string
	// Current is the epoch in force, nil for the first one.
	Current *board.Epoch
	// Settled reports for each of Current.Former whether its members can run no
	// more calls of that epoch.
	Settled func(i int) bool
	Members []board.EpochMember
	ID      string
}

// NextEpoch returns the epoch that a proposal leads to.
func (p *Proposal) NextEpoch(now time.Time, limits dynconf.AtMostOnce) *board.Epoch {
	next := &board.Epoch{Service: p.Service, Number: 1, Members: p.Members, Start: now, Proposal: p.ID}
	current := p.Current
	if current == nil {
		return next
	}
	next.Number, next.FormerNumber = current.Number+1, current.Number
	next.Former = []board.FormerEpoch{{Members: current.Members, Loss: current.Loss, End: now}}
	for i, former := range current.Former {
		if !p.Settled(i) && now.Sub(former.End) <= limits.Retention {
			next.Former = append(next.Former, former)
		}
	}
	next.Loss = current.Loss
	if len(current.Members) == 1 {
		// The single member was home and executor, so its keys have one record.
		next.Loss = now
	}
	for _, m := range current.Members {
		if !next.Has(m.Instance, m.Incarnation) {
			next.Loss = now
		}
	}
	return next
}

// SameMembers reports whether two lists hold the same incarnations of instances.
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
