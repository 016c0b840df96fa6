// Command standin takes the place of the platform's store and of backend
// servers in local runs and tests. It is not shipped to production.
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

	"mangostand.example/mangostand/pkg/standin/backendserver"
	"mangostand.example/mangostand/pkg/standin/store"
)

// version is set at build time.
var version = "development"

const headerTimeout = 5 * time.Second

func main() {
	flaggy.SetName("standin")
	flaggy.SetDescription("stand-ins for the platform's store and backend servers")
	flaggy.SetVersion(version)

	storeAddr := "127.0.0.1:7000"
	storeCommand := flaggy.NewSubcommand("store")
	storeCommand.Description = "the key-value service of the platform"
	storeCommand.String(&storeAddr, "a", "addr", "listen address")
	flaggy.AttachSubcommand(storeCommand, 1)

	server := backendserver.Config{Addr: "127.0.0.1:7200", Node: "http://127.0.0.1:7070", Slots: 10, Connections: 200, ServiceTime: 5 * time.Millisecond}
	serverCommand := flaggy.NewSubcommand("backend-server")
	serverCommand.Description = "a backend server that announces itself to its node"
	serverCommand.String(&server.Service, "s", "service", "service to serve")
	serverCommand.String(&server.Addr, "a", "addr", "listen address")
	serverCommand.String(&server.Node, "n", "node", "URL of the node's local listener")
	serverCommand.Int(&server.Slots, "", "slots", "calls served at once")
	serverCommand.Duration(&server.ServiceTime, "", "service-time", "time that a call holds a slot")
	flaggy.AttachSubcommand(serverCommand, 1)
	flaggy.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case storeCommand.Used:
		err = serve(ctx, storeAddr, store.New(time.Now).Handler())
	case serverCommand.Used:
		s := backendserver.New(server)
		go func() { _ = s.Announce(ctx) }()
		err = serve(ctx, server.Addr, s.Handler())
	default:
		flaggy.ShowHelpAndExit("")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, addr string, handler http.Handler) error {
	server := &http.Server{Addr: addr, Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); ctx.Err() == nil {
		return err
	}
	return nil
}
