package healthcheck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/platform"
)

// Guards against a restarted node that does not learn that its backend server leaves
// (review/7), and against a server that is doubted because it has no room for the check
// or answers falsely while it is in use.
func TestRefusedHealthCheckBeforeConfirmation(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
	unknown := board.BackendServer{}
	unconfirmed := board.BackendServer{ID: "s", StartMillis: 7, State: board.ServerReady, Unconfirmed: true}
	inUse := board.BackendServer{ID: "s", StartMillis: 7, State: board.ServerReady}
	for name, c := range map[string]struct {
		server   board.BackendServer
		response string
		refused  bool
	}{
		"not known yet":    {unknown, refusal + "\r\n", true},
		"not confirmed":    {unconfirmed, refusal + "\r\n", true},
		"full":             {unconfirmed, refusal + platform.HeaderNotExecuted + ": 1\r\n\r\n", false},
		"in use":           {inUse, refusal + "\r\n", false},
		"another response": {unconfirmed, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLivenessFixture(t, true, c.response)
			addr := f.server.Addr
			f.server = c.server
			f.pollHealth(t.Context(), time.Now(), addr)
			select {
			case event := <-f.Board.Announcements.Events():
				require.True(t, c.refused)
				require.Equal(t, board.ServerEventHealthRefused, event.Kind)
			default:
				require.False(t, c.refused)
			}
		})
	}
}
