package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"mangostand.example/mangostand/pkg/board"
)

// quarantineCommands adds the commands "quarantine list" and "quarantine lift".
func quarantineCommands(parser *flaggy.Parser, stdout, stderr io.Writer) []*command {
	quarantine := addSubcommand(&parser.Subcommand, "quarantine", "list and lift requests that crash backend servers")
	node := newNodeClient()

	list := addSubcommand(quarantine, "list", "list suspected and quarantined requests")
	node.addFlags(list)

	digest := ""
	lift := addSubcommand(quarantine, "lift", "lift the quarantine of a request on all nodes")
	node.addFlags(lift)
	lift.AddPositionalValue(&digest, "DIGEST", 1, true, "digest of the request, see list")

	return []*command{
		{list, func() int { return listQuarantine(node, stdout, stderr) }},
		{lift, func() int { return liftQuarantine(node, digest, stdout, stderr) }},
	}
}

func listQuarantine(node *nodeClient, stdout, stderr io.Writer) int {
	ctx, cancel := newCallContext()
	defer cancel()
	var entries []board.QuarantineEntry
	if err := node.sendJSON(ctx, http.MethodGet, "/v1/quarantine", &entries); err != nil {
		return reportError(stderr, err)
	}
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DIGEST\tSTATE\tDEATHS\tUNTIL\tREQUEST")
	for _, e := range entries {
		state := "suspected"
		if e.Quarantined {
			state = "quarantined"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", e.Digest, state, len(e.Deaths), e.ExpiresAt.Format(timeFormat), e.Summary)
	}
	if err := table.Flush(); err != nil {
		return reportError(stderr, err)
	}
	return ExitOK
}

func liftQuarantine(node *nodeClient, digest string, stdout, stderr io.Writer) int {
	ctx, cancel := newCallContext()
	defer cancel()
	if err := node.sendJSON(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(digest), nil); err != nil {
		return reportError(stderr, err)
	}
	fmt.Fprintf(stdout, "lifted %s\n", digest)
	return ExitOK
}
