package membership

import (
	"fmt"
	"testing"
	"time"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
)

// BenchmarkMergeAndPublish600 measures all work that one changed record causes
// in a table of 600 members: merge, snapshot with its indexes, digest and ring.
func BenchmarkMergeAndPublish600(b *testing.B) {
	now := time.Now()
	t := newMemberTable(board.Member{Instance: "self", Incarnation: 1, Sequence: 1, PeerAddr: "self"}, testTombstoneTTL)
	record := func(i int, sequence uint64) board.Member {
		return board.Member{
			Instance: board.InstanceID(fmt.Sprintf("instance-%03d", i)), Incarnation: 1, Sequence: sequence,
			State: board.MemberServing, Service: fmt.Sprintf("service-%d", i%16), PeerAddr: "a",
		}
	}
	for i := range 599 {
		t.merge(record(i, 1), now)
	}
	n := 0
	for b.Loop() {
		n++
		t.merge(record(n%599, uint64(n/599)+2), now)
		members := t.snapshot()
		_, _ = decide.Digest(members)
		_ = decide.NewRing(members)
	}
}

// BenchmarkStaleRecord600 measures the work for a record that is already known,
// as most copies of a flooded record are.
func BenchmarkStaleRecord600(b *testing.B) {
	now := time.Now()
	t := newMemberTable(board.Member{Instance: "self", Incarnation: 1, Sequence: 1, PeerAddr: "self"}, testTombstoneTTL)
	stale := board.Member{Instance: "i", Incarnation: 1, Sequence: 1, PeerAddr: "a"}
	t.merge(stale, now)
	for b.Loop() {
		t.merge(stale, now)
	}
}
