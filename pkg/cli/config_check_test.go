package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control/registration"
	"mangostand.example/mangostand/pkg/routedoc"
	"mangostand.example/mangostand/platform"
)

// checkedDocument is a document without findings. Its keys begin with "secret".
const checkedDocument = `{"version":"r7","clusters":[{"name":"desk"}],"tenants":[{"name":"c","api_keys":["secret-1","secret-2"]}],
"listeners":[{"host":"a.example","rules":[{"name":"read","kind":"idempotent","match":{"prefix":"/"},"action":{"service":"desk","timeout_s":2,"max_attempts":3}}]}]}`

// replaceInDocument returns checkedDocument with pairs of strings replaced.
func replaceInDocument(pairs ...string) string {
	return strings.NewReplacer(pairs...).Replace(checkedDocument)
}

func (env *testEnv) check(args ...string) (int, string, string) {
	all := append([]string{"config", "check", "--document", filepath.Join(env.dir, "doc.json")}, args...)
	status, stdout, stderr := env.run(all...)
	require.NotContains(env.t, stdout+stderr, "secret")
	return status, stdout, stderr
}

// Guards against an exit status from which a script concludes that a configuration may
// be sent although it has errors, and against output that shows a key.
func TestCheckExitStatuses(t *testing.T) {
	for name, c := range map[string]struct {
		document       string
		status         int
		stdout, stderr string
	}{
		"clean":         {checkedDocument, 0, "configuration is valid, warnings: 0\n", ""},
		"never matches": {replaceInDocument(`"desk"}]`, `"desk"},{"name":"vault"}]`), 1, "never matches: version 7, cluster vault, name: no rule uses the service\n", ""},
		"contradiction": {replaceInDocument(`_s":2`, `_s":16`), 1, "contradiction: version 7, host a.example, rule read, action.timeout_s: timeout 16s is above the idle timeout 15s of callers\n", ""},
		"error":         {replaceInDocument("idempotent", "odd\x1b"), 2, "", `version 7, host a.example, rule read: kind "odd\x1b": expected`},
		"control text":  {replaceInDocument(`"name":"desk"`, `"name":"\u001b[2J"`), 2, "", "service \"desk\" is not one of the clusters\n"},
		"same key":      {replaceInDocument("secret-2", "secret-1"), 1, `never matches: version 7, tenant "c", api_keys: key 1 is listed before`, ""},
		"key of two":    {replaceInDocument(`"tenants":[`, `"tenants":[{"name":"d","api_keys":["secret-1"]},`), 2, "", `version 7, tenant "c": api_keys[0]: another tenant has this key`},
		"idle burst":    {replaceInDocument(`"tenants":[`, `"tenants":[{"name":"d","api_keys":["secret-3"],"burst":9},`), 1, `adjusted: version 7, tenant "d", burst: rate 0 means no limit, so that burst 9 has no effect`, ""},
		"empty":         {"", 2, "", "configuration document: line 1: unexpected end of JSON input\n"},
		"too large":     {strings.Repeat(" ", routedoc.MaxDocumentBytes+1), 2, "", "doc.json: larger than"},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.writeFile("doc.json", strings.ReplaceAll(c.document, "\x1b", `\u001b`))
			status, stdout, stderr := env.check()
			require.Equal(t, c.status, status, stdout+stderr)
			require.Contains(t, stdout, c.stdout)
			require.Contains(t, stderr, c.stderr)
			require.NotContains(t, stdout+stderr, "\x1b")
			if name == "too large" {
				return
			}
			var report checkReport
			status, stdout, _ = env.check("--json")
			require.Equal(t, c.status, status)
			require.NoError(t, json.Unmarshal([]byte(stdout), &report))
			require.Equal(t, c.status == 2, report.Errors > 0)
			require.Equal(t, c.status == 0, len(report.Findings) == 0)
		})
	}
}

