package cli

import (
	"io"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"

	"mangostand.example/mangostand/pkg/opsapi"
)

// Exit statuses of "outcome", in addition to those of all commands.
const (
	// ExitKeyUnknown: the call may have been executed.
	ExitKeyUnknown = 4
	// ExitKeyNotRun: the call has not been executed so far.
	ExitKeyNotRun = 5
	// ExitKeyInProgress: the call may be running now.
	ExitKeyInProgress = 6
)

// outcomeCommand adds the command "outcome KEY".
func outcomeCommand(parser *flaggy.Parser, stdout, stderr io.Writer) *command {
	outcome := addSubcommand(&parser.Subcommand, "outcome", "ask the home of a key for the outcome of its call")
	outcome.AdditionalHelpAppend = "Exit status: 0 recorded (the outcome is printed), 1 the home cannot be asked, " +
		"2 bad arguments, 4 unknown, 5 not run so far, 6 in progress."
	node, service, caller, key := newNodeClient(), "", "", ""
	node.addFlags(outcome)
	outcome.String(&service, "", "service", "service of the call")
	outcome.String(&caller, "", "caller", "identity of the caller")
	outcome.AddPositionalValue(&key, "KEY", 1, true, "idempotency key (UUID version 7)")
	return &command{outcome, func() int {
		if service == "" || caller == "" {
			return reportBadInput(stderr, "--service and --caller are required")
		}
		return printOutcome(node, service, caller, key, stdout, stderr)
	}}
}

func printOutcome(node *nodeClient, service, caller, key string, stdout, stderr io.Writer) int {
	ctx, cancel := newCallContext()
	defer cancel()
	query := url.Values{"service": {service}, "caller": {caller}}
	var keyOutcome opsapi.KeyOutcome
	if err := node.sendJSON(ctx, http.MethodGet, "/v1/outcome/"+url.PathEscape(key)+"?"+query.Encode(), &keyOutcome); err != nil {
		return reportError(stderr, err)
	}
	if status := printJSON(stdout, stderr, keyOutcome); status != ExitOK {
		return status
	}
	return outcomeExitStatus(keyOutcome.State)
}

func outcomeExitStatus(state string) int {
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
