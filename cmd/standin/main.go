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

const headerTimeout = 5 * time.Second

// Exit statuses.
const (
	exitFailure  = 1
	exitBadInput = 2
)

// errBadInput marks errors in arguments and files.
const errBadInput = errors.ConstError("bad input")

// command is one subcommand with the function that runs it until ctx ends.
type command struct {
	parsed *flaggy.Subcommand
	run    func(ctx context.Context) error
}

func main() {
	parser := flaggy.NewParser("standin")
	parser.Description = "stand-ins for the platform and for backend servers"
	parser.Version = version
	parser.ShowCompletion = false
	commands := []command{storeCommand(), backendServerCommand(), executionLogCommand(), relayCommand()}
	for _, c := range commands {
		parser.AttachSubcommand(c.parsed, 1)
	}
	if err := parser.ParseArgs(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitBadInput)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.parsed.Used {
			os.Exit(status(c.run(ctx)))
		}
	}
	parser.ShowHelp()
	os.Exit(exitBadInput)
}

func status(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "standin:", err)
	if errors.Is(err, errBadInput) {
		return exitBadInput
	}
	return exitFailure
}

// serve answers HTTP requests on addr until ctx ends.
func serve(ctx context.Context, addr string, handler http.Handler) error {
	server := &http.Server{Addr: addr, Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); ctx.Err() == nil {
		return err
	}
	return nil
}
