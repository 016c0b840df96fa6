package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/configstore"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/platform"
)

// applyOperation holds the flags of one run of "config apply".
type applyOperation struct {
	configFiles *configFiles
	storeURL    string
	author      string
	fromVersion string
	node        *nodeClient
	wait        bool
	timeout     time.Duration
	stdout      io.Writer
	stderr      io.Writer
}

// run applies the files. It reads the parent, the version in the store, before the
// files: if another operator changes the configuration in between, the write to the
// store fails with a conflict.
func (a *applyOperation) run() int {
	from, err := a.validateFlags()
	if err != nil {
		return reportBadInput(a.stderr, "%v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	store := platform.NewClient(a.storeURL)
	parent, parentErr := configstore.ReadCurrent(ctx, store)
	document, _, status := a.configFiles.readAndValidate(a.stderr)
	if status != ExitOK {
		return status
	}
	if parentErr != nil {
		return reportError(a.stderr, errors.Annotate(parentErr, "nothing was applied"))
	}
	if a.fromVersion != "" && from != parent.Stamp().Version {
		return a.reportConflictSince(ctx, store, from, parent)
	}
	document.Author, document.ChangeID, document.Time = a.author, uuid.NewString(), time.Now().UTC()
	return a.apply(ctx, store, parent, document)
}

func (a *applyOperation) validateFlags() (uint64, error) {
	required := []struct{ name, value string }{
		{"--base", a.configFiles.basePath}, {"--overlays", a.configFiles.overlayDir}, {"--store", a.storeURL}, {"--author", a.author},
	}
	for _, r := range required {
		if r.value == "" {
			return 0, errors.Errorf("%s is required", r.name)
		}
	}
	if a.wait != (a.node.baseURL != "") {
		return 0, errors.New("--wait and --node must be given together")
	}
	if a.fromVersion == "0" {
		return 0, nil
	}
	return parseVersion(a.fromVersion)
}

func (a *applyOperation) apply(ctx context.Context, store *platform.Client, parent configstore.StoredDocument, document *dynconf.Document) int {
	document.SetParent(parent.Document)
	// Unchanged content is applied as a new version too. After the store has lost a
	// version, nodes may hold different contents under the same version number;
	// applying again supersedes both.
	if document.Difference == "" {
		fmt.Fprintf(a.stdout, "no difference to version %d\n", document.ParentVersion)
	}
	fmt.Fprint(a.stdout, document.Difference)
	err := configstore.Apply(ctx, store, parent, document)
	if errors.Is(err, configstore.ErrConcurrentChange) {
		return a.reportConflict(ctx, store, parent.Document)
	}
	if err != nil {
		return reportError(a.stderr, err)
	}
	fmt.Fprintf(a.stdout, "applied version %d, change %s\n", document.Version, document.ChangeID)
	a.writeAuditEntry(ctx, store, document)
	if !a.wait {
		return ExitOK
	}
	return a.waitForNode(document)
}

// writeAuditEntry writes the audit entry. The change has been accepted already, so
// a failure is only reported: a node that watches the store, or the next change,
// writes the missing entry.
func (a *applyOperation) writeAuditEntry(ctx context.Context, store *platform.Client, document *dynconf.Document) {
	raw, err := document.Encode()
	if err == nil {
		err = configstore.EnsureRecords(ctx, store, document, raw)
	}
	if err != nil {
		fmt.Fprintln(a.stderr, "mangostand: the audit entry is not written yet, a node will complete it:", err)
	}
}

// reportConflict prints how the current version differs from the parent, after
// another operator has changed the configuration.
func (a *applyOperation) reportConflict(ctx context.Context, store *platform.Client, parent *dynconf.Document) int {
	current, err := configstore.ReadCurrent(ctx, store)
	if err != nil {
		fmt.Fprintln(a.stderr, "mangostand: another operator changed the configuration; nothing was applied; the current version cannot be read:", err)
		return ExitConflict
	}
	if parent == nil {
		parent = &dynconf.Document{}
	}
	a.printConflict(parent, current.Document)
	return ExitConflict
}

// reportConflictSince prints how the current version differs from the version that
// the operator passed as --from.
func (a *applyOperation) reportConflictSince(ctx context.Context, store *platform.Client, from uint64, current configstore.StoredDocument) int {
	parent := &dynconf.Document{}
	if from > 0 {
		stored, err := configstore.ReadVersion(ctx, store, from)
		if err != nil {
			fmt.Fprintf(a.stderr, "mangostand: the current version is %d, not %d; nothing was applied; the difference is not known: %v\n",
				current.Stamp().Version, from, err)
			return ExitConflict
		}
		parent = stored
	}
	a.printConflict(parent, current.Document)
	return ExitConflict
}

func (a *applyOperation) printConflict(parent, current *dynconf.Document) {
	if current == nil {
		current = &dynconf.Document{}
	}
	fmt.Fprintf(a.stderr, "mangostand: the change started from version %d, but version %d by %q is in force; nothing was applied\n",
		parent.Version, current.Version, current.Author)
	fmt.Fprintf(a.stderr, "difference from version %d to version %d:\n%s", parent.Version, current.Version, dynconf.Difference(parent, current))
}
