package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/platform"
)

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

func configCommands(parser *flaggy.Parser, stdout, stderr io.Writer) []*command {
	config := flaggy.NewSubcommand("config")
	config.Description = "check and apply configurations"
	parser.AttachSubcommand(config, 1)

	files := &configFiles{base: "base.ini", overlays: "overlays"}
	store, author := "http://127.0.0.1:7000", os.Getenv("USER")

	check := flaggy.NewSubcommand("check")
	check.Description = "check the files and report every problem"
	files.flags(check)
	config.AttachSubcommand(check, 1)

	apply := flaggy.NewSubcommand("apply")
	apply.Description = "check the files and put them in force"
	files.flags(apply)
	apply.String(&store, "", "store", "URL of the platform's store")
	apply.String(&author, "", "author", "name for the audit trail")
	config.AttachSubcommand(apply, 1)

	return []*command{
		{check, func() int {
			if _, status := readDocument(files, stderr); status != ExitOK {
				return status
			}
			fmt.Fprintln(stdout, "configuration is valid")
			return ExitOK
		}},
		{apply, func() int {
			document, status := readDocument(files, stderr)
			if status != ExitOK {
				return status
			}
			document.Author = author
			if err := applyDocument(store, document); err != nil {
				return fail(stderr, err)
			}
			fmt.Fprintf(stdout, "applied version %d\n", document.Version)
			return ExitOK
		}},
	}
}

// readDocument reads and checks the files of a configuration for every site.
func readDocument(files *configFiles, stderr io.Writer) (*dynconf.Document, int) {
	base, err := os.ReadFile(files.base)
	if err != nil {
		return nil, fail(stderr, err)
	}
	document := &dynconf.Document{Base: string(base), Overlays: map[string]string{}}
	paths, err := filepath.Glob(filepath.Join(files.overlays, "*.ini"))
	if err != nil {
		return nil, fail(stderr, err)
	}
	status := ExitOK
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fail(stderr, err)
		}
		site := strings.TrimSuffix(filepath.Base(path), ".ini")
		document.Overlays[site] = string(data)
		_, problems := dynconf.Merge(site, dynconf.Source{Name: files.base, Data: base}, &dynconf.Source{Name: path, Data: data})
		for _, p := range problems {
			fmt.Fprintln(stderr, p)
			status = ExitBadInput
		}
	}
	return document, status
}

// applyDocument writes a document as the version after the current one.
func applyDocument(storeURL string, document *dynconf.Document) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client := platform.NewClient(storeURL)
	entry, err := client.Get(ctx, dynconf.CurrentKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return errors.Trace(err)
	}
	if err == nil {
		current, err := dynconf.DecodeDocument(entry.Value)
		if err != nil {
			return errors.Trace(err)
		}
		document.Parent = current.Version
	}
	document.Version = document.Parent + 1
	document.ChangeID = uuid.NewString()
	document.Time = time.Now().UTC()
	data, err := document.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	_, err = client.CompareAndSwap(ctx, dynconf.CurrentKey, entry.Revision, data, "")
	return errors.Trace(err)
}
