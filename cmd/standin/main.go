// Command standin takes the place of the platform and of backend servers in
// local runs and tests: the store, backend servers, their execution log and
// the network between failure domains. It is not shipped to production.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

// version is set at build time.
var version = "development"

const readHeaderTimeout = 5 * time.Second

// Exit statuses.
const (
	exitFailure      = 1
	exitInvalidInput = 2
)

// errInvalidInput marks errors in arguments and files.
const errInvalidInput = errors.ConstError("bad input")

// command is one subcommand with the function that runs it until ctx ends.
type command struct {
	subcommand *flaggy.Subcommand
	run        func(ctx context.Context) error
}

func main() {
	parser := flaggy.NewParser("standin")
	parser.Description = "stand-ins for the platform and for backend servers"
	parser.Version = version
	parser.ShowCompletion = false
	commands := []command{newStoreCommand(), newBackendServerCommand(), newExecutionLogCommand(), newRelayCommand()}
	for _, c := range commands {
		parser.AttachSubcommand(c.subcommand, 1)
	}
	if err := parser.ParseArgs(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitInvalidInput)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.subcommand.Used {
			os.Exit(exitStatus(c.run(ctx)))
		}
	}
	parser.ShowHelp()
	os.Exit(exitInvalidInput)
}

func exitStatus(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "standin:", err)
	if errors.Is(err, errInvalidInput) {
		return exitInvalidInput
	}
	return exitFailure
}

// serve answers HTTP requests on addr until ctx ends.
func serve(ctx context.Context, addr string, handler http.Handler) error {
	server := &http.Server{Addr: addr, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); ctx.Err() == nil {
		return err
	}
	return nil
}
