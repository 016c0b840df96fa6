package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/configstore"
	"mangostand.example/mangostand/platform"
)

const (
	// defaultTrail is how many entries are listed unless asked otherwise. Each
	// costs one read of the store.
	defaultTrail = 20
	maxTrail     = 1000

	timeLayout = time.RFC3339
)

// auditCommands adds "audit".
func auditCommands(parser *flaggy.Parser, stdout, stderr io.Writer) []*command {
	storeURL, limit, asJSON := defaultStore, defaultTrail, false
	audit := attach(&parser.Subcommand, "audit", "list who changed the configuration, when and how, newest first")
	storeFlag(audit, &storeURL)
	audit.Int(&limit, "", "limit", "number of entries at most")
	jsonFlag(audit, &asJSON)
	return []*command{{audit, func() int {
		entries, status := readTrail(storeURL, limit, stderr)
		if status != ExitOK {
			return status
		}
		if asJSON {
			return printJSON(stdout, stderr, entries)
		}
		for _, e := range entries {
			fmt.Fprintf(stdout, "%s  %s  version %d to %d  change %s\n%s\n", e.Time.Format(timeLayout), e.Author, e.From, e.To, e.ChangeID, indent(e.Difference))
		}
		return ExitOK
	}}}
}

func indent(text string) string {
	if text == "" {
		return ""
	}
	return "    " + strings.ReplaceAll(strings.TrimSuffix(text, "\n"), "\n", "\n    ")
}

// readTrail reads the newest audit entries.
func readTrail(storeURL string, limit int, stderr io.Writer) ([]configstore.AuditEntry, int) {
	if limit < 1 || limit > maxTrail {
		return nil, badInput(stderr, "--limit %d: expected 1 to %d", limit, maxTrail)
	}
	ctx, cancel := callContext()
	defer cancel()
	entries, err := configstore.ReadAuditTrail(ctx, platform.NewClient(storeURL), limit)
	if err != nil {
		return nil, fail(stderr, err)
	}
	return entries, ExitOK
}

// show prints the files of a version, 0 for the current one.
func show(store *platform.Client, version uint64, stdout, stderr io.Writer) int {
	ctx, cancel := callContext()
	defer cancel()
	current, err := configstore.ReadCurrent(ctx, store)
	if err != nil {
		return fail(stderr, err)
	}
	document := current.Document
	if version != 0 && version != current.Stamp().Version {
		document, err = configstore.ReadVersion(ctx, store, version)
	}
	if errors.Is(err, platform.ErrNotFound) || (err == nil && document == nil) {
		return fail(stderr, errors.Errorf("the store has no such version; it keeps the last %d", configstore.RetainedVersions))
	}
	if err != nil {
		return fail(stderr, err)
	}
	fmt.Fprintf(stdout, "# version %d from %d, %s, %s, change %s\n", document.Version, document.ParentVersion, document.Time.Format(timeLayout), document.Author, document.ChangeID)
	fmt.Fprintf(stdout, "# base\n%s", document.Base)
	sites := make([]string, 0, len(document.Overlays))
	for site := range document.Overlays {
		sites = append(sites, site)
	}
	slices.Sort(sites)
	for _, site := range sites {
		fmt.Fprintf(stdout, "# overlay %s\n%s", site, document.Overlays[site])
	}
	return ExitOK
}
