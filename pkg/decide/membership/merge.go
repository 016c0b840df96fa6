// Package membership decides on member records: which of two wins, who is
// pinged, who is dead and what two nodes have to exchange. All functions are
// pure.
package membership

import (
	"cmp"
	"strings"

	"mangostand.example/mangostand/pkg/board"
)

// Compare orders two records of one instance. A higher incarnation wins, then
// a higher sequence, then the worse state. The remaining fields only break
// ties, so that all nodes settle on the same record in any order of arrival.
func Compare(a, b board.Member) int {
	if order := compareRecordVersion(a, b); order != 0 {
		return order
	}
	return cmp.Or(
		strings.Compare(a.PeerAddr, b.PeerAddr),
		strings.Compare(a.Service, b.Service),
		strings.Compare(a.Region, b.Region),
		strings.Compare(a.FailureDomain, b.FailureDomain),
		cmp.Compare(a.ServerIncarnation, b.ServerIncarnation),
		cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.Connections, b.Connections),
	)
}

func compareRecordVersion(a, b board.Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.State, b.State),
	)
}

// Supersedes reports whether a replaces b.
func Supersedes(a, b board.Member) bool { return Compare(a, b) > 0 }

// Merge returns the record that wins.
func Merge(a, b board.Member) board.Member {
	if Supersedes(b, a) {
		return b
	}
	return a
}

// Live reports whether a record is neither left nor dead.
func Live(m board.Member) bool { return m.State < board.MemberLeft }

// Valid reports whether a received record can be kept. Others are dropped.
func Valid(m board.Member) bool {
	const maxName = 255
	if m.Instance == "" || m.PeerAddr == "" || m.State > board.MemberDead {
		return false
	}
	for _, name := range []string{string(m.Instance), m.PeerAddr, m.Service, m.Region, m.FailureDomain} {
		if len(name) > maxName {
			return false
		}
	}
	return true
}

// Refute returns the record with which an instance answers a claim about
// itself, and whether it has to. It does not answer a claim with a higher
// incarnation: its instance was replaced, and the old one must not override
// the new one.
func Refute(self, claim board.Member) (board.Member, bool) {
	if claim.Incarnation != self.Incarnation || !Supersedes(claim, self) {
		return self, false
	}
	self.Sequence = claim.Sequence + 1
	return self, true
}
