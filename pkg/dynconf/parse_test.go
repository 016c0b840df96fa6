package dynconf

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a bad configuration that is accepted or reported without
// its place.
func TestMergeReportsFileAndLine(t *testing.T) {
	cases := map[string]struct{ base, overlay, want string }{
		"unknown section":  {"[cache]\n", "", "base.ini:1: unknown section [cache]"},
		"unknown key":      {"[probes]\nratte = 3\n", "", "base.ini:2: unknown key ratte in section [probes]"},
		"missing unit":     {"[breaker]\nopen_for = 5\n", "", "base.ini:2: open_for = 5: expected a time with a unit, such as 250ms or 2s"},
		"out of range":     {"[probes]\nrate = -1\n", "", "base.ini:2: rate = -1: out of range, expected 0 to 10000"},
		"duplicate":        {"[service a]\nservers = x\n[service a]\nservers = y\n", "", "base.ini:3: duplicate section [service a], first on line 1"},
		"no servers":       {"[service a]\n", "", "base.ini:1: service a has no allowed backend server (key servers)"},
		"bad overlay":      {"[service a]\nservers = x\n", "[service a]\npolicy = best\n", "site.ini:2: policy = best: expected one of hotcold, twochoices, roundrobin, random"},
		"undeclared route": {"[route a/b]\npath = /\n", "", "base.ini:1: route a/b: service a is not declared above"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			config, problems := Merge("site", Source{"base.ini", []byte(c.base)}, &Source{"site.ini", []byte(c.overlay)})
			require.Nil(t, config)
			require.NotEmpty(t, problems)
			require.Equal(t, c.want, problems[0].Error())
		})
	}
}

// Guards against an overlay that loses values of the base, and against a
// wrong default of idempotence.
func TestMergeOverlay(t *testing.T) {
	base := "[service a]\nservers = none\npolicy = random\n[route a/read]\npath = /r\n[route a/all]\n"
	config, problems := Merge("s", Source{"b", []byte(base)}, &Source{"o", []byte("[service a]\nservers = a-*, b1\n")})
	require.Empty(t, problems)
	service := config.Services["a"]
	require.Equal(t, "random", service.Policy)
	require.True(t, service.Allows("a-7"))
	require.False(t, service.Allows("none"))
	require.Equal(t, "a/read", service.Match("GET", "/r/1").Name)
	require.Equal(t, "a/all", service.Match("GET", "/rest").Name)
	require.True(t, service.Match("GET", "/r").IsIdempotent("GET"))
	require.False(t, service.Match("POST", "/r").IsIdempotent("POST"))
}
