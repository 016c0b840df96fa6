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
	// callTimeout bounds one command's calls to the store and to nodes.
	callTimeout     = 10 * time.Second
	defaultStoreURL = "http://127.0.0.1:7000"
)

// errBadInput marks errors in arguments and files.
const errBadInput = errors.ConstError("bad input")

// addSubcommand adds a command below a group or below the program.
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

// newCallContext bounds the calls of one command.
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

// reportError reports an error and returns its exit status.
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

// printHelpToStdout sends the help that an operator asks for to stdout. flaggy writes
// every help text to the error output; those with a message, which stands for
// an error, stay there.
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
