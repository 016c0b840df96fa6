// Package faultmatrix_test checks docs/faults.md against the tests of the
// repository.
package faultmatrix_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	repositoryRoot = "../.."
	faultsPage     = repositoryRoot + "/docs/faults.md"
)

// listTests returns the names of all tests of the repository as FOLDER.TestName,
// whatever their build tags.
func listTests(t *testing.T) map[string]bool {
	names := map[string]bool{}
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		folder := filepath.Base(filepath.Dir(path))
		for _, declaration := range file.Decls {
			if f, ok := declaration.(*ast.FuncDecl); ok && f.Recv == nil && strings.HasPrefix(f.Name.Name, "Test") {
				names[folder+"."+f.Name.Name] = true
			}
		}
		return nil
	})
	require.NoError(t, err)
	return names
}

// testReference matches a test that the page names with its package;
// unqualifiedTest matches one that is named without.
var (
	testReference   = regexp.MustCompile("`([a-z]+\\.Test[A-Za-z0-9]+)`")
	unqualifiedTest = regexp.MustCompile(`(^|[^.A-Za-z])Test[A-Z][A-Za-z0-9]*`)
)

// Guards against a page that names a test that was renamed or removed.
func TestPageNamesTests(t *testing.T) {
	text, err := os.ReadFile(faultsPage)
	require.NoError(t, err)
	existingTests := listTests(t)
	references := testReference.FindAllStringSubmatch(string(text), -1)
	require.NotEmpty(t, references)
	for _, match := range references {
		require.True(t, existingTests[match[1]], "docs/faults.md names %s, which does not exist", match[1])
	}
	for _, name := range unqualifiedTest.FindAllString(string(text), -1) {
		require.Contains(t, name, "TestPageNamesTests", "a test is named without its package")
	}
}

// faultRows lists the faults, which are the rows of each table, in their order.
var faultRows = []string{
	"slow server", "drain", "fail fast", "store down", "store slow", "answer lost after the write", "lease lapse while paused",
	"two operators at once", "crashing request", "late and reordered answers", "lost or duplicated messages", "kill", "freeze", "cut",
}

// stepsPerTable is the number of steps, which are the columns, of each table: a
// call, a drain, a configuration change and a join.
var stepsPerTable = []int{7, 5, 5, 5}

// Guards against a fault or step that is missing from a table, and against a cell
// that neither names a test nor says "not covered".
func TestMatrixIsComplete(t *testing.T) {
	text, err := os.ReadFile(faultsPage)
	require.NoError(t, err)
	tables := strings.Split(string(text), "| fault |")[1:]
	require.Len(t, tables, len(stepsPerTable))
	for i, table := range tables {
		rows := strings.Split(strings.TrimSpace(strings.Split(table, "\n\n")[0]), "\n")[2:]
		require.Len(t, rows, len(faultRows))
		for j, row := range rows {
			cells := strings.Split(strings.Trim(row, "| "), " | ")
			require.Len(t, cells, stepsPerTable[i]+1, row)
			require.True(t, strings.HasPrefix(cells[0], faultRows[j]), row)
			for _, cell := range cells[1:] {
				require.True(t, cell == "not covered" || testReference.MatchString(cell), row)
			}
		}
	}
}
