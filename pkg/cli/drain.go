package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/opsapi"
)

const (
	// defaultDrainTimeout limits "drain --wait": the longest deadline of a call, 10
	// minutes, and 10 seconds for the drain itself.
	defaultDrainTimeout = 10*time.Minute + 10*time.Second
	drainPollInterval   = 250 * time.Millisecond
)

// drainCommands adds the command "drain".
func drainCommands(parser *flaggy.Parser, stdout, stderr io.Writer) []*command {
	drain := addSubcommand(&parser.Subcommand, "drain", "drain the backend server of a node until it restarts")
	node, exit, wait, timeout := newNodeClient(), false, false, defaultDrainTimeout
	node.addFlags(drain)
	drain.Bool(&exit, "", "exit", "let the node exit after the drain")
	drain.Bool(&wait, "w", "wait", "wait until no call is in flight and show the progress")
	drain.Duration(&timeout, "", "timeout", "longest time to wait")
	return []*command{{drain, func() int {
		if err := startDrain(node, exit); err != nil {
			return reportError(stderr, err)
		}
		fmt.Fprintln(stdout, "draining")
		if !wait {
			return ExitOK
		}
		if err := waitUntilDrained(node, exit, timeout, stdout); err != nil {
			return reportError(stderr, err)
		}
		return ExitOK
	}}}
}

func startDrain(node *nodeClient, exit bool) error {
	ctx, cancel := newCallContext()
	defer cancel()
	path := "/v1/drain"
	if exit {
		path += "?exit=true"
	}
	return errors.Trace(node.sendJSON(ctx, http.MethodPost, path, nil))
}

// waitUntilDrained prints the progress until the drain is complete. With exit, a node
// that was stopping and cannot be reached any more counts as drained, because it has
// exited.
func waitUntilDrained(node *nodeClient, exit bool, timeout time.Duration, stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	lastInFlight, stopping := -1, false
	for {
		var status opsapi.DrainStatus
		err := node.sendJSON(ctx, http.MethodGet, "/v1/drain", &status)
		switch {
		case ctx.Err() != nil:
			return errors.Errorf("not drained after %s", timeout)
		case err != nil && exit && stopping, err == nil && status.Drained() && !exit:
			fmt.Fprintln(stdout, "drained")
			return nil
		case err != nil:
			return errors.Trace(err)
		case status.InFlight != lastInFlight:
			lastInFlight = status.InFlight
			fmt.Fprintf(stdout, "%s: %s, %d calls in flight\n", status.Instance, status.State, status.InFlight)
		}
		stopping = stopping || status.Stopping
		time.Sleep(drainPollInterval)
	}
}
