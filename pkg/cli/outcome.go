package cli

import (
	"io"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"

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

// outcomeCommand adds "outcome KEY".
func outcomeCommand(parser *flaggy.Parser, stdout, stderr io.Writer) *command {
	outcome := attach(&parser.Subcommand, "outcome", "ask the home of a key for the outcome of its call")
	outcome.AdditionalHelpAppend = "Exit status: 0 recorded (the outcome is printed), 1 the home cannot be asked, " +
		"2 bad arguments, 4 unknown, 5 not run so far, 6 in progress."
	node, service, caller, key := newNodeClient(), "", "", ""
	node.flags(outcome)
	outcome.String(&service, "", "service", "service of the call")
	outcome.String(&caller, "", "caller", "identity of the caller")
	outcome.AddPositionalValue(&key, "KEY", 1, true, "idempotency key (UUID version 7)")
	return &command{outcome, func() int {
		if service == "" || caller == "" {
			return badInput(stderr, "--service and --caller are required")
		}
		return printOutcome(node, service, caller, key, stdout, stderr)
	}}
}

func printOutcome(node *nodeClient, service, caller, key string, stdout, stderr io.Writer) int {
	ctx, cancel := callContext()
	defer cancel()
	query := url.Values{"service": {service}, "caller": {caller}}
	var answer opsapi.KeyOutcome
	if err := node.call(ctx, http.MethodGet, "/v1/outcome/"+url.PathEscape(key)+"?"+query.Encode(), &answer); err != nil {
		return fail(stderr, err)
	}
	if status := printJSON(stdout, stderr, answer); status != ExitOK {
		return status
	}
	return exitOfOutcome(answer.State)
}

func exitOfOutcome(state string) int {
	switch state {
	case opsapi.KeyRecorded:
		return ExitOK
	case opsapi.KeyUnknown:
		return ExitKeyUnknown
	case opsapi.KeyNotRun:
		return ExitKeyNotRun
	case opsapi.KeyInProgress:
		return ExitKeyInProgress
	}
	return ExitFailure
}
