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

// MemberTransfer is what one incarnation of an instance has answered about an epoch.
type MemberTransfer struct {
	// Complete: the member sent all records and has adopted the epoch.
	Complete bool
	// Ended: that incarnation of the instance has left or was replaced by another.
	Ended bool
	// Horizon came with the records.
	Horizon time.Time
}

// PreviousEpochTransfer is the state of the transfer from the members of one former epoch
// to one new home.
type PreviousEpochTransfer struct {
	Previous *board.FormerEpoch
	// ByMember is shared by the collections of an epoch.
	ByMember map[board.EpochMember]MemberTransfer
	// StartedAt is when the transfer began; MajorityAt is when a majority of the
	// members had answered, zero before.
	StartedAt  time.Time
	MajorityAt time.Time
}

// IsMajority reports whether count of total members is a majority.
func IsMajority(count, total int) bool { return 2*count > total }

// UpdateMajority keeps the time at which a majority has answered.
func (c *PreviousEpochTransfer) UpdateMajority(now time.Time) {
	answered, _ := c.countMembers()
	if c.MajorityAt.IsZero() && IsMajority(answered, len(c.Previous.Members)) {
		c.MajorityAt = now
	}
}

// countMembers returns how many members have answered, and how many have not and may
// still run calls.
func (c *PreviousEpochTransfer) countMembers() (answered, missing int) {
	for _, m := range c.Previous.Members {
		switch a := c.ByMember[m]; {
		case a.Complete:
			answered++
		case !a.Ended:
			missing++
		}
	}
	return answered, missing
}

// State returns the state of the transfer from one former home.
func (c *PreviousEpochTransfer) State(home board.EpochMember, now time.Time, limits dynconf.AtMostOnce) board.TransferState {
	answer := c.ByMember[home]
	answered, missing := c.countMembers()
	total := len(c.Previous.Members)
	switch {
	case answer.Complete:
		return board.TransferState{Horizon: answer.Horizon}
	case total > 1 && answered == total-1:
		// Each run of the epoch has a record at its executor, which is not the
		// home. It proves nothing for a single member, which was both.
		return board.TransferState{Horizon: lossHorizon(c.Previous.LastMemberLoss, limits)}
	case c.fenced(missing, now, limits):
		return board.TransferState{Horizon: HorizonAt(now, limits)}
	}
	return board.TransferState{Pending: true}
}

// fenced reports whether the missing members can run no more calls of their
// epoch, so that keys after the horizon may be served. One member alone is
// never home and executor of a key, and a minority fails to confirm its epoch.
// A majority that is cut off from the store goes on; it is waited for as long
// as keys live, after which its callers repeat none of today's keys.
func (c *PreviousEpochTransfer) fenced(missing int, now time.Time, limits dynconf.AtMostOnce) bool {
	switch {
	case missing == 0, missing == 1 && len(c.Previous.Members) > 1:
		return true
	case !c.MajorityAt.IsZero():
		return now.Sub(c.MajorityAt) > ConfirmationTTL
	}
	return now.Sub(c.StartedAt) > limits.Retention
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
	// TransferComplete reports for each of Current.Former whether its members can run no
	// more calls of that epoch.
	TransferComplete func(i int) bool
	Members          []board.EpochMember
	ID               string
}

// NextEpoch returns the epoch that a proposal leads to.
func (p *Proposal) NextEpoch(now time.Time, limits dynconf.AtMostOnce) *board.Epoch {
	next := &board.Epoch{Service: p.Service, Number: 1, Members: p.Members, Start: now, Proposal: p.ID}
	current := p.Current
	if current == nil {
		return next
	}
	next.Number, next.FormerNumber = current.Number+1, current.Number
	next.FormerEpochs = []board.FormerEpoch{{Members: current.Members, LastMemberLoss: current.LastMemberLoss, End: now}}
	for i, former := range current.FormerEpochs {
		if !p.TransferComplete(i) && now.Sub(former.End) <= limits.Retention {
			next.FormerEpochs = append(next.FormerEpochs, former)
		}
	}
	next.LastMemberLoss = current.LastMemberLoss
	if len(current.Members) == 1 {
		// The single member was home and executor, so its keys have one record.
		next.LastMemberLoss = now
	}
	for _, m := range current.Members {
		if !next.HasMember(m.Instance, m.Incarnation) {
			next.LastMemberLoss = now
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
