// Package configversion decides which version of the configuration wins: at a
// node, between a node and the store, and for an operator whose write got no
// answer.
package configversion

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Stamp identifies one accepted configuration. The zero value means none.
type Stamp struct {
	Version uint64
	// ChangeID tells apart two contents under one version, which exist only
	// after the store lost an accepted version.
	ChangeID string
}

// Decision is what a node does with a configuration from any source.
type Decision uint8

// Verdicts.
const (
	// Unchanged: the node has it already.
	Unchanged Decision = iota
	// Accept: it is newer than the node's.
	Accept
	// RefuseOlder: the node has a newer one.
	RefuseOlder
	// RefuseConflict: the node has other content under the same version.
	RefuseConflict
)

// Decide compares an offered configuration with the node's. Versions only rise.
func Decide(current, offered Stamp) Decision {
	switch {
	case offered.Version > current.Version:
		return Accept
	case offered.Version < current.Version:
		return RefuseOlder
	case offered.ChangeID != current.ChangeID:
		return RefuseConflict
	}
	return Unchanged
}

// NeedsWriteBack reports whether a node that watches the store puts its own
// configuration back, because the store returned with an older one or none.
func NeedsWriteBack(current, stored Stamp) bool { return stored.Version < current.Version }

// WriteOutcome is what an operator's write without an answer came to.
type WriteOutcome uint8

// Settlements.
const (
	// WriteApplied: the write took effect.
	WriteApplied WriteOutcome = iota
	// WriteRetry: the store is as it was before the write, which may still be
	// under way. The same compare-and-swap is repeated: at most one of the two
	// takes effect.
	WriteRetry
	// WriteSuperseded: a later version is in the store. The audit entry of the
	// write's own version tells whether it took effect before.
	WriteSuperseded
	// WriteLost: another change took the version.
	WriteLost
)

// ResolveWrite compares what the store holds with the write and with what the write
// started from.
func ResolveWrite(written, start, stored Stamp) WriteOutcome {
	switch {
	case stored == written:
		return WriteApplied
	case stored == start:
		return WriteRetry
	case stored.Version > written.Version:
		return WriteSuperseded
	}
	return WriteLost
}

// Source is a peer from which a configuration can be pulled.
type Source struct {
	Addr string
	// Version is the version that the peer is known to have, 0 when not known.
	Version uint64
}

// PullOrder returns the addresses to ask for a version, at most limit: first
// the peers that are known to have it, then those of which nothing is known,
// each in random order so that the load spreads, and last the origin of the
// rumor when there is room. Peers known to have an older version are left out.
func PullOrder(sources []Source, wanted uint64, origin string, limit int, random *rand.Rand) []string {
	var candidates []Source
	for _, s := range sources {
		if s.Addr != origin && (s.Version == 0 || s.Version >= wanted) {
			candidates = append(candidates, s)
		}
	}
	random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b Source) int { return cmp.Compare(min(b.Version, 1), min(a.Version, 1)) })
	if origin != "" {
		// The origin has the version for certain, so it is always asked.
		candidates = append(candidates[:min(len(candidates), limit-1)], Source{Addr: origin})
	}
	var order []string
	for _, s := range candidates[:min(len(candidates), limit)] {
		order = append(order, s.Addr)
	}
	return order
}
