package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
	"unicode"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/configstore"
	"mangostand.example/mangostand/pkg/control/registration"
	"mangostand.example/mangostand/pkg/decide/configcheck"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/routedoc"
	"mangostand.example/mangostand/pkg/settings"
	"mangostand.example/mangostand/platform"
)

// exitWarnings is the exit status of a check that found warnings only. A check that
// cannot be made exits with ExitBadInput, so that it is not taken for one with warnings.
const exitWarnings = 1

const checkDescription = "check a configuration before it is sent, and compare it with the one in force; " +
	"exit status 0: clean, 1: warnings only, 2: errors"

// checkOperation holds the flags of one run of "config check".
type checkOperation struct {
	configFiles  *configFiles
	documentPath string
	// againstPath, storeURL and node.baseURL are where the version in force is read;
	// at most one is set.
	againstPath string
	storeURL    string
	node        *nodeClient
	quotaWindow time.Duration
	asJSON      bool
	stdout      io.Writer
	stderr      io.Writer
}

func checkCommand(config *flaggy.Subcommand, stdout, stderr io.Writer) *command {
	o := &checkOperation{configFiles: newConfigFiles(), node: &nodeClient{}, quotaWindow: settings.DefaultQuotaWindow, stdout: stdout, stderr: stderr}
	c := addSubcommand(config, "check", checkDescription)
	o.configFiles.addFlags(c)
	c.String(&o.documentPath, "d", "document", "platform's configuration document (JSON), in place of base and overlays")
	c.String(&o.againstPath, "a", "against", "file with the stored document in force")
	c.String(&o.storeURL, "s", "store", "URL of the platform's store, to compare with the version there")
	o.node.addFlagsFor(c, "listener for other nodes, to compare a document with the one in force there")
	c.Duration(&o.quotaWindow, "", "quota-window", "setting quota_window of the nodes")
	addJSONFlag(c, &o.asJSON)
	return &command{c, o.run}
}

// checkReport is the result of a check, as --json prints it.
type checkReport struct {
	Errors   int            `json:"errors"`
	Warnings int            `json:"warnings"`
	Findings []checkFinding `json:"findings"`
	// InForce is the version in force, nil if none was read.
	InForce     *uint64           `json:"in_force"`
	Differences []checkDifference `json:"differences"`
	// Overlays is the number of overlays.
	Overlays int `json:"overlays,omitempty"`
	// Lines is the difference of the lines of base and overlays.
	Lines string `json:"lines,omitempty"`
}

type checkFinding struct {
	Severity configcheck.Severity `json:"severity"`
	Place    string               `json:"place"`
	Field    string               `json:"field,omitempty"`
	Text     string               `json:"text"`
}

type checkDifference struct {
	Action      configcheck.Action `json:"action"`
	Part        string             `json:"part"`
	KeysAdded   int                `json:"keys_added,omitempty"`
	KeysRemoved int                `json:"keys_removed,omitempty"`
}

func (r *checkReport) add(f checkFinding) {
	if f.Severity == configcheck.Error {
		r.Errors++
	} else {
		r.Warnings++
	}
	r.Findings = append(r.Findings, f)
}

// addAll adds the findings on a document. The prefix names another document than the
// checked one.
func (r *checkReport) addAll(prefix string, version uint64, findings []configcheck.Finding) {
	for _, f := range findings {
		r.add(checkFinding{f.Severity, prefix + platform.PlaceText(version, f.Place), platform.FieldText(f.Field), f.Text})
	}
}

// countSources returns how many sources of the version in force are given.
func (o *checkOperation) countSources() int {
	sources := 0
	for _, source := range []string{o.againstPath, o.storeURL, o.node.baseURL} {
		if source != "" {
			sources++
		}
	}
	return sources
}

func (o *checkOperation) run() int {
	if o.countSources() > 1 {
		return reportBadInput(o.stderr, "only one of --against, --store and --node may be given")
	}
	ctx, cancel := newCallContext()
	defer cancel()
	check := o.checkFiles
	if o.documentPath != "" {
		check = o.checkDocument
	}
	report := &checkReport{Findings: []checkFinding{}, Differences: []checkDifference{}}
	if err := check(ctx, report); err != nil {
		return reportError(o.stderr, errors.WithType(err, errBadInput))
	}
	if o.asJSON {
		if status := printJSON(o.stdout, o.stderr, report); status != ExitOK {
			return ExitBadInput
		}
	} else {
		o.print(report)
	}
	switch {
	case report.Errors > 0:
		return ExitBadInput
	case report.Warnings > 0:
		return exitWarnings
	}
	return ExitOK
}

// checkFiles checks base and overlays.
func (o *checkOperation) checkFiles(ctx context.Context, report *checkReport) error {
	if o.node.baseURL != "" {
		return errors.New("--node: a node does not return base and overlays; use --store or --against")
	}
	document, names, err := o.configFiles.readFiles()
	if err != nil {
		return errors.Trace(err)
	}
	report.Overlays = len(document.Overlays)
	for _, p := range document.Validate(names) {
		report.add(checkFinding{Severity: configcheck.Error, Place: fmt.Sprintf("%s:%d", p.File, p.Line), Text: p.Text})
	}
	var inForce *dynconf.Document
	switch {
	case o.againstPath != "":
		data, err := readDocument(o.againstPath)
		if err != nil {
			return errors.Trace(err)
		}
		if inForce, err = dynconf.DecodeDocument(data); err != nil {
			return errors.Annotate(err, o.againstPath)
		}
	case o.storeURL != "":
		current, err := configstore.ReadCurrent(ctx, platform.NewClient(o.storeURL))
		if err != nil {
			return errors.Trace(err)
		}
		inForce = current.Document
	default:
		return nil
	}
	if inForce == nil {
		inForce = &dynconf.Document{}
	}
	report.InForce, report.Lines = &inForce.Version, dynconf.Difference(inForce, document)
	return nil
}

