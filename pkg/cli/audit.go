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
	// defaultAuditEntries is the default number of listed entries. Each entry takes
	// one read of the store.
	defaultAuditEntries = 20
	maxAuditEntries     = 1000

	timeFormat = time.RFC3339
)

// auditCommands adds the command "audit".
func auditCommands(parser *flaggy.Parser, stdout, stderr io.Writer) []*command {
	storeURL, limit, asJSON := defaultStoreURL, defaultAuditEntries, false
	audit := addSubcommand(&parser.Subcommand, "audit", "list who changed the configuration, when and how, newest first")
	addStoreFlag(audit, &storeURL)
	audit.Int(&limit, "", "limit", "number of entries at most")
	addJSONFlag(audit, &asJSON)
	return []*command{{audit, func() int {
		entries, status := readAuditEntries(storeURL, limit, stderr)
		if status != ExitOK {
			return status
		}
		if asJSON {
			return printJSON(stdout, stderr, entries)
		}
		for _, e := range entries {
			fmt.Fprintf(stdout, "%s  %s  version %d to %d  change %s\n%s\n", e.Time.Format(timeFormat), e.Author, e.From, e.To, e.ChangeID, indentLines(e.Difference))
		}
		return ExitOK
	}}}
}

func indentLines(text string) string {
	if text == "" {
		return ""
	}
	return "    " + strings.ReplaceAll(strings.TrimSuffix(text, "\n"), "\n", "\n    ")
}

// readAuditEntries reads up to limit audit entries, newest first. It reports a
// failure on stderr and returns the exit status.
func readAuditEntries(storeURL string, limit int, stderr io.Writer) ([]configstore.AuditEntry, int) {
	if limit < 1 || limit > maxAuditEntries {
		return nil, reportBadInput(stderr, "--limit %d: expected 1 to %d", limit, maxAuditEntries)
	}
	ctx, cancel := newCallContext()
	defer cancel()
	entries, err := configstore.ReadAuditTrail(ctx, platform.NewClient(storeURL), limit)
	if err != nil {
		return nil, reportError(stderr, err)
	}
	return entries, ExitOK
}

// showVersion prints the files of a configuration version; version 0 stands for
// the current one.
func showVersion(store *platform.Client, version uint64, stdout, stderr io.Writer) int {
	ctx, cancel := newCallContext()
	defer cancel()
	current, err := configstore.ReadCurrent(ctx, store)
	if err != nil {
		return reportError(stderr, err)
	}
	document := current.Document
	if version != 0 && version != current.Stamp().Version {
		document, err = configstore.ReadVersion(ctx, store, version)
	}
	if errors.Is(err, platform.ErrNotFound) || (err == nil && document == nil) {
		return reportError(stderr, errors.Errorf("the store has no such version; it keeps the last %d", configstore.RetainedVersions))
	}
	if err != nil {
		return reportError(stderr, err)
	}
	fmt.Fprintf(stdout, "# version %d from %d, %s, %s, change %s\n", document.Version, document.ParentVersion, document.Time.Format(timeFormat), document.Author, document.ChangeID)
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
