package keyhome

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

const (
	// ConfirmValid is how long an executor runs non-idempotent calls after it
	// last confirmed its epoch. Members that a partition cuts off from a
	// majority and from the store stop after this time.
	ConfirmValid = 6 * time.Second
	// LostMajorityWait is how long a new home waits for a majority of the former
	// members before it serves new keys without their word.
	LostMajorityWait = 3 * ConfirmValid
)

// Answer is what one member of the former epoch has told.
type Answer struct {
	// Answered: the member sent all records and has adopted the epoch.
	Answered bool
	// Ended: that life of the instance has left or was replaced by another.
	Ended bool
	// Horizon came with the records.
	Horizon time.Time
}

// Collection is the state of an epoch transfer to one new home.
type Collection struct {
	Epoch   *board.Epoch
	Answers map[board.InstanceID]Answer
	// Started is when the transfer began; MajorityAt is when a majority of the
	// former members had answered, zero before.
	Started    time.Time
	MajorityAt time.Time
}

// Majority reports whether count of total members is a majority.
func Majority(count, total int) bool { return 2*count > total }

// HasMajority reports whether a majority of the former members has answered.
func (c *Collection) HasMajority() bool {
	count := 0
	for _, m := range c.Epoch.FormerMembers {
		if c.Answers[m.Instance].Answered {
			count++
		}
	}
	return Majority(count, len(c.Epoch.FormerMembers))
}

// Source returns the state of the transfer from one former home.
func (c *Collection) Source(home board.InstanceID, now time.Time, limits dynconf.AtMostOnce) board.EpochSource {
	answer := c.Answers[home]
	if answer.Answered {
		return board.EpochSource{Horizon: answer.Horizon}
	}
	if c.othersAnswered(home) {
		return board.EpochSource{Horizon: lossHorizon(c.Epoch.FormerLoss, limits)}
	}
	if c.givenUp(now) {
		return board.EpochSource{Horizon: HorizonAt(now, limits)}
	}
	return board.EpochSource{Pending: true}
}

// othersAnswered reports whether all former members but home have answered. It
// proves nothing for a single member, which was executor and home at once.
func (c *Collection) othersAnswered(home board.InstanceID) bool {
	if len(c.Epoch.FormerMembers) < 2 {
		return false
	}
	for _, m := range c.Epoch.FormerMembers {
		if m.Instance != home && !c.Answers[m.Instance].Answered {
			return false
		}
	}
	return true
}

// lossHorizon is the horizon of keys whose executor may have been lost in an
// earlier epoch change: only their home had a record. The margin covers the
// horizon that the home itself may have had after that change.
func lossHorizon(loss time.Time, limits dynconf.AtMostOnce) time.Time {
	if loss.IsZero() {
		return time.Time{}
	}
	return HorizonAt(loss.Add(LostMajorityWait+ConfirmValid), limits)
}

// givenUp reports whether the missing members can no longer run calls of the
// former epoch, so that keys after the horizon may be served.
func (c *Collection) givenUp(now time.Time) bool {
	ended := true
	for _, m := range c.Epoch.FormerMembers {
		a := c.Answers[m.Instance]
		ended = ended && (a.Answered || a.Ended)
	}
	if ended {
		return true
	}
	if !c.MajorityAt.IsZero() {
		return now.Sub(c.MajorityAt) > ConfirmValid
	}
	return now.Sub(c.Started) > LostMajorityWait
}

// Next returns the epoch after current with the given members. Current may be
// nil.
func Next(current *board.Epoch, service string, members []board.EpochMember, now time.Time, proposal string) *board.Epoch {
	next := &board.Epoch{Service: service, Number: 1, Members: members, Start: now, Proposal: proposal}
	if current == nil {
		return next
	}
	next.Number = current.Number + 1
	next.FormerNumber, next.FormerMembers, next.FormerLoss = current.Number, current.Members, current.Loss
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

// SameMembers reports whether two lists hold the same lives of instances.
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
