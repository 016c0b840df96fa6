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

// configFiles holds the paths of a configuration: the base file and the directory
// with an overlay SITE.ini for each site.
type configFiles struct {
	basePath   string
	overlayDir string
}

func (f *configFiles) addFlags(c *flaggy.Subcommand) {
	c.String(&f.basePath, "b", "base", "base file")
	c.String(&f.overlayDir, "o", "overlays", "directory with an overlay SITE.ini for each site")
}

// readAndValidate reads the files and validates the merged configuration of each
// site. It reports problems on stderr and returns the exit status.
func (f *configFiles) readAndValidate(stderr io.Writer) (*dynconf.Document, dynconf.SourceNames, int) {
	document, names, err := f.readFiles()
	if err != nil {
		return nil, nil, reportBadInput(stderr, "%v", err)
	}
	if problems := document.Validate(names); len(problems) > 0 {
		return nil, nil, printConfigErrors(stderr, problems)
	}
	return document, names, ExitOK
}

// readFiles reads the files without validating their content. A file in the overlay
// directory that is not an overlay is an error, because its author expects it to
// take effect.
func (f *configFiles) readFiles() (*dynconf.Document, dynconf.SourceNames, error) {
	base, err := readFileLimited(f.basePath)
	if err != nil {
		return nil, nil, errors.Annotate(err, "base")
	}
	document := &dynconf.Document{Base: string(base), Overlays: map[string]string{}}
	names := dynconf.SourceNames{"": f.basePath}
	files, err := os.ReadDir(f.overlayDir)
	if err != nil {
		return nil, nil, errors.Annotate(err, "overlays")
	}
	for _, file := range files {
		path := filepath.Join(f.overlayDir, file.Name())
		site, ok := strings.CutSuffix(file.Name(), overlaySuffix)
		if !ok || site == "" || file.IsDir() {
			return nil, nil, errors.Errorf("%s: expected only overlays named SITE%s in this directory", path, overlaySuffix)
		}
		data, err := readFileLimited(path)
		if err != nil {
			return nil, nil, errors.Annotatef(err, "overlay of %s", site)
		}
		document.Overlays[site], names[site] = string(data), path
	}
	return document, names, nil
}

// readFileLimited reads at most one byte more than the largest valid file. Memory
// stays bounded, and the parser reports a larger file as too long.
func readFileLimited(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, inifile.MaxFileSize+1))
	return data, errors.Trace(err)
}

func printConfigErrors(stderr io.Writer, problems []*inifile.Error) int {
	for _, p := range problems {
		fmt.Fprintln(stderr, p)
	}
	return ExitBadInput
}
