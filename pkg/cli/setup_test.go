package cli

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/integrii/flaggy"
	"github.com/stretchr/testify/require"
)

// Guards against requested help that is missing from stdout, where a pipe expects it,
// and against help after an invalid command line that is printed there as output.
func TestHelpGoesToStandardOutput(t *testing.T) {
	flaggy.PanicInsteadOfExit = true
	defer func() { flaggy.PanicInsteadOfExit = false }()
	var stdout, stderr bytes.Buffer
	require.PanicsWithValue(t, "Panic instead of exit with code: 0", func() { Run("test", []string{"drain", "--help"}, &stdout, &stderr) })
	require.Contains(t, stdout.String(), "drain the backend server of a node until it restarts")
	require.Empty(t, stderr.String())
	for _, args := range [][]string{nil, {"config"}} {
		status, out, _ := runCommand(args...)
		require.Equal(t, ExitBadInput, status, args)
		require.Empty(t, out, args)
	}
}

// Guards against a missing file that is reported as a failure of the command instead
// of as bad input: a script would retry it.
func TestMissingFilesAreBadInput(t *testing.T) {
	env := newTestEnv(t)
	missing := filepath.Join(env.dir, "missing")
	for _, args := range [][]string{
		{"config", "check", "--base", missing},
		{"config", "check", "--base", filepath.Join(env.dir, "base.ini"), "--overlays", missing},
		{"config", "render", "north", "--base", missing},
		{"config", "apply", "--store", env.storeURL, "--author", "awa", "--base", missing, "--overlays", missing},
		{"status", "--node", "https://127.0.0.1:1", "--ca", missing},
		{"status", "--node", "https://127.0.0.1:1", "--cert", missing, "--key", missing},
		{"status", "--node", "127.0.0.1:7071"},
	} {
		status, _, stderr := runCommand(args...)
		require.Equal(t, ExitBadInput, status, stderr)
		require.Contains(t, stderr, "mangostand: ", args)
	}
	require.Nil(t, env.storedConfig().Document)
}
