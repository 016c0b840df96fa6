package membership

import (
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

const (
	// SuspicionTime passes between a missed ping and the declaration of death.
	SuspicionTime = 2 * time.Second
	// ClaimGrace passes between a received declaration of death and its effect.
	// When regions meet again, each holds the other for dead; the grace lets
	// the living refute before anyone drops them.
	ClaimGrace = 500 * time.Millisecond
	// pauseLimit is a gap between two ping rounds (500 ms apart) after which
	// the node itself counts as paused.
	pauseLimit = 1500 * time.Millisecond
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

// Verdict is the decision on a suspected member.
type Verdict uint8

// Verdicts.
const (
	// VerdictWait: the suspicion goes on.
	VerdictWait Verdict = iota
	// VerdictClear: the suspected record is no longer current.
	VerdictClear
	// VerdictDead: the member is declared dead.
	VerdictDead
)

// Judge decides on a suspicion about the current record m.
func Judge(s Suspicion, m board.Member, now time.Time) Verdict {
	switch {
	case !Live(m), m.Incarnation != s.Incarnation, m.Sequence != s.Sequence:
		return VerdictClear
	case now.Sub(s.Since) >= SuspicionTime:
		return VerdictDead
	}
	return VerdictWait
}

// Dead returns the declaration of death of a record.
func Dead(m board.Member) board.Member {
	m.State = board.MemberDead
	return m
}

// Answered reports whether an answer to a ping proves that the pinged incarnation
// runs. A replacement at the same address, with another instance ID or
// incarnation, does not prove it.
func Answered(pinged board.Member, instance board.InstanceID, incarnation uint64) bool {
	return instance == pinged.Instance && incarnation == pinged.Incarnation
}

// Paused reports whether this node was paused between two ping rounds. Its
// suspicions then say nothing about the others.
func Paused(lastRound, now time.Time) bool {
	return !lastRound.IsZero() && now.Sub(lastRound) > pauseLimit
}

// Held reports whether a received declaration of death waits for ClaimGrace
// before it replaces the known record.
func Held(known, claim board.Member) bool {
	return claim.State == board.MemberDead && Live(known) && claim.Incarnation == known.Incarnation
}

// retriesPerDead is the number of nodes that try a dead member in one round,
// on average over the fleet.
const retriesPerDead = 2

// ChooseDead returns a dead member to try again, if any. Each node tries with
// a probability that makes about two tries for each dead member over the whole
// fleet, at most one per node and round. random is uniform in [0, 1).
func ChooseDead(members *board.Members, random func() float64) (board.Member, bool) {
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
	if len(dead) == 0 || random()*float64(max(live, 1)) >= float64(retriesPerDead*len(dead)) {
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
