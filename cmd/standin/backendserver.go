package main

import (
	"context"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/standin/backendserver"
)

// Delays as at the sites, where opening a connection takes about 1 ms and a load
// probe about 6 ms.
const (
	defaultConnectDelay = time.Millisecond
	defaultProbeDelay   = 6 * time.Millisecond
)

func newBackendServerCommand() command {
	config := backendserver.Config{
		Addr: "127.0.0.1:7200", Node: "http://127.0.0.1:7070", Slots: 10, Connections: 200, MaxWaiting: 100,
		ServiceTime: 5 * time.Millisecond, ColdFactor: 1, Swing: 1,
		ConnectTime: defaultConnectDelay, ProbeTime: defaultProbeDelay,
	}
	c := flaggy.NewSubcommand("backend-server")
	c.Description = "backend server that announces itself to its node"
	c.String(&config.Service, "s", "service", "service to serve (required)")
	c.String(&config.Instance, "i", "instance", "name in the execution log")
	c.String(&config.Addr, "a", "addr", "listen address")
	c.String(&config.Node, "n", "node", "URL of the node's local listener")
	c.String(&config.ExecutionLog, "", "execution-log", "URL of the execution log")
	c.Int(&config.Slots, "", "slots", "calls that run at once")
	c.Int(&config.Connections, "", "connections", "connections that are open at once")
	c.Int(&config.MaxWaiting, "", "max-waiting", "calls that wait for a slot before load is shed")
	c.Duration(&config.ServiceTime, "", "service-time", "time that a call holds a slot")
	c.Float64(&config.Swing, "", "swing", "largest factor on the service time, drawn every 5 to 50 ms")
	c.Duration(&config.ColdStart, "", "cold-start", "time until the server has its full speed")
	c.Float64(&config.ColdFactor, "", "cold-factor", "factor on the service time at the start")
	c.Int(&config.LargeSize, "", "large-size", "size of large answers in bytes")
	c.String(&config.LargePath, "", "large-path", "path prefix of large answers")
	c.UInt64(&config.Seed, "", "seed", "seed of the swings")
	return command{c, func(ctx context.Context) error {
		if config.Service == "" || config.Slots < 1 {
			return errors.Annotate(errInvalidInput, "--service and at least one slot are required")
		}
		return backendserver.New(config).Run(ctx)
	}}
}
