package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/template"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

const (
	// callTimeout limits the total time of a command's calls to the store and to
	// nodes.
	callTimeout     = 10 * time.Second
	defaultStoreURL = "http://127.0.0.1:7000"
)

// errBadInput marks errors that are due to invalid arguments or files.
const errBadInput = errors.ConstError("bad input")

// addSubcommand adds a subcommand to a command group or to the program.
func addSubcommand(parent *flaggy.Subcommand, name, description string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	parent.AttachSubcommand(c, 1)
	return c
}

// addStoreFlag adds the flag --store.
func addStoreFlag(c *flaggy.Subcommand, url *string) {
	c.String(url, "s", "store", "URL of the platform's store")
}

// addJSONFlag adds the flag --json.
func addJSONFlag(c *flaggy.Subcommand, asJSON *bool) {
	c.Bool(asJSON, "j", "json", "print JSON")
}

// newCallContext returns a context that ends after callTimeout.
func newCallContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

func printJSON(stdout, stderr io.Writer, value any) int {
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return reportError(stderr, err)
	}
	return ExitOK
}

// reportError prints an error and returns the exit status that belongs to it.
func reportError(stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, "mangostand:", err)
	if errors.Is(err, errBadInput) {
		return ExitBadInput
	}
	return ExitFailure
}

func reportBadInput(stderr io.Writer, format string, args ...any) int {
	fmt.Fprintf(stderr, "mangostand: "+format+"\n", args...)
	return ExitBadInput
}

// printHelpToStdout makes the parser print help on stdout when the operator asks for
// it. flaggy writes every help text to stderr; help with a message, which follows an
// error in the command line, stays there.
func printHelpToStdout(parser *flaggy.Parser, stdout io.Writer) {
	text := parser.HelpTemplate
	render := func(help flaggy.Help) (string, error) {
		if help.Message == "" {
			return "", text.Execute(stdout, help)
		}
		var b strings.Builder
		err := text.Execute(&b, help)
		return b.String(), err
	}
	parser.HelpTemplate = template.Must(template.New("help").Funcs(template.FuncMap{"render": render}).Parse("{{render .}}"))
}
