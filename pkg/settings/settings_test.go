package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = "[node]\ninstance = a\nsite = s\nregion = r\nfailure_domain = d\n" +
	"[listen]\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:2\n[peer_tls]\ncert = c\nkey = k\nca = a\n"

// Guards against a node that starts with a default instead of a misspelt or
// invalid value, and against errors without file and line.
func TestParseReportsFileAndLine(t *testing.T) {
	_, problems := Parse("f", []byte(validSettings))
	require.Empty(t, problems)
	cases := map[string]struct{ text, want string }{
		"unknown section":  {validSettings + "[peer]\n", "f:13: unknown section [peer]"},
		"unknown key":      {validSettings + "[platform]\nstroe = http://127.0.0.1:7000\n", "f:14: unknown key stroe in section [platform]"},
		"bad store":        {validSettings + "[platform]\nstore = 127.0.0.1:7000\n", "f:14: store = 127.0.0.1:7000: expected http://HOST:PORT or https://HOST:PORT"},
		"bad seed":         {validSettings + "[platform]\nseeds = 127.0.0.1:1, host:2\n", "f:14: seeds = 127.0.0.1:1, host:2: seed host:2: expected IP:port"},
		"missing key":      {validSettings[:len(validSettings)-len("ca = a\n")], "f:9: [peer_tls] ca is missing"},
		"bad port":         {strings.Replace(validSettings, "0.1:2", "0.1:99999", 1), "f:8: peers = 127.0.0.1:99999: expected IP:port"},
		"certificate only": {validSettings + "[caller_tls]\ncert = c\n", "f:13: [caller_tls] key is missing"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			node, problems := Parse("f", []byte(c.text))
			require.Nil(t, node)
			require.Len(t, problems, 1)
			require.Equal(t, c.want, problems[0].Error())
		})
	}
}

// Guards against a panic on arbitrary input, and against settings that are
// returned together with a problem or without their required values.
func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Fuzz(func(t *testing.T, text string) {
		node, problems := Parse("f", []byte(text))
		require.Equal(t, node == nil, len(problems) > 0)
		for _, p := range problems {
			require.Positive(t, p.Line)
		}
		if node != nil {
			require.NotEmpty(t, node.Instance)
			require.NotEmpty(t, node.PeerTLS.CA)
		}
	})
}
