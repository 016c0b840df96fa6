package mesh

import (
	"fmt"
	"testing"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// BenchmarkPickEndpoint measures the choice of the endpoint of an offer in services of
// 17, 57 and 160 endpoints; the latter is a large service at 300 nodes.
func BenchmarkPickEndpoint(b *testing.B) {
	for _, count := range []int{17, 57, 160} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f := newBenchForwarder(count)
			b.ReportAllocs()
			for b.Loop() {
				f.pickEndpoint()
			}
		})
	}
}

func newBenchForwarder(count int) *forwarder {
	nodeBoard := board.NewMeshBoard(board.NodeIdentity{Instance: "n0", FailureDomain: "d0", Service: "desk"})
	view := &board.Fleet{ByInstance: map[board.InstanceID]*board.MeshEndpoint{}, ByService: map[string][]*board.MeshEndpoint{}, Size: count}
	for i := range count {
		endpoint := &board.MeshEndpoint{
			Record:        board.NodeRecord{Instance: board.InstanceID(fmt.Sprintf("n%d", i)), FailureDomain: fmt.Sprintf("d%d", i%4), Service: "desk", Slots: 8, LinkRate: 5e6},
			EndpointStats: &board.EndpointStats{}, Reachability: &board.Reachability{},
		}
		endpoint.UpdateLoadReport(board.LoadReport{
			InFlight: uint32(i % 7), Limit: 8, LatencyMicros: 100_000, Sequence: 1, SlowdownPercent: uint32(100 + 30*(i%3)),
			MinSlowdownPercent: 100 + uint32(i%20/19), ReceivedAt: time.Now().Add(-time.Duration(i) * time.Millisecond),
		})
		view.ByService["desk"] = append(view.ByService["desk"], endpoint)
	}
	nodeBoard.Fleet.Claim("test").Publish(view)
	nodeBoard.CallStats.ForRule("read").AddServiceTime(100 * time.Millisecond)
	nodeBoard.CallStats.ForRule("read").AddResponseSize(3000)
	now := time.Now()
	return &forwarder{
		entry: &Entry{Board: nodeBoard},
		call:  &Call{Rule: "read", Service: "desk", Received: now, Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(time.Second)},
	}
}
