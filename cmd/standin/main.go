// Command standin runs test doubles of the platform and of backend servers for
// local runs and tests: the store, backend servers, their execution log and the
// network between failure domains. It is not shipped to production.
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

// version is set at build time with -ldflags.
var version = "development"

// readHeaderTimeout bounds the time to read the header of a request.
const readHeaderTimeout = 5 * time.Second

// Exit statuses.
const (
	exitFailure      = 1
	exitInvalidInput = 2
)

// errInvalidInput classifies errors in arguments and files.
const errInvalidInput = errors.ConstError("bad input")

// command is a subcommand and the function that runs it until ctx is done.
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

// serve serves HTTP on addr until ctx is done. It does not wait for in-flight
// requests.
func serve(ctx context.Context, addr string, handler http.Handler) error {
	server := &http.Server{Addr: addr, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); ctx.Err() == nil {
		return err
	}
	return nil
}