// Guards against a comparison with another version than the one in force at the given
// place, and against one that cannot be made but counts as clean.
func TestCheckComparesWithVersionInForce(t *testing.T) {
	env := newTestEnv(t)
	env.writeFile("doc.json", replaceInDocument("secret-2", "secret-3", `_s":2`, `_s":3`))
	older := replaceInDocument("r7", "r6")
	env.writeFile("older.json", older)
	env.writeFile("same.json", checkedDocument)
	env.writeFile("cut.json", checkedDocument[:99])
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == routedoc.DocumentTarget {
			_, _ = w.Write([]byte(older))
		}
	}))
	defer node.Close()
	file := func(name string) string { return filepath.Join(env.dir, name) }
	wantDifference := "differences from version 6:\n  changed host a.example, rule read\n  changed tenant \"c\" (keys added: 1, removed: 1)\n"

	status, stdout, _ := env.check("--store", env.storeURL)
	require.Equal(t, ExitOK, status)
	require.Contains(t, stdout, "differences from version 0:\n  added host a.example\n")
	client := platform.NewClient(env.storeURL)
	_, err := client.Put(context.Background(), platform.ConfigKey, []byte(older), "")
	require.NoError(t, err)
	for _, args := range [][]string{{"--against", file("older.json")}, {"--node", node.URL}, {"--store", env.storeURL}} {
		status, stdout, stderr := env.check(args...)
		require.Equal(t, ExitOK, status, stderr)
		require.Contains(t, stdout, wantDifference, args)
	}
	status, stdout, _ = env.check("--against", file("same.json"))
	require.Equal(t, exitWarnings, status)
	require.Contains(t, stdout, "version 7 is not higher than version 7 in force and would be ignored")

	record, err := cbor.Marshal(board.NodeRecord{Instance: "n", PeerAddr: "127.0.0.1:1", Service: "desk"})
	require.NoError(t, err)
	_, err = client.Put(context.Background(), registration.RecordPrefix+"n", record, "")
	require.NoError(t, err)
	status, stdout, _ = env.check("--store", env.storeURL)
	require.Equal(t, exitWarnings, status)
	require.Contains(t, stdout, "action.max_attempts: 3 attempts, but the largest service of the rule has 1 backend servers")

	for _, args := range [][]string{
		{"--against", file("cut.json")}, {"--against", file("missing")}, {"--node", "http://127.0.0.1:1"}, {"--store", "http://127.0.0.1:1"},
		{"--against", file("older.json"), "--store", env.storeURL},
	} {
		status, _, stderr := env.check(args...)
		require.Equal(t, ExitBadInput, status, args)
		require.NotEmpty(t, stderr)
	}
}

// Guards against errors in base and overlays without file and line, and against a
// comparison with another version than that in the store.
func TestCheckBaseAndOverlays(t *testing.T) {
	env := newTestEnv(t)
	status, _, stderr := env.apply("awa")
	require.Equal(t, ExitOK, status, stderr)
	check := func(args ...string) (int, string, string) {
		return env.run(append(append([]string{"config", "check"}, env.fileFlags()...), args...)...)
	}
	env.writeFile("base.ini", "[service a]\npolicy = hotcold\n")
	status, stdout, _ := check("--store", env.storeURL)
	require.Equal(t, ExitOK, status)
	require.Equal(t, "differences from version 1:\nbase\n-2: policy = random\n+2: policy = hotcold\nconfiguration is valid, overlays: 1\n", stdout)
	status, _, _ = check("--node", "http://127.0.0.1:1")
	require.Equal(t, ExitBadInput, status)
	env.writeFile("base.ini", "[service a]\npolicy = best\n")
	status, _, stderr = check()
	require.Equal(t, ExitBadInput, status)
	require.Contains(t, stderr, filepath.Join(env.dir, "base.ini")+":2: policy = best: expected one of")
	status, stdout, _ = check("--json")
	require.Equal(t, ExitBadInput, status)
	require.Contains(t, stdout, `base.ini:2"`)
}
