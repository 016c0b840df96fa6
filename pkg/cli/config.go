package cli

import (
	"fmt"
	"io"
	"strconv"

	"github.com/integrii/flaggy"

	"mangostand.example/mangostand/platform"
)

// configCommands adds the commands "config check|render|apply|history|show".
func configCommands(parser *flaggy.Parser, stdout, stderr io.Writer) []*command {
	config := addSubcommand(&parser.Subcommand, "config", "check, apply and look up configurations")
	return []*command{
		checkCommand(config, stdout, stderr),
		renderCommand(config, stdout, stderr),
		applyCommand(config, stdout, stderr),
		historyCommand(config, stdout, stderr),
		showCommand(config, stdout, stderr),
	}
}

func renderCommand(config *flaggy.Subcommand, stdout, stderr io.Writer) *command {
	files, site := newConfigFiles(), ""
	c := addSubcommand(config, "render", "print the merged result of a site with the origin of each value")
	files.addFlags(c)
	c.AddPositionalValue(&site, "SITE", 1, false, "site whose overlay is merged; may be left out without overlays")
	return &command{c, func() int {
		document, names, status := files.readAndValidate(stderr)
		if status != ExitOK {
			return status
		}
		if _, known := document.Overlays[site]; !known && len(document.Overlays) > 0 {
			return reportBadInput(stderr, "there is no overlay of site %q; there are %v", site, document.Sites())
		}
		if site == "" {
			site = document.Sites()[0]
		}
		text, problems := document.Render(site, names)
		if len(problems) > 0 {
			return printConfigErrors(stderr, problems)
		}
		fmt.Fprint(stdout, text)
		return ExitOK
	}}
}

func applyCommand(config *flaggy.Subcommand, stdout, stderr io.Writer) *command {
	a := &applyOperation{configFiles: &configFiles{}, node: &nodeClient{}, timeout: callTimeout, stdout: stdout, stderr: stderr}
	c := addSubcommand(config, "apply", "check the files and put them in force")
	a.configFiles.addFlags(c)
	c.String(&a.storeURL, "s", "store", "URL of the platform's store; required")
	c.String(&a.author, "", "author", "name for the audit trail; required")
	c.String(&a.fromVersion, "", "from", "version that the change starts from; default: the one in the store now")
	c.Duration(&a.timeout, "", "timeout", "limit for the calls to the store, and again for --wait")
	c.Bool(&a.wait, "", "wait", "wait until the node of --node has the version in force")
	a.node.addFlags(c)
	return &command{c, a.run}
}

func historyCommand(config *flaggy.Subcommand, stdout, stderr io.Writer) *command {
	storeURL, limit := defaultStoreURL, defaultAuditEntries
	c := addSubcommand(config, "history", "list the accepted versions, newest first")
	addStoreFlag(c, &storeURL)
	c.Int(&limit, "", "limit", "number of versions at most")
	return &command{c, func() int {
		entries, status := readAuditEntries(storeURL, limit, stderr)
		if status != ExitOK {
			return status
		}
		for _, e := range entries {
			fmt.Fprintf(stdout, "%d\t%s\t%s\t%s\n", e.To, e.Time.Format(timeFormat), e.Author, e.ChangeID)
		}
		return ExitOK
	}}
}

func showCommand(config *flaggy.Subcommand, stdout, stderr io.Writer) *command {
	storeURL, version := defaultStoreURL, ""
	c := addSubcommand(config, "show", "print the files of an accepted version")
	addStoreFlag(c, &storeURL)
	c.AddPositionalValue(&version, "VERSION", 1, false, "version to print; default: the current one")
	return &command{c, func() int {
		number, err := parseVersion(version)
		if err != nil {
			return reportBadInput(stderr, "%v", err)
		}
		return showVersion(platform.NewClient(storeURL), number, stdout, stderr)
	}}
}

// parseVersion parses a version number. It returns 0 for the empty string.
func parseVersion(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("version %q: expected a whole number from 1", text)
	}
	return n, nil
}

func newConfigFiles() *configFiles { return &configFiles{basePath: "base.ini", overlayDir: "overlays"} }
