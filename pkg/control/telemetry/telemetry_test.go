package telemetry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/peer"
	"mangostand.example/mangostand/pkg/wire"
)

// Guards against counters that add a total again at each update, and against
// gauges that miss a member.
func TestUpdateAddsOnlyIncreases(t *testing.T) {
	b := board.New("atelier-1")
	b.Members.Claim("test").Publish(board.NewMembers("atelier-1", map[board.InstanceID]board.Member{
		"atelier-1": {Instance: "atelier-1", State: board.MemberServing},
		"atelier-2": {Instance: "atelier-2", State: board.MemberDead},
	}))
	scope := tally.NewTestScope("", nil)
	var traffic peer.Traffic
	c := New(b, &traffic, scope)
	traffic.Sent.Store(100)
	c.update()
	traffic.Sent.Store(150)
	c.update()
	s := scope.Snapshot()
	require.Equal(t, int64(150), s.Counters()["control_bytes_sent_total+"].Value())
	require.Equal(t, float64(1), s.Gauges()["members+state=serving"].Value())
	require.Equal(t, float64(1), s.Gauges()["members+state=dead"].Value())
}

// Guards against a message type whose total is added again at each update, and
// against wire totals that are not exported.
func TestUpdateExportsMessagesByType(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	var traffic peer.Traffic
	c := New(board.New("atelier-1"), &traffic, scope)
	c.WireTraffic = func() (peer.WireTraffic, int) { return peer.WireTraffic{SentBytes: 400}, 3 }
	traffic.OfType(peer.ClassKeys, wire.TypeClaim).Sent.Store(70)
	c.update()
	traffic.OfType(peer.ClassKeys, wire.TypeClaim).Sent.Store(80)
	c.update()
	s := scope.Snapshot()
	require.Equal(t, int64(80), s.Counters()["message_bytes_sent_total+class=keys,type=claim"].Value())
	require.Equal(t, int64(400), s.Counters()["peer_wire_bytes_sent_total+"].Value())
	require.Equal(t, float64(3), s.Gauges()["peer_connections+"].Value())
}
