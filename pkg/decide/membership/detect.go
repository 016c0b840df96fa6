package membership

import (
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// SuspicionTimeout passes between a missed ping and the declaration of death.
	SuspicionTimeout = 2 * time.Second
	// RefutationWindow passes between a received declaration of death and its effect.
	// When regions meet again, each holds the other for dead; the grace lets
	// the living refute before anyone drops them.
	RefutationWindow = 500 * time.Millisecond
	// pauseThreshold is a gap between two ping rounds (500 ms apart) after which
	// the node itself counts as paused.
	pauseThreshold = 1500 * time.Millisecond
)

// Suspicion is the state of a member that stopped answering this node's pings.
type Suspicion struct {
	// Incarnation and Sequence are those of the suspected record.
	Incarnation uint64
	Sequence    uint64
	Since       time.Time
}

// Suspect returns the suspicion about a member after a missed ping. An earlier
// suspicion of the same record goes on; a newer record starts afresh.
func Suspect(old Suspicion, m board.Member, now time.Time) Suspicion {
	if old.Incarnation == m.Incarnation && old.Sequence == m.Sequence {
		return old
	}
	return Suspicion{Incarnation: m.Incarnation, Sequence: m.Sequence, Since: now}
}

// SuspicionState is the decision on a suspected member.
type SuspicionState uint8

// Verdicts.
const (
	// SuspicionPending: the suspicion goes on.
	SuspicionPending SuspicionState = iota
	// SuspicionCleared: the suspected record is no longer current.
	SuspicionCleared
	// SuspicionConfirmed: the member is declared dead.
	SuspicionConfirmed
)

// EvaluateSuspicion decides on a suspicion about the current record m.
func EvaluateSuspicion(s Suspicion, m board.Member, now time.Time) SuspicionState {
	switch {
	case !Live(m), m.Incarnation != s.Incarnation, m.Sequence != s.Sequence:
		return SuspicionCleared
	case now.Sub(s.Since) >= SuspicionTimeout:
		return SuspicionConfirmed
	}
	return SuspicionPending
}

// DeclareDead returns the declaration of death of a record.
func DeclareDead(m board.Member) board.Member {
	m.State = board.MemberDead
	return m
}

// ProvesAlive reports whether an answer to a ping proves that the pinged incarnation
// runs. A replacement at the same address, with another instance ID or
// incarnation, does not prove it.
func ProvesAlive(pinged board.Member, instance board.InstanceID, incarnation uint64) bool {
	return instance == pinged.Instance && incarnation == pinged.Incarnation
}

// WasPaused reports whether this node was paused between two ping rounds. Its
// suspicions then say nothing about the others.
func WasPaused(lastRound, now time.Time) bool {
	return !lastRound.IsZero() && now.Sub(lastRound) > pauseThreshold
}

// AwaitsRefutation reports whether a received declaration of death waits for ClaimGrace
// before it replaces the known record.
func AwaitsRefutation(known, claim board.Member) bool {
	return claim.State == board.MemberDead && Live(known) && claim.Incarnation == known.Incarnation
}

// reconnectsPerDeadMember is the number of nodes that try a dead member in one round,
// on average over the fleet.
const reconnectsPerDeadMember = 2

// ReconnectTarget returns a dead member to try again, if any. Each node tries with
// a probability that makes about two tries for each dead member over the whole
// fleet, at most one per node and round. random is uniform in [0, 1).
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
