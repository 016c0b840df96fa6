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

// testEnv holds a store server and the configuration files of one operator.
type testEnv struct {
	t        *testing.T
	store    *store.Store
	storeURL string
	dir      string
}

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{t: t, store: store.New(time.Now), dir: t.TempDir()}
	server := httptest.NewServer(env.store.Handler())
	t.Cleanup(server.Close)
	env.storeURL = server.URL
	require.NoError(t, os.Mkdir(filepath.Join(env.dir, "overlays"), 0o755))
	env.writeFile("base.ini", "[service a]\npolicy = random\n")
	env.writeFile("overlays/north.ini", "[service a]\nservers = n-*\n")
	return env
}

func (env *testEnv) writeFile(name, text string) {
	require.NoError(env.t, os.WriteFile(filepath.Join(env.dir, name), []byte(text), 0o644))
}

func (env *testEnv) run(args ...string) (int, string, string) {
	return runCommand(args...)
}

func (env *testEnv) fileFlags() []string {
	return []string{"--base", filepath.Join(env.dir, "base.ini"), "--overlays", filepath.Join(env.dir, "overlays")}
}

func (env *testEnv) apply(author string, args ...string) (int, string, string) {
	all := append([]string{"config", "apply", "--store", env.storeURL, "--author", author}, env.fileFlags()...)
	return env.run(append(all, args...)...)
}

func (env *testEnv) storedConfig() configstore.StoredDocument {
	entry, err := env.store.Get(dynconf.CurrentKey)
	if err != nil {
		return configstore.StoredDocument{}
	}
	document, err := dynconf.DecodeDocument(entry.Value)
	require.NoError(env.t, err)
	return configstore.StoredDocument{Document: document}
}

// Guards against an applied version that history, show or audit omit or print with
// wrong content.
func TestAppliedVersionsAreListedAndAudited(t *testing.T) {
	env := newTestEnv(t)
	status, stdout, stderr := env.apply("awa")
	require.Equal(t, ExitOK, status, stderr)
	require.Contains(t, stdout, "+2: servers = n-*\n")
	require.Contains(t, stdout, "applied version 1")
	env.writeFile("base.ini", "[service a]\npolicy = hotcold\n")
	status, _, stderr = env.apply("ben", "--from", "1")
	require.Equal(t, ExitOK, status, stderr)

	_, stdout, _ = env.run("config", "history", "--store", env.storeURL)
	require.Len(t, strings.Split(strings.TrimSpace(stdout), "\n"), 2)
	_, stdout, _ = env.run("config", "show", "1", "--store", env.storeURL)
	require.Contains(t, stdout, "policy = random\n# overlay north\n[service a]\nservers = n-*\n")
	_, stdout, _ = env.run("config", "show", "--store", env.storeURL)
	require.Contains(t, stdout, "policy = hotcold\n")
	status, _, stderr = env.run("config", "show", "9", "--store", env.storeURL)
	require.Equal(t, ExitFailure, status)
	require.Contains(t, stderr, "no such version")

	_, stdout, _ = env.run("audit", "--json", "--store", env.storeURL)
	var entries []configstore.AuditEntry
	require.NoError(t, json.Unmarshal([]byte(stdout), &entries))
	require.Len(t, entries, 2)
	require.Equal(t, "ben", entries[0].Author)
	require.EqualValues(t, 1, entries[0].From)
	require.EqualValues(t, 2, entries[0].To)
	require.Equal(t, "base\n-2: policy = random\n+2: policy = hotcold\n", entries[0].Difference)
	_, stdout, _ = env.run("audit", "--limit", "1", "--store", env.storeURL)
	require.Contains(t, stdout, "ben  version 1 to 2")
}

// Guards against a second operator who overwrites the change of the first, or who is
// not shown that change.
func TestSecondOperatorGetsDifference(t *testing.T) {
	env := newTestEnv(t)
	status, _, stderr := env.apply("awa")
	require.Equal(t, ExitOK, status, stderr)
	env.writeFile("base.ini", "[service a]\npolicy = hotcold\n")
	status, _, stderr = env.apply("ben", "--from", "1")
	require.Equal(t, ExitOK, status, stderr)
	env.writeFile("base.ini", "[service a]\npolicy = roundrobin\n")
	status, _, stderr = env.apply("chi", "--from", "1")
	require.Equal(t, ExitConflict, status)
	require.Contains(t, stderr, `started from version 1, but version 2 by "ben" is in force; nothing was applied`)
	require.Contains(t, stderr, "-2: policy = random\n+2: policy = hotcold\n")
	require.EqualValues(t, 2, env.storedConfig().Document.Version)
	status, _, _ = env.apply("chi", "--from", "7")
	require.Equal(t, ExitConflict, status)
}

