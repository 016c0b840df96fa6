package quota

import (
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// Delegation says which lender has the part of a node in the quotas of a group. The
// part is with one lender at a time: it goes to another one when the first has
// released it, has ended, or has not been heard from for the Validity.
type Delegation struct {
	// Lender and Incarnation identify the process that has the part, "" for none.
	Lender      board.InstanceID
	Incarnation uint32
	// Stamp is the time on the lender's clock in its last reply. The lender counts the
	// Validity from there, so that a delayed report extends nothing.
	Stamp time.Duration
	// Validity is for how long from the stamp the lender may use the part.
	Validity time.Duration
	// Until is the time on the own clock up to which the lender may use the part.
	Until time.Duration
	// Inherited is set while only the earlier process of the node may have given the
	// part away.
	Inherited bool
}

// NewDelegation returns the state of a node that has just started. The lender of its
// earlier process may still use the part.
func NewDelegation(now time.Duration) Delegation {
	return Delegation{Until: now + maxValidity, Inherited: true}
}

// Started returns the state of a node whose process started at a time, once it knows the
// fleet. With a listing of the store, the node chooses the lender that its earlier process
// had, unless the membership has just changed. That lender replaces the delegation of
// the earlier process. Without a listing, the node waits for the validity of its fleet.
func (d Delegation) Started(startedAt time.Duration, fleetSize int, listed bool, now time.Duration) Delegation {
	switch {
	case !d.Inherited:
	case listed:
		return Delegation{Until: now}
	case fleetSize > 1:
		d.Until = min(d.Until, startedAt+Validity(fleetSize))
	}
	return d
}

// HeldByOther reports whether another lender than the given one may use the part.
func (d Delegation) HeldByOther(lender board.InstanceID, now time.Duration) bool {
	return d.Lender != lender && now < d.Until
}

// Free reports whether no lender may use the part.
func (d Delegation) Free(now time.Duration) bool { return now >= d.Until }

// Replied returns the state after a reply of a lender that arrived now. The part is
// given to the lender with the next report.
func (d Delegation) Replied(lender board.InstanceID, incarnation uint32, stamp, validity, now time.Duration) Delegation {
	if d.HeldByOther(lender, now) {
		return d
	}
	return Delegation{Lender: lender, Incarnation: incarnation, Stamp: stamp, Validity: validity, Until: now + validity}
}

// Released returns the state after a lender released the part or ended.
func (d Delegation) Released(lender board.InstanceID, now time.Duration) Delegation {
	if d.Lender != lender {
		return d
	}
	return Delegation{Until: now}
}
