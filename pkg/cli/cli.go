// Package cli implements mangostand, the command-line tool for operators.
package cli

import (
	"io"

	"github.com/integrii/flaggy"
)

// Exit statuses, documented in docs/OPERATIONS.md.
const (
	ExitOK = 0
	// ExitFailure: the command failed.
	ExitFailure = 1
	// ExitBadInput: arguments, settings or a configuration are not valid;
	// nothing was changed.
	ExitBadInput = 2
	// ExitConflict: another operator has changed the configuration meanwhile;
	// nothing was changed.
	ExitConflict = 3
)

// command is a subcommand and the function that runs it and returns the exit
// status.
type command struct {
	subcommand *flaggy.Subcommand
	run        func() int
}

// Run parses arguments, runs one command and returns its exit status.
func Run(version string, args []string, stdout, stderr io.Writer) int {
	parser := flaggy.NewParser("mangostand")
	parser.Description = "command line for operators of mangostand"
	parser.Version = version
	printHelpToStdout(parser, stdout)
	var commands []*command
	commands = append(commands, configCommands(parser, stdout, stderr)...)
	commands = append(commands, drainCommands(parser, stdout, stderr)...)
	commands = append(commands, quarantineCommands(parser, stdout, stderr)...)
	commands = append(commands, auditCommands(parser, stdout, stderr)...)
	commands = append(commands, loadCommands(parser, stdout, stderr)...)
	commands = append(commands, keysCommands(parser, stdout, stderr)...)
	commands = append(commands, statusCommands(parser, stdout, stderr)...)
	commands = append(commands, newKeyCommand(parser, stdout, stderr)...)
	commands = append(commands, outcomeCommand(parser, stdout, stderr))
	if err := parser.ParseArgs(args); err != nil {
		return reportBadInput(stderr, "%v", err)
	}
	for _, c := range commands {
		if c.subcommand.Used {
			return c.run()
		}
	}
	parser.ShowHelpWithMessage("mangostand: a command is required")
	return ExitBadInput
}
