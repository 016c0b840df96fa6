package membership

import (
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// SuspicionTimeout is the time from the first missed ping of a member until
	// the member is declared dead.
	SuspicionTimeout = 2 * time.Second
	// RefutationWindow is how long a received death declaration is held back
	// before it takes effect. When partitioned regions reconnect, each has
	// declared the members of the other dead. The window lets live members refute
	// this before they are removed.
	RefutationWindow = 500 * time.Millisecond
	// pauseThreshold is the gap between two ping rounds, which are 500 ms
	// apart, above which this node assumes that it was paused itself.
	pauseThreshold = 1500 * time.Millisecond
)

// Suspicion records that a member stopped answering the pings of this node.
type Suspicion struct {
	// Incarnation and Sequence identify the suspected record.
	Incarnation uint64
	Sequence    uint64
	Since       time.Time
}

// Suspect returns the suspicion about m after a missed ping. An existing
// suspicion of the same record keeps its start time; a newer record starts a
// new suspicion.
func Suspect(old Suspicion, m board.Member, now time.Time) Suspicion {
	if old.Incarnation == m.Incarnation && old.Sequence == m.Sequence {
		return old
	}
	return Suspicion{Incarnation: m.Incarnation, Sequence: m.Sequence, Since: now}
}

// SuspicionState is the state of a suspicion, see EvaluateSuspicion.
type SuspicionState uint8

// States of a suspicion.
const (
	// SuspicionPending: the suspicion timeout has not expired.
	SuspicionPending SuspicionState = iota
	// SuspicionCleared: a newer record has replaced the suspected one, or the
	// member is no longer live.
	SuspicionCleared
	// SuspicionConfirmed: the timeout has expired, so the member is declared
	// dead.
	SuspicionConfirmed
)

// EvaluateSuspicion returns the state of a suspicion, given the current record
// m of the member.
func EvaluateSuspicion(s Suspicion, m board.Member, now time.Time) SuspicionState {
	switch {
	case !Live(m), m.Incarnation != s.Incarnation, m.Sequence != s.Sequence:
		return SuspicionCleared
	case now.Sub(s.Since) >= SuspicionTimeout:
		return SuspicionConfirmed
	}
	return SuspicionPending
}

// DeclareDead returns the record m with the state dead.
func DeclareDead(m board.Member) board.Member {
	m.State = board.MemberDead
	return m
}

// ProvesAlive reports whether the answer to a ping proves that the pinged
// incarnation is running. An answer with another instance ID or incarnation
// comes from a replacement at the same address and proves nothing.
func ProvesAlive(pinged board.Member, instance board.InstanceID, incarnation uint64) bool {
	return instance == pinged.Instance && incarnation == pinged.Incarnation
}

// WasPaused reports whether this node was paused between two ping rounds. Its
// suspicions then say nothing about the other members.
func WasPaused(lastRound, now time.Time) bool {
	return !lastRound.IsZero() && now.Sub(lastRound) > pauseThreshold
}

// AwaitsRefutation reports whether a received death declaration is held back
// for RefutationWindow before it replaces the known record.
func AwaitsRefutation(known, claim board.Member) bool {
	return claim.State == board.MemberDead && Live(known) && claim.Incarnation == known.Incarnation
}

// reconnectsPerDeadMember is the mean number of nodes of the fleet that try to
// reconnect to a dead member in one round.
const reconnectsPerDeadMember = 2

// ReconnectTarget returns a dead member to which this node tries to reconnect
// in this round, if any. The choice is random, so that on average
// reconnectsPerDeadMember nodes of the fleet try each dead member, while one
// node tries at most one member. random returns uniform values in [0, 1).
func ReconnectTarget(members *board.Members, random func() float64) (board.Member, bool) {
	var dead []board.Member
	live := 0
	for _, m := range members.ByInstance {
		if Live(m) {
			live++
		}
		if m.State == board.MemberDead && m.Instance != members.Self {
			dead = append(dead, m)
		}
	}
	if len(dead) == 0 || random()*float64(max(live, 1)) >= float64(reconnectsPerDeadMember*len(dead)) {
		return board.Member{}, false
	}
	slices.SortFunc(dead, func(a, b board.Member) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return dead[int(random()*float64(len(dead)))%len(dead)], true
}
