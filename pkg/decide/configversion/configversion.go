// Package configversion decides which version of the configuration wins: on a
// node, between a node and the store, and after an operator's write that got no
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
	// ChangeID distinguishes two configurations with the same version, which
	// exist only after the store has lost an accepted version.
	ChangeID string
}

// Decision is what a node does with a configuration that it is offered.
type Decision uint8

// Decisions.
const (
	// Unchanged: the node already has it.
	Unchanged Decision = iota
	// Accept: it is newer than that of the node.
	Accept
	// RefuseOlder: the node has a newer one.
	RefuseOlder
	// RefuseConflict: the node has other content with the same version.
	RefuseConflict
)

// Decide compares an offered configuration with that of the node. Versions only
// increase.
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

// NeedsWriteBack reports whether a node that watches the store writes its own
// configuration back, because the store recovered with an older one or none.
func NeedsWriteBack(current, stored Stamp) bool { return stored.Version < current.Version }

// WriteOutcome is the outcome of an operator's write that got no answer.
type WriteOutcome uint8

// Outcomes of a write.
const (
	// WriteApplied: the write took effect.
	WriteApplied WriteOutcome = iota
	// WriteRetry: the store is as it was before the write, which may still be
	// in progress. The same compare-and-swap is repeated; at most one of the
	// two takes effect.
	WriteRetry
	// WriteSuperseded: the store has a later version. The audit entry of the
	// written version shows whether the write took effect before.
	WriteSuperseded
	// WriteLost: another change has taken the version.
	WriteLost
)

// ResolveWrite determines the outcome of a write from the configuration that it
// wrote, the one that it started from and the one that the store holds.
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
	// Version is the version that the peer is known to have, 0 when unknown.
	Version uint64
}

// PullOrder returns the addresses of at most limit peers to ask for a version:
// first the peers known to have it, then those whose version is unknown, both
// in random order to spread the load, and last the origin of the rumor. Peers
// known to have an older version are left out.
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
		// The origin certainly has the version, so it always gets a place.
		candidates = append(candidates[:min(len(candidates), limit-1)], Source{Addr: origin})
	}
	var order []string
	for _, s := range candidates[:min(len(candidates), limit)] {
		order = append(order, s.Addr)
	}
	return order
}
