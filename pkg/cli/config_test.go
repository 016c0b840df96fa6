package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/configstore"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/opsapi"
	"mangostand.example/mangostand/pkg/standin/store"
)

// bench is a store and the files of one operator.
type bench struct {
	t     *testing.T
	store *store.Store
	url   string
	dir   string
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, store: store.New(time.Now), dir: t.TempDir()}
	server := httptest.NewServer(b.store.Handler())
	t.Cleanup(server.Close)
	b.url = server.URL
	require.NoError(t, os.Mkdir(filepath.Join(b.dir, "overlays"), 0o755))
	b.write("base.ini", "[service a]\npolicy = random\n")
	b.write("overlays/north.ini", "[service a]\nservers = n-*\n")
	return b
}

func (b *bench) write(name, text string) {
	require.NoError(b.t, os.WriteFile(filepath.Join(b.dir, name), []byte(text), 0o644))
}

func (b *bench) run(args ...string) (int, string, string) {
	return run(args...)
}

func (b *bench) files() []string {
	return []string{"--base", filepath.Join(b.dir, "base.ini"), "--overlays", filepath.Join(b.dir, "overlays")}
}

func (b *bench) apply(author string, args ...string) (int, string, string) {
	all := append([]string{"config", "apply", "--store", b.url, "--author", author}, b.files()...)
	return b.run(append(all, args...)...)
}

func (b *bench) current() configstore.StoredDocument {
	entry, err := b.store.Get(dynconf.CurrentKey)
	if err != nil {
		return configstore.StoredDocument{}
	}
	document, err := dynconf.DecodeDocument(entry.Value)
	require.NoError(b.t, err)
	return configstore.StoredDocument{Document: document}
}

// Guards against a version that history, show or audit do not know, or that
// they show with other content.
func TestApplyAndLookUp(t *testing.T) {
	b := newBench(t)
	status, stdout, stderr := b.apply("awa")
	require.Equal(t, ExitOK, status, stderr)
	require.Contains(t, stdout, "+2: servers = n-*\n")
	require.Contains(t, stdout, "applied version 1")
	b.write("base.ini", "[service a]\npolicy = hotcold\n")
	status, _, stderr = b.apply("ben", "--from", "1")
	require.Equal(t, ExitOK, status, stderr)

	_, stdout, _ = b.run("config", "history", "--store", b.url)
	require.Len(t, strings.Split(strings.TrimSpace(stdout), "\n"), 2)
	_, stdout, _ = b.run("config", "show", "1", "--store", b.url)
	require.Contains(t, stdout, "policy = random\n# overlay north\n[service a]\nservers = n-*\n")
	_, stdout, _ = b.run("config", "show", "--store", b.url)
	require.Contains(t, stdout, "policy = hotcold\n")
	status, _, stderr = b.run("config", "show", "9", "--store", b.url)
	require.Equal(t, ExitFailure, status)
	require.Contains(t, stderr, "no such version")

	_, stdout, _ = b.run("audit", "--json", "--store", b.url)
	var entries []configstore.AuditEntry
	require.NoError(t, json.Unmarshal([]byte(stdout), &entries))
	require.Len(t, entries, 2)
	require.Equal(t, "ben", entries[0].Author)
	require.EqualValues(t, 1, entries[0].From)
	require.EqualValues(t, 2, entries[0].To)
	require.Equal(t, "base\n-2: policy = random\n+2: policy = hotcold\n", entries[0].Difference)
	_, stdout, _ = b.run("audit", "--limit", "1", "--store", b.url)
	require.Contains(t, stdout, "ben  version 1 to 2")
}

// Guards against a second operator who overwrites the first, or who is not
// told what the first changed.
func TestSecondOperatorGetsDifference(t *testing.T) {
	b := newBench(t)
	status, _, stderr := b.apply("awa")
	require.Equal(t, ExitOK, status, stderr)
	b.write("base.ini", "[service a]\npolicy = hotcold\n")
	status, _, stderr = b.apply("ben", "--from", "1")
	require.Equal(t, ExitOK, status, stderr)
	b.write("base.ini", "[service a]\npolicy = roundrobin\n")
	status, _, stderr = b.apply("chi", "--from", "1")
	require.Equal(t, ExitConflict, status)
	require.Contains(t, stderr, `started from version 1, but version 2 by "ben" is in force; nothing was applied`)
	require.Contains(t, stderr, "-2: policy = random\n+2: policy = hotcold\n")
	require.EqualValues(t, 2, b.current().Document.Version)
	status, _, _ = b.apply("chi", "--from", "7")
	require.Equal(t, ExitConflict, status)
}

