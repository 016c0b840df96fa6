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

// application is one run of "config apply".
type application struct {
	files    *configFiles
	storeURL string
	author   string
	from     string
	node     *nodeClient
	wait     bool
	timeout  time.Duration
	stdout   io.Writer
	stderr   io.Writer
}

// run applies the files. The version that the change starts from is read
// before the files, so that a change by somebody else in between is noticed.
func (a *application) run() int {
	from, err := a.checkFlags()
	if err != nil {
		return badInput(a.stderr, "%v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	store := platform.NewClient(a.storeURL)
	start, startErr := configstore.ReadCurrent(ctx, store)
	document, _, status := a.files.readChecked(a.stderr)
	if status != ExitOK {
		return status
	}
	if startErr != nil {
		return fail(a.stderr, errors.Annotate(startErr, "nothing was applied"))
	}
	if a.from != "" && from != start.Stamp().Version {
		return a.conflictSince(ctx, store, from, start)
	}
	document.Author, document.ChangeID, document.Time = a.author, uuid.NewString(), time.Now().UTC()
	return a.apply(ctx, store, start, document)
}

func (a *application) checkFlags() (uint64, error) {
	required := []struct{ name, value string }{
		{"--base", a.files.base}, {"--overlays", a.files.overlays}, {"--store", a.storeURL}, {"--author", a.author},
	}
	for _, r := range required {
		if r.value == "" {
			return 0, errors.Errorf("%s is required", r.name)
		}
	}
	if a.wait != (a.node.url != "") {
		return 0, errors.New("--wait and --node stand together")
	}
	if a.from == "0" {
		return 0, nil
	}
	return parseVersion(a.from)
}

func (a *application) apply(ctx context.Context, store *platform.Client, start configstore.StoredDocument, document *dynconf.Document) int {
	document.SetParent(start.Document)
	// The same content may be applied again: that settles two contents under
	// one version after the store lost a version.
	if document.Difference == "" {
		fmt.Fprintf(a.stdout, "no difference to version %d\n", document.ParentVersion)
	}
	fmt.Fprint(a.stdout, document.Difference)
	err := configstore.Apply(ctx, store, start, document)
	if errors.Is(err, configstore.ErrConcurrentChange) {
		return a.conflict(ctx, store, start.Document)
	}
	if err != nil {
		return fail(a.stderr, err)
	}
	fmt.Fprintf(a.stdout, "applied version %d, change %s\n", document.Version, document.ChangeID)
	a.record(ctx, store, document)
	if !a.wait {
		return ExitOK
	}
	return a.waitForNode(document)
}

// record writes the audit entry. The change is accepted already, so a failure
// is only reported: a watching node or the next change completes the entry.
func (a *application) record(ctx context.Context, store *platform.Client, document *dynconf.Document) {
	raw, err := document.Encode()
	if err == nil {
		err = configstore.EnsureRecords(ctx, store, document, raw)
	}
	if err != nil {
		fmt.Fprintln(a.stderr, "mangostand: the audit entry is not written yet, a node will complete it:", err)
	}
}

// conflict reports what somebody else changed since the start.
func (a *application) conflict(ctx context.Context, store *platform.Client, start *dynconf.Document) int {
	present, err := configstore.ReadCurrent(ctx, store)
	if err != nil {
		fmt.Fprintln(a.stderr, "mangostand: somebody else changed the configuration; nothing was applied; the present version cannot be read:", err)
		return ExitConflict
	}
	if start == nil {
		start = &dynconf.Document{}
	}
	a.printConflict(start, present.Document)
	return ExitConflict
}

// conflictSince reports the difference to a version that the operator named.
func (a *application) conflictSince(ctx context.Context, store *platform.Client, from uint64, present configstore.StoredDocument) int {
	start := &dynconf.Document{}
	if from > 0 {
		kept, err := configstore.ReadVersion(ctx, store, from)
		if err != nil {
			fmt.Fprintf(a.stderr, "mangostand: the present version is %d, not %d; nothing was applied; the difference is not known: %v\n",
				present.Stamp().Version, from, err)
			return ExitConflict
		}
		start = kept
	}
	a.printConflict(start, present.Document)
	return ExitConflict
}

func (a *application) printConflict(start, present *dynconf.Document) {
	if present == nil {
		present = &dynconf.Document{}
	}
	fmt.Fprintf(a.stderr, "mangostand: the change started from version %d, but version %d by %q is in force; nothing was applied\n",
		start.Version, present.Version, present.Author)
	fmt.Fprintf(a.stderr, "difference from version %d to version %d:\n%s", start.Version, present.Version, dynconf.Difference(start, present))
}
