package mesh

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/evacuation"
)

// Guards against calls that fail because the evacuated domains make the hop header
// longer than the 4 KB that nodes reserve for it.
func TestHopHeaderHasRoomForEvacuatedDomains(t *testing.T) {
	var domains []string
	for i := range 1000 {
		domains = append(domains, fmt.Sprintf("%03d", i)+strings.Repeat("x", 61))
	}
	bounded, _ := evacuation.Bound(domains, func(string) bool { return true })
	state := &board.Evacuation{Era: 1 << 40, Revision: 1 << 60, Settled: true, Domains: bounded}
	name := strings.Repeat("n", 64)
	request := hopRequest{
		ID: name, Service: name, ServerID: name, CallerService: name, Rule: name, Customer: name, FromAddr: name,
		TimeToDeadlineMicros: 1 << 40, TimeToObjectiveMicros: 1 << 40, MaxResponseTimeMicros: 1 << 40, ConfigVersion: 1 << 60, Evacuation: state,
	}
	require.Less(t, len(encodeHop(request)), 4<<10)
	response := hopResponse{Reason: board.ReasonSlowerThanAlternative, ServiceTimeMicros: 1 << 40, QueueWaitMicros: 1 << 40, Executor: board.InstanceID(name), Evacuation: state}
	require.Less(t, len(encodeHop(response)), 4<<10)
	t.Logf("%d and %d bytes", len(encodeHop(request)), len(encodeHop(response)))
}

// Guards against a call that no other node takes because its caller sent an id that is not
// valid UTF-8, which HTTP allows in a header.
func TestHopKeepsAnIDThatIsNotUTF8(t *testing.T) {
	hop := newHopRequest(&Call{ID: "caf\xe9"}, "s", 0, time.Now())
	var received hopRequest
	require.NoError(t, decodeHop(encodeHop(hop), &received))
	require.Equal(t, "caf\xe9", received.ID)
}
