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
	// defaultDrainWait bounds "drain --wait": the longest deadline of a call
	// and some seconds for the drain itself.
	defaultDrainWait = 10*time.Minute + 10*time.Second
	drainPoll        = 250 * time.Millisecond
)

// drainCommands adds "drain".
func drainCommands(parser *flaggy.Parser, stdout, stderr io.Writer) []*command {
	drain := attach(&parser.Subcommand, "drain", "drain the backend server of a node until it restarts")
	node, exit, wait, limit := newNodeClient(), false, false, defaultDrainWait
	node.flags(drain)
	drain.Bool(&exit, "", "exit", "let the node exit after the drain")
	drain.Bool(&wait, "w", "wait", "wait until no call is in flight and show the progress")
	drain.Duration(&limit, "", "timeout", "longest time to wait")
	return []*command{{drain, func() int {
		if err := startDrain(node, exit); err != nil {
			return fail(stderr, err)
		}
		fmt.Fprintln(stdout, "draining")
		if !wait {
			return ExitOK
		}
		if err := waitDrained(node, exit, limit, stdout); err != nil {
			return fail(stderr, err)
		}
		return ExitOK
	}}}
}

func startDrain(node *nodeClient, exit bool) error {
	ctx, cancel := callContext()
	defer cancel()
	path := "/v1/drain"
	if exit {
		path += "?exit=true"
	}
	return errors.Trace(node.call(ctx, http.MethodPost, path, nil))
}

// waitDrained shows the progress until the drain is complete. A node that was
// told to exit and cannot be reached any more has done so.
func waitDrained(node *nodeClient, exit bool, limit time.Duration, stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	last, stopping := -1, false
	for {
		var status opsapi.DrainStatus
		err := node.call(ctx, http.MethodGet, "/v1/drain", &status)
		switch {
		case ctx.Err() != nil:
			return errors.Errorf("not drained after %s", limit)
		case err != nil && exit && stopping, err == nil && status.Drained() && !exit:
			fmt.Fprintln(stdout, "drained")
			return nil
		case err != nil:
			return errors.Trace(err)
		case status.InFlight != last:
			last = status.InFlight
			fmt.Fprintf(stdout, "%s: %s, %d calls in flight\n", status.Instance, status.State, status.InFlight)
		}
		stopping = stopping || status.Stopping
		time.Sleep(drainPoll)
	}
}