// checkDocument checks a configuration document of the platform.
func (o *checkOperation) checkDocument(ctx context.Context, report *checkReport) error {
	data, err := readDocument(o.documentPath)
	if err != nil {
		return errors.Trace(err)
	}
	environment := configcheck.Environment{DefaultTimeout: platform.DefaultRuleTimeout, QuotaWindow: o.quotaWindow}
	var inForce []byte
	switch {
	case o.againstPath != "":
		inForce, err = readDocument(o.againstPath)
	case o.storeURL != "":
		inForce, environment.Servers, err = readStoredDocument(ctx, platform.NewClient(o.storeURL))
	case o.node.baseURL != "":
		inForce, err = o.node.send(ctx, http.MethodGet, routedoc.DocumentTarget, nil)
	}
	if err != nil {
		return errors.Trace(err)
	}
	draft, findings := platform.InspectConfig(data)
	report.addAll("", draft.Version, findings)
	report.addAll("", draft.Version, configcheck.Check(draft, environment))
	if o.countSources() == 0 || report.Errors > 0 {
		return nil
	}
	earlier := &configcheck.Draft{Limits: dynconf.DefaultCallerLimits()}
	// A store or node without a configuration has an empty document.
	if len(inForce) > 0 || o.againstPath != "" {
		earlier, findings = platform.InspectConfig(inForce)
		for _, f := range findings {
			if f.Severity == configcheck.Error {
				report.addAll("in force: ", earlier.Version, []configcheck.Finding{f})
			}
		}
		if report.Errors > 0 {
			return nil
		}
	}
	report.InForce = &earlier.Version
	report.addAll("", draft.Version, configcheck.CheckVersion(draft, earlier.Version))
	report.addAll("", draft.Version, configcheck.CheckOpened(earlier, draft))
	for _, c := range configcheck.Difference(earlier, draft) {
		report.Differences = append(report.Differences, checkDifference{c.Action, platform.PartText(c.Place), c.KeysAdded, c.KeysRemoved})
	}
	return nil
}

// readStoredDocument reads the document in the store, which is empty if there is none,
// and counts the backend servers of each service.
func readStoredDocument(ctx context.Context, store *platform.Client) ([]byte, map[string]int, error) {
	entry, err := store.Get(ctx, platform.ConfigKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, nil, errors.Annotate(err, "reading the configuration")
	}
	records, err := store.List(ctx, registration.RecordPrefix)
	if err != nil {
		return nil, nil, errors.Annotate(err, "reading the records of the nodes")
	}
	if len(records) == 0 {
		// Before the first start of a deployment the numbers are not known.
		return entry.Value, nil, nil
	}
	return entry.Value, registration.CountServers(records), nil
}

// readDocument reads a file that is not larger than a configuration document.
func readDocument(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, routedoc.MaxDocumentBytes+1))
	if err == nil && len(data) > routedoc.MaxDocumentBytes {
		err = errors.Errorf("%s: larger than %d bytes", path, routedoc.MaxDocumentBytes)
	}
	return data, errors.Trace(err)
}

// print prints the report for people: errors on stderr, all else on stdout.
func (o *checkOperation) print(report *checkReport) {
	for _, f := range report.Findings {
		place := f.Place
		if f.Field != "" {
			place += ", " + f.Field
		}
		if f.Severity == configcheck.Error {
			fmt.Fprintln(o.stderr, printable(place+": "+f.Text))
			continue
		}
		fmt.Fprintln(o.stdout, printable(string(f.Severity)+": "+place+": "+f.Text))
	}
	switch {
	case report.InForce == nil:
	case len(report.Differences) == 0 && report.Lines == "":
		fmt.Fprintf(o.stdout, "no difference from version %d\n", *report.InForce)
	default:
		fmt.Fprintf(o.stdout, "differences from version %d:\n", *report.InForce)
	}
	for _, d := range report.Differences {
		line := "  " + string(d.Action) + " " + d.Part
		if d.KeysAdded+d.KeysRemoved > 0 {
			line += fmt.Sprintf(" (keys added: %d, removed: %d)", d.KeysAdded, d.KeysRemoved)
		}
		fmt.Fprintln(o.stdout, printable(line))
	}
	fmt.Fprint(o.stdout, report.Lines)
	switch {
	case report.Errors > 0:
	case o.documentPath == "":
		fmt.Fprintf(o.stdout, "configuration is valid, overlays: %d\n", report.Overlays)
	default:
		fmt.Fprintf(o.stdout, "configuration is valid, warnings: %d\n", report.Warnings)
	}
}

// printable replaces control characters, with which a name could change what a terminal
// shows.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text)
}