// Guards against a part of a bad change that takes effect, and against bad
// arguments that are guessed.
func TestBadInputAppliesNothing(t *testing.T) {
	b := newBench(t)
	for name, c := range map[string]struct{ file, text, want string }{
		"bad base":        {"base.ini", "[service a]\npolicy = best\n", "base.ini:2: policy = best: expected one of"},
		"site left out":   {"overlays/south.ini", "[probes]\nrate = 1\n", "base.ini:1: service a has no allowed backend server at site south"},
		"stray file":      {"overlays/north.ini.orig", "", "north.ini.orig: expected only overlays named SITE.ini"},
		"huge base":       {"base.ini", strings.Repeat("# \n", 1<<20), "base.ini:1: file has 524289 bytes"},
		"missing overlay": {"overlays/north.ini", "[service a]\n", "base.ini:1: service a has no allowed"},
	} {
		t.Run(name, func(t *testing.T) {
			b.write("base.ini", "[service a]\npolicy = random\n")
			b.write("overlays/north.ini", "[service a]\nservers = n-*\n")
			b.write(c.file, c.text)
			status, _, stderr := b.apply("awa")
			require.Equal(t, ExitBadInput, status)
			require.Contains(t, stderr, c.want)
			require.Equal(t, 1, strings.Count(stderr, "\n"), stderr)
			if strings.HasPrefix(c.file, "overlays/") {
				require.NoError(t, os.Remove(filepath.Join(b.dir, c.file)))
			}
		})
	}
	require.Nil(t, b.current().Document)
	b = newBench(t)
	for _, args := range [][]string{{"--from", "x"}, {"--wait"}, {"--author", ""}} {
		status, _, _ := b.apply("awa", args...)
		require.Equal(t, ExitBadInput, status, args)
	}
	require.Nil(t, b.current().Document)
}

// Guards against a change that is reported as applied while the store is down,
// and against one that is reported as lost after its write took effect.
func TestApplyWithFaultyStore(t *testing.T) {
	b := newBench(t)
	b.store.SetFaults(store.Faults{Outage: true})
	status, stdout, stderr := b.apply("awa")
	require.Equal(t, ExitFailure, status)
	require.Contains(t, stderr, "nothing was applied")
	require.NotContains(t, stdout, "applied version")
	b.store.SetFaults(store.Faults{LoseResponses: 1})
	status, stdout, stderr = b.apply("awa")
	require.Equal(t, ExitOK, status, stderr)
	require.Contains(t, stdout, "applied version 1")
	require.EqualValues(t, 1, b.current().Document.Version)
}

// Guards against a wait that ends before the version is in force, or that does
// not say why it never will be.
func TestWaitForNode(t *testing.T) {
	b := newBench(t)
	node := board.New("n")
	config, state := node.Config.Claim("test"), node.ConfigState.Claim("test")
	server := httptest.NewServer(opsapi.NewHandler(node, http.NotFoundHandler(), nil))
	defer server.Close()
	status, _, stderr := b.apply("awa")
	require.Equal(t, ExitOK, status, stderr)
	var waitErr bytes.Buffer
	waiting := &application{node: &nodeClient{url: server.URL}, timeout: time.Millisecond, stderr: &waitErr}
	require.Equal(t, ExitFailure, waiting.waitForNode(b.current().Document))
	require.Contains(t, waitErr.String(), "version 1 was applied, but is not in force")

	state.Publish(&board.ConfigState{Newest: configstore.StampOf(b.current().Document), NotAppliedReason: "no servers"})
	problem, verdict := inForce(opsapi.NewConfigStatus(node), b.current().Document)
	require.True(t, problem)
	require.ErrorContains(t, verdict, "no servers")

	config.Publish(&dynconf.Config{Version: 3})
	status, stdout, stderr := b.apply("awa", "--wait", "--node", server.URL)
	require.Equal(t, ExitOK, status, stderr)
	require.Contains(t, stdout, "version 3 is in force at "+server.URL)
}

// Guards against a rendered site that hides where a value comes from.
func TestRenderCommand(t *testing.T) {
	b := newBench(t)
	status, stdout, stderr := b.run(append([]string{"config", "render", "north"}, b.files()...)...)
	require.Equal(t, ExitOK, status, stderr)
	require.Contains(t, stdout, "# "+filepath.Join(b.dir, "overlays/north.ini")+":2\nservers = n-*\n")
	require.Contains(t, stdout, "# default\nhot_quantile = 0.75\n")
	status, _, stderr = b.run(append([]string{"config", "render", "east"}, b.files()...)...)
	require.Equal(t, ExitBadInput, status)
	require.Contains(t, stderr, `no overlay of site "east"`)
}
