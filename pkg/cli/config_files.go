package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/inifile"
)

const overlaySuffix = ".ini"

// configFiles names the files of a configuration: a base and a directory of
// overlays, each named SITE.ini.
type configFiles struct {
	base     string
	overlays string
}

func (f *configFiles) flags(c *flaggy.Subcommand) {
	c.String(&f.base, "b", "base", "base file")
	c.String(&f.overlays, "o", "overlays", "directory with an overlay SITE.ini for each site")
}

// readChecked reads the files and checks the merged result of each site.
func (f *configFiles) readChecked(stderr io.Writer) (*dynconf.Document, dynconf.SourceNames, int) {
	document, names, err := f.read()
	if err != nil {
		return nil, nil, badInput(stderr, "%v", err)
	}
	if problems := document.Validate(names); len(problems) > 0 {
		return nil, nil, printProblems(stderr, problems)
	}
	return document, names, ExitOK
}

// read reads the files without a look at their content. A file in the
// directory that is not an overlay is an error, since its author expects it to
// take effect.
func (f *configFiles) read() (*dynconf.Document, dynconf.SourceNames, error) {
	base, err := readLimited(f.base)
	if err != nil {
		return nil, nil, errors.Annotate(err, "base")
	}
	document := &dynconf.Document{Base: string(base), Overlays: map[string]string{}}
	names := dynconf.SourceNames{"": f.base}
	files, err := os.ReadDir(f.overlays)
	if err != nil {
		return nil, nil, errors.Annotate(err, "overlays")
	}
	for _, file := range files {
		path := filepath.Join(f.overlays, file.Name())
		site, ok := strings.CutSuffix(file.Name(), overlaySuffix)
		if !ok || site == "" || file.IsDir() {
			return nil, nil, errors.Errorf("%s: expected only overlays named SITE%s in this directory", path, overlaySuffix)
		}
		data, err := readLimited(path)
		if err != nil {
			return nil, nil, errors.Annotatef(err, "overlay of %s", site)
		}
		document.Overlays[site], names[site] = string(data), path
	}
	return document, names, nil
}

// readLimited reads a file, one byte beyond the limit of the format at most,
// so that the parser reports a huge file and memory stays bounded.
func readLimited(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, inifile.MaxFileSize+1))
	return data, errors.Trace(err)
}

func printProblems(stderr io.Writer, problems []*inifile.Error) int {
	for _, p := range problems {
		fmt.Fprintln(stderr, p)
	}
	return ExitBadInput
}
