package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"mangostand.example/mangostand/pkg/board"
)

// quarantineCommands adds "quarantine list" and "quarantine lift".
func quarantineCommands(parser *flaggy.Parser, stdout, stderr io.Writer) []*command {
	quarantine := flaggy.NewSubcommand("quarantine")
	quarantine.Description = "requests that crash backend servers"
	parser.AttachSubcommand(quarantine, 1)
	node := newNodeClient()

	list := flaggy.NewSubcommand("list")
	list.Description = "list suspected and quarantined requests"
	node.flags(list)
	quarantine.AttachSubcommand(list, 1)

	digest := ""
	lift := flaggy.NewSubcommand("lift")
	lift.Description = "lift the quarantine of a request on all nodes"
	node.flags(lift)
	lift.AddPositionalValue(&digest, "digest", 1, true, "digest of the request, see list")
	quarantine.AttachSubcommand(lift, 1)

	return []*command{
		{list, func() int { return listQuarantine(node, stdout, stderr) }},
		{lift, func() int { return liftQuarantine(node, digest, stdout, stderr) }},
	}
}

func listQuarantine(node *nodeClient, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var entries []board.QuarantineEntry
	if err := node.call(ctx, http.MethodGet, "/v1/quarantine", &entries); err != nil {
		return fail(stderr, err)
	}
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DIGEST\tSTATE\tDEATHS\tUNTIL\tREQUEST")
	for _, e := range entries {
		state := "suspected"
		if e.Quarantined {
			state = "quarantined"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", e.Digest, state, len(e.Deaths), e.Until.Format(time.RFC3339), e.Summary)
	}
	if err := table.Flush(); err != nil {
		return fail(stderr, err)
	}
	return ExitOK
}

func liftQuarantine(node *nodeClient, digest string, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := node.call(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(digest), nil); err != nil {
		return fail(stderr, err)
	}
	fmt.Fprintf(stdout, "lifted %s\n", digest)
	return ExitOK
}
