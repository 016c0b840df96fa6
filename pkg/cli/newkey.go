package cli

import (
	"fmt"
	"io"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
)

// newKeyCommand adds the command "new-key", for callers that use a tool such as curl.
func newKeyCommand(parser *flaggy.Parser, stdout, stderr io.Writer) []*command {
	newKey := addSubcommand(&parser.Subcommand, "new-key", "print a new idempotency key (UUID version 7)")
	return []*command{{newKey, func() int {
		key, err := uuid.NewV7()
		if err != nil {
			return reportError(stderr, err)
		}
		fmt.Fprintln(stdout, key)
		return ExitOK
	}}}
}
