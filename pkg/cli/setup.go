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
	callTimeout  = 10 * time.Second
	defaultStore = "http://127.0.0.1:7000"
)

// errBadInput marks errors in arguments and files.
const errBadInput = errors.ConstError("bad input")

// attach adds a command below a group or below the program.
func attach(parent *flaggy.Subcommand, name, description string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	parent.AttachSubcommand(c, 1)
	return c
}

// storeFlag adds the flag --store.
func storeFlag(c *flaggy.Subcommand, url *string) {
	c.String(url, "s", "store", "URL of the platform's store")
}

// jsonFlag adds the flag --json.
func jsonFlag(c *flaggy.Subcommand, asJSON *bool) {
	c.Bool(asJSON, "j", "json", "print JSON")
}

// callContext bounds the calls of one command.
func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

func printJSON(stdout, stderr io.Writer, value any) int {
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fail(stderr, err)
	}
	return ExitOK
}

// fail reports an error and returns its exit status.
func fail(stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, "mangostand:", err)
	if errors.Is(err, errBadInput) {
		return ExitBadInput
	}
	return ExitFailure
}

func badInput(stderr io.Writer, format string, args ...any) int {
	fmt.Fprintf(stderr, "mangostand: "+format+"\n", args...)
	return ExitBadInput
}

// printHelpTo sends the help that an operator asks for to stdout. flaggy writes
// every help text to the error output; those with a message, which stands for
// an error, stay there.
func printHelpTo(parser *flaggy.Parser, stdout io.Writer) {
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
