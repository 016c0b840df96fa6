package dynconf_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/inifile"
	"mangostand.example/mangostand/pkg/settings"
)

// page is the reference of all keys. With UPDATE_SETTINGS_PAGE=1 the test
// rewrites its tables.
const page = "../../docs/settings.md"

// Guards against a reference page that differs from the keys, defaults and
// ranges in the code.
func TestSettingsPageMatchesTheCode(t *testing.T) {
	data, err := os.ReadFile(page)
	require.NoError(t, err)
	text := replaceTables(t, string(data), "static", settings.NodeReference())
	text = replaceTables(t, text, "dynamic", dynconf.Reference())
	text = replaceTables(t, text, "platform", settings.MeshNodeReference())
	if os.Getenv("UPDATE_SETTINGS_PAGE") != "" {
		require.NoError(t, os.WriteFile(page, []byte(text), 0o644))
	}
	require.Equal(t, text, string(data), "run with UPDATE_SETTINGS_PAGE=1")
}

// replaceTables puts the tables between the two marks of a kind.
func replaceTables(t *testing.T, text, kind string, references []inifile.SectionReference) string {
	head, rest, ok := strings.Cut(text, "<!-- "+kind+" keys -->\n")
	require.True(t, ok)
	_, tail, ok := strings.Cut(rest, "<!-- end of "+kind+" keys -->\n")
	require.True(t, ok)
	var tables []string
	for _, r := range references {
		for _, row := range r.Rows {
			require.NotEmpty(t, row.Description, "%s %s", r.Title, row.Key)
		}
		tables = append(tables, r.Markdown())
	}
	return head + "<!-- " + kind + " keys -->\n" + strings.Join(tables, "\n") + "<!-- end of " + kind + " keys -->\n" + tail
}
