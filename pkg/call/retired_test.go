package call

import (
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/wire"
)

// Guards against calls to retired services and routes that the entry forwards,
// or that an executor with a newer configuration runs, and against refusals
// that are not counted.
func TestRetiredTrafficIsRefusedAndCounted(t *testing.T) {
	text := "[service a]\nservers = x\n[route a/old]\npath = /old\nretired = yes\n[route a/all]\n[service b]\nretired = yes\n"
	config, problems := dynconf.Merge("s", dynconf.Source{Name: "base", Data: []byte(text)}, nil)
	require.Empty(t, problems)
	b := board.New("x")
	b.Config.Claim("test").Publish(config)
	b.LocalServer.Claim("test").Publish(&board.LocalServer{Announced: true, Service: "a"})
	entry := &Entry{Board: b, Log: zerolog.Nop()}
	executor := &Executor{Instance: "x", AtMostOnce: atmostonce.New("x", 1, b, nil, zerolog.Nop()), Board: b, Log: zerolog.Nop()}

	for _, r := range []*Request{
		{Service: "a", Method: http.MethodGet, Path: "/old/1", Caller: "screen"},
		{Service: "b", Method: http.MethodPost, Path: "/", Caller: "screen"},
	} {
		result := entry.Serve(t.Context(), r)
		require.Equal(t, board.OutcomeNotRun, result.Outcome)
		require.Equal(t, http.StatusGone, result.Status)
	}
	result := executor.Execute(t.Context(), &wire.Call{Service: "a", Method: http.MethodGet, Path: "/old", Caller: "screen", TimeToDeadlineMicros: 1e6})
	require.Equal(t, board.ReasonRetired, result.Reason)

	rows := b.RetiredTraffic.Rows()
	require.Len(t, rows, 2)
	require.Equal(t, board.RetiredTrafficKey{Caller: "screen", Service: "a"}, rows[0].RetiredTrafficKey)
	require.EqualValues(t, 2, rows[0].Refused)
	require.EqualValues(t, 1, rows[1].Refused)
}
