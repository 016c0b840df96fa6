package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/opsapi"
)

// Exit statuses of "outcome" beside those of all commands.
const (
	// ExitKeyUnknown: the call may have run.
	ExitKeyUnknown = 4
	// ExitKeyNotRun: the call has not run so far.
	ExitKeyNotRun = 5
	// ExitKeyInProgress: the call may be running.
	ExitKeyInProgress = 6
)

// maxOutcomeSize bounds the answer of a node in bytes.
const maxOutcomeSize = 64 << 10

// outcomeCommand adds "outcome KEY".
func outcomeCommand(parser *flaggy.Parser, stdout, stderr io.Writer) *command {
	outcome := flaggy.NewSubcommand("outcome")
	outcome.Description = "ask the home of a key for the outcome of its call"
	outcome.AdditionalHelpAppend = "Exit status: 0 recorded (the outcome is printed), 1 the home cannot be asked, " +
		"2 bad arguments, 4 unknown, 5 not run so far, 6 in progress."
	node, service, caller, key := "http://127.0.0.1:7071", "", "", ""
	outcome.String(&node, "", "node", "URL of a node's operators' listener")
	outcome.String(&service, "", "service", "service of the call")
	outcome.String(&caller, "", "caller", "identity of the caller")
	outcome.AddPositionalValue(&key, "KEY", 1, true, "idempotency key (UUID version 7)")
	parser.AttachSubcommand(outcome, 1)
	return &command{outcome, func() int {
		if service == "" || caller == "" {
			fmt.Fprintln(stderr, "mangostand: --service and --caller are required")
			return ExitBadInput
		}
		return printOutcome(node, service, caller, key, stdout, stderr)
	}}
}

func printOutcome(node, service, caller, key string, stdout, stderr io.Writer) int {
	answer, status, err := fetchOutcome(node, service, caller, key)
	if err != nil {
		fmt.Fprintln(stderr, "mangostand:", err)
		return status
	}
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(answer); err != nil {
		return fail(stderr, err)
	}
	return exitOfOutcome(answer.State)
}

func exitOfOutcome(state string) int {
	switch state {
	case opsapi.KeyRecorded:
		return ExitOK
	case opsapi.KeyUnknown:
		return ExitKeyUnknown
	case opsapi.KeyAbsent:
		return ExitKeyNotRun
	case opsapi.KeyInProgress:
		return ExitKeyInProgress
	}
	return ExitFailure
}

// fetchOutcome returns the answer of a node, or an error with the exit status.
func fetchOutcome(node, service, caller, key string) (*opsapi.KeyOutcome, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	query := url.Values{"service": {service}, "caller": {caller}}
	target := strings.TrimSuffix(node, "/") + "/v1/outcome/" + url.PathEscape(key) + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, ExitBadInput, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, ExitFailure, errors.Trace(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxOutcomeSize))
	if err != nil {
		return nil, ExitFailure, errors.Trace(err)
	}
	switch {
	case resp.StatusCode == http.StatusBadRequest:
		return nil, ExitBadInput, errors.New(strings.TrimSpace(string(data)))
	case resp.StatusCode != http.StatusOK:
		return nil, ExitFailure, errors.Errorf("%s answered %s", node, resp.Status)
	}
	var answer opsapi.KeyOutcome
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, ExitFailure, errors.Annotatef(err, "answer of %s", node)
	}
	return &answer, ExitOK, nil
}
