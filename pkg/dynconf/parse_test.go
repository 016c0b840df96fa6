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
		"no servers":       {"[service a]\n", "", "base.ini:1: service a has no allowed backend server at site site (key servers)"},
		"bad overlay":      {"[service a]\nservers = x\n", "[service a]\npolicy = best\n", "site.ini:2: policy = best: expected one of hotcold, twochoices, roundrobin, random"},
		"bad servers":      {"[service a]\nservers = [\n", "", "base.ini:2: servers = [: bad pattern \"[\""},
		"route clash":      {"[service a]\nservers = x\n[route a/b]\npath = /x\n[route a/c]\npath = /x/\n", "", "base.ini:5: route a/c has the path and a method of route a/b"},
		"bad service name": {"[service A]\nservers = x\n", "", "base.ini:1: service name \"A\": expected lower-case letters, digits and -"},
		"NUL in overlay":   {"[service a]\nservers = x\n", "[service a]\npolicy = \x00\n", "site.ini:2: NUL byte"},
		"undeclared route": {"[route a/b]\npath = /\n", "", "base.ini:1: route a/b: service a is not declared"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			config, problems := Merge("site", Source{"base.ini", []byte(c.base)}, &Source{"site.ini", []byte(c.overlay)})
			require.Nil(t, config)
			require.Len(t, problems, 1)
			require.Equal(t, c.want, problems[0].Error())
		})
	}
}

// Guards against an overlay that loses values of the base, and against a
// wrong default of idempotence.
func TestMergeOverlay(t *testing.T) {
	base := "[service a]\npolicy = random\n[route a/read]\npath = /r\n[route a/all]\n"
	config, problems := Merge("s", Source{"b", []byte(base)}, &Source{"o", []byte("[service a]\nservers = a-*, b1\n")})
	require.Empty(t, problems)
	service := config.Services["a"]
	require.Equal(t, "random", service.Policy)
	require.True(t, service.AllowsInstance("a-7"))
	require.False(t, service.AllowsInstance("c1"))
	require.Equal(t, "a/read", service.MatchRoute("GET", "/r/1").Name)
	require.Equal(t, "a/all", service.MatchRoute("GET", "/rest").Name)
	require.True(t, service.MatchRoute("GET", "/r").IsIdempotent("GET"))
	require.False(t, service.MatchRoute("POST", "/r").IsIdempotent("POST"))
}

// Guards against a base that has to name servers only to pass the check, and
// against a site without servers that passes because of another site.
func TestServersMayComeFromTheOverlay(t *testing.T) {
	document := &Document{
		Version: 1, ChangeID: "c", Base: "[route b/all]\n[service a]\n",
		Overlays: map[string]string{
			"north": "[service a]\nservers = a-*\n[service b]\nservers = b-*\n",
			"south": "[service b]\nservers = b-*\n",
		},
	}
	problems := document.Validate(nil)
	require.Len(t, problems, 1)
	require.Equal(t, "base:2: service a has no allowed backend server at site south (key servers)", problems[0].Error())
	config, err := document.ConfigForSite("north")
	require.NoError(t, err)
	require.Equal(t, "b/all", config.Services["b"].MatchRoute("GET", "/x").Name)
}

// Guards against a rendered value that is not the one in force, or that names
// the wrong place.
func TestRenderNamesTheOriginOfEachValue(t *testing.T) {
	base := Source{"base.ini", []byte("[service a]\nservers = x\n[route a/b]\ndeadline = 90s\n[breaker]\nopen_for = 2s\n")}
	overlay := Source{"site.ini", []byte("[service a]\nservers = a-*, b\n[probes]\nbytes = 5KB\n")}
	text, problems := Render("site", base, &overlay)
	require.Empty(t, problems)
	require.Contains(t, text, "# site.ini:2\nservers = a-*, b\n")
	require.Contains(t, text, "# base.ini:6\nopen_for = 2s\n")
	require.Contains(t, text, "# base.ini:4\ndeadline = 1m30s\n")
	require.Contains(t, text, "# default\nqueue_wait = 100ms\n")
	require.Contains(t, text, "# default: methods is not set\n")
	want, problems := Merge("site", base, &overlay)
	require.Empty(t, problems)
	requireRendered(t, want, "site", text)
}

// requireRendered reads a rendered configuration back.
func requireRendered(t *testing.T, want *Config, site, text string) {
	t.Helper()
	got, problems := Merge(site, Source{"rendered", []byte(text)}, nil)
	require.Empty(t, problems)
	require.Equal(t, want, got)
}

// Guards against a difference that hides a change or names another line.
func TestDifference(t *testing.T) {
	from := &Document{Base: "a\nb\nc\n", Overlays: map[string]string{"x": "1\n", "y": "2\n"}}
	to := &Document{Base: "a\nB\nc\nd\n", Overlays: map[string]string{"x": "1\n", "z": "3\n"}}
	want := "base\n-2: b\n+2: B\n+4: d\noverlay y\n-1: 2\noverlay z\n+1: 3\n"
	require.Equal(t, want, Difference(from, to))
	require.Empty(t, Difference(to, to))
}

// Guards against a panic or a problem without a place on any pair of files.
func FuzzParse(f *testing.F) {
	f.Add("[service a]\nservers = x\n", "[service a]\npolicy = random\n")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		b, o := Source{"b", []byte(base)}, Source{"o", []byte(overlay)}
		config, problems := Merge("s", b, &o)
		require.Equal(t, config == nil, len(problems) > 0)
		for _, p := range problems {
			require.Positive(t, p.Line)
			require.Contains(t, []string{"b", "o"}, p.File)
		}
		if config == nil {
			return
		}
		text, problems := Render("s", b, &o)
		require.Empty(t, problems)
		requireRendered(t, config, "s", text)
	})
}

// Guards against a panic on a damaged document, and against one that is
// accepted without the facts that order versions.
func FuzzDecodeDocument(f *testing.F) {
	f.Add([]byte(`{"version":1,"change_id":"c","base":""}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := DecodeDocument(data)
		if err != nil {
			return
		}
		require.Equal(t, document.ParentVersion+1, document.Version)
		require.NotEmpty(t, document.ChangeID)
		encoded, err := document.Encode()
		require.NoError(t, err)
		again, err := DecodeDocument(encoded)
		require.NoError(t, err)
		require.Equal(t, document, again)
	})
}