// Guards against an invalid change that takes effect in part, and against invalid
// arguments that are accepted.
func TestBadInputAppliesNothing(t *testing.T) {
	env := newTestEnv(t)
	for name, c := range map[string]struct{ file, text, want string }{
		"bad base":        {"base.ini", "[service a]\npolicy = best\n", "base.ini:2: policy = best: expected one of"},
		"site left out":   {"overlays/south.ini", "[probes]\nrate = 1\n", "base.ini:1: service a has no allowed backend server at site south"},
		"stray file":      {"overlays/north.ini.orig", "", "north.ini.orig: expected only overlays named SITE.ini"},
		"huge base":       {"base.ini", strings.Repeat("# \n", 1<<20), "base.ini:1: file has 524289 bytes"},
		"missing overlay": {"overlays/north.ini", "[service a]\n", "base.ini:1: service a has no allowed"},
	} {
		t.Run(name, func(t *testing.T) {
			env.writeFile("base.ini", "[service a]\npolicy = random\n")
			env.writeFile("overlays/north.ini", "[service a]\nservers = n-*\n")
			env.writeFile(c.file, c.text)
			status, _, stderr := env.apply("awa")
			require.Equal(t, ExitBadInput, status)
			require.Contains(t, stderr, c.want)
			require.Equal(t, 1, strings.Count(stderr, "\n"), stderr)
			if strings.HasPrefix(c.file, "overlays/") {
				require.NoError(t, os.Remove(filepath.Join(env.dir, c.file)))
			}
		})
	}
	require.Nil(t, env.storedConfig().Document)
	env = newTestEnv(t)
	for _, args := range [][]string{{"--from", "x"}, {"--wait"}, {"--author", ""}} {
		status, _, _ := env.apply("awa", args...)
		require.Equal(t, ExitBadInput, status, args)
	}
	require.Nil(t, env.storedConfig().Document)
}

// Guards against a change that is reported as applied while the store is down, and
// against one that is reported as failed because the response to a successful write
// was lost.
func TestApplyWithFaultyStore(t *testing.T) {
	env := newTestEnv(t)
	env.store.SetFaults(store.Faults{Outage: true})
	status, stdout, stderr := env.apply("awa")
	require.Equal(t, ExitFailure, status)
	require.Contains(t, stderr, "nothing was applied")
	require.NotContains(t, stdout, "applied version")
	env.store.SetFaults(store.Faults{LoseResponses: 1})
	status, stdout, stderr = env.apply("awa")
	require.Equal(t, ExitOK, status, stderr)
	require.Contains(t, stdout, "applied version 1")
	require.EqualValues(t, 1, env.storedConfig().Document.Version)
}

// Guards against a wait that ends before the version is in force, and against one
// that hides why the node cannot use the version.
func TestWaitForNode(t *testing.T) {
	env := newTestEnv(t)
	node := board.New("n")
	configWriter, stateWriter := node.Config.Claim("test"), node.ConfigState.Claim("test")
	server := httptest.NewServer(opsapi.NewHandler(node, http.NotFoundHandler(), nil))
	defer server.Close()
	status, _, stderr := env.apply("awa")
	require.Equal(t, ExitOK, status, stderr)
	var waitErr bytes.Buffer
	operation := &applyOperation{node: &nodeClient{baseURL: server.URL}, timeout: time.Millisecond, stderr: &waitErr}
	require.Equal(t, ExitFailure, operation.waitForNode(env.storedConfig().Document))
	require.Contains(t, waitErr.String(), "version 1 was applied, but is not in force")

	stateWriter.Publish(&board.ConfigState{Newest: configstore.StampOf(env.storedConfig().Document), NotAppliedReason: "no servers"})
	done, applyErr := checkApplied(opsapi.NewConfigStatus(node), env.storedConfig().Document)
	require.True(t, done)
	require.ErrorContains(t, applyErr, "no servers")

	configWriter.Publish(&dynconf.Config{Version: 3})
	status, stdout, stderr := env.apply("awa", "--wait", "--node", server.URL)
	require.Equal(t, ExitOK, status, stderr)
	require.Contains(t, stdout, "version 3 is in force at "+server.URL)
}

// Guards against a rendered configuration that does not show where a value comes
// from.
func TestRenderShowsOriginOfValues(t *testing.T) {
	env := newTestEnv(t)
	status, stdout, stderr := env.run(append([]string{"config", "render", "north"}, env.fileFlags()...)...)
	require.Equal(t, ExitOK, status, stderr)
	require.Contains(t, stdout, "# "+filepath.Join(env.dir, "overlays/north.ini")+":2\nservers = n-*\n")
	require.Contains(t, stdout, "# default\nhot_quantile = 0.75\n")
	status, _, stderr = env.run(append([]string{"config", "render", "east"}, env.fileFlags()...)...)
	require.Equal(t, ExitBadInput, status)
	require.Contains(t, stderr, `no overlay of site "east"`)
}
