package localapi

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an announcement that crashes the node or is accepted with
// values out of range.
func FuzzParseAnnouncement(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := ParseAnnouncement(data)
		if err != nil {
			require.Zero(t, a)
			return
		}
		require.NotEmpty(t, a.Service)
		require.NotEmpty(t, a.Addr)
		require.GreaterOrEqual(t, a.Slots, uint32(1))
		require.LessOrEqual(t, a.Slots, uint32(maxSlots))
		require.LessOrEqual(t, a.Connections, uint32(maxConnections))
	})
}

// Guards against invalid values that reach the board, and against errors that do
// not name the field.
func TestParseAnnouncement(t *testing.T) {
	const validAnnouncement = `{"service":"atelier-suivi","addr":"127.0.0.1:7200","slots":10,"connections":200,"incarnation":1}`
	_, err := ParseAnnouncement([]byte(validAnnouncement))
	require.NoError(t, err)
	cases := []struct{ old, replacement, wantError string }{
		{`"atelier-suivi"`, `""`, "service"},
		{`"atelier-suivi"`, `"../etc"`, "service"},
		{`"atelier-suivi"`, `"` + strings.Repeat("a", 101) + `"`, "service"},
		{`"127.0.0.1:7200"`, `"localhost:7200"`, "addr"},
		{`"127.0.0.1:7200"`, `"127.0.0.1:0"`, "addr"},
		{`"127.0.0.1:7200"`, `"0.0.0.0:80"`, "addr"},
		{`"slots":10`, `"slots":0`, "slots"},
		{`"slots":10`, `"slots":4000000000`, "slots"},
		{`"slots":10`, `"slots":-1`, "slots"},
		{`"slots":10`, `"slots":1e99`, "slots"},
		{`"connections":200`, `"connections":4000000000`, "connections"},
		{`1}`, `1}{}`, "data after the object"},
		{validAnnouncement, `null`, "service"},
		{validAnnouncement, `[`, "malformed"},
	}
	for _, c := range cases {
		_, err := ParseAnnouncement([]byte(strings.Replace(validAnnouncement, c.old, c.replacement, 1)))
		require.ErrorContains(t, err, c.wantError, c.replacement)
	}
}
