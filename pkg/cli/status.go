package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/opsapi"
)

// statusCommands adds "status" and "log-level".
func statusCommands(parser *flaggy.Parser, stdout, stderr io.Writer) []*command {
	node, asJSON := newNodeClient(), false
	status := attach(&parser.Subcommand, "status", "show the state of a node and what it knows of the fleet")
	node.flags(status)
	jsonFlag(status, &asJSON)

	levelNode, level := newNodeClient(), ""
	logLevel := attach(&parser.Subcommand, "log-level", "change the log level of a running node")
	levelNode.flags(logLevel)
	logLevel.AddPositionalValue(&level, "LEVEL", 1, true, "debug, info, warn or error")

	return []*command{
		{status, func() int { return showStatus(node, asJSON, stdout, stderr) }},
		{logLevel, func() int { return setLogLevel(levelNode, level, stdout, stderr) }},
	}
}

func showStatus(node *nodeClient, asJSON bool, stdout, stderr io.Writer) int {
	ctx, cancel := callContext()
	defer cancel()
	data, err := node.send(ctx, http.MethodGet, "/v1/status", nil)
	if err != nil {
		return fail(stderr, err)
	}
	if asJSON {
		fmt.Fprintf(stdout, "%s", data)
		return ExitOK
	}
	var status opsapi.Status
	if err := json.Unmarshal(data, &status); err != nil {
		return fail(stderr, errors.Annotate(err, "answer of the node"))
	}
	if err := writeStatus(stdout, &status); err != nil {
		return fail(stderr, err)
	}
	return ExitOK
}

// logLevels are the words that a node accepts.
var logLevels = []string{"debug", "info", "warn", "error"}

func setLogLevel(node *nodeClient, level string, stdout, stderr io.Writer) int {
	if !slices.Contains(logLevels, level) {
		return badInput(stderr, "log level %q: expected debug, info, warn or error", level)
	}
	ctx, cancel := callContext()
	defer cancel()
	if _, err := node.send(ctx, http.MethodPut, "/v1/log-level", []byte(level)); err != nil {
		return fail(stderr, err)
	}
	fmt.Fprintf(stdout, "log level is %s\n", level)
	return ExitOK
}

// writeStatus prints the state of a node for people.
func writeStatus(w io.Writer, s *opsapi.Status) error {
	fmt.Fprintf(w, "node %s, configuration version %d, %d calls in flight\n", s.Instance, s.ConfigVersion, s.InFlight)
	writeLocal(w, &s.LocalServer)
	fmt.Fprintln(w)
	if err := writeMembers(w, s); err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintln(w)
	return writeSections(w, s)
}

func writeLocal(w io.Writer, l *board.LocalServer) {
	if !l.Announced {
		fmt.Fprintln(w, "no backend server has announced itself to this node")
		return
	}
	state := "serving"
	if l.Draining {
		state = "draining"
	}
	fmt.Fprintf(w, "backend server %s of %s, %s, %d slots, reports %d in flight\n", l.Addr, l.Service, state, l.Slots, l.ReportedInFlight)
}

// writeMembers prints each member with its load.
func writeMembers(w io.Writer, s *opsapi.Status) error {
	instances := map[board.InstanceID]opsapi.InstanceStatus{}
	for _, i := range s.Instances {
		instances[i.Instance] = i
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tSERVICE\tSTATE\tFAILURE DOMAIN\tSLOTS\tIN FLIGHT\tLATENCY MS\tSUCCEEDED\tFAILED\tREJECTED")
	for _, m := range s.Members {
		service := m.Service
		if service == "" {
			service = "-"
		}
		i := instances[m.Instance]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%.2f\t%d\t%d\t%d\n", m.Instance, service, m.State, m.FailureDomain,
			m.Slots, i.EstimatedInFlight, i.ServiceTimeMS, i.Successes, i.Failures, i.Rejections)
	}
	return errors.Trace(table.Flush())
}

func writeSections(w io.Writer, s *opsapi.Status) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SECTION\tVERSION\tWRITER")
	for _, name := range slices.Sorted(maps.Keys(s.Sections)) {
		fmt.Fprintf(table, "%s\t%d\t%s\n", name, s.Sections[name].Version, s.Sections[name].Writer)
	}
	return errors.Trace(table.Flush())
}
