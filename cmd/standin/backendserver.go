package main

import (
	"context"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/standin/backendserver"
)

// Default delays. At the real sites, opening a connection takes about 1 ms and a
// load probe about 6 ms.
const (
	defaultConnectDelay = time.Millisecond
	defaultProbeDelay   = 6 * time.Millisecond
)

func newBackendServerCommand() command {
	config := backendserver.Config{
		ListenAddr: "127.0.0.1:7200", NodeURL: "http://127.0.0.1:7070", Slots: 10, MaxConnections: 200, MaxWaiting: 100,
		ServiceTime: 5 * time.Millisecond, ColdStartFactor: 1, MaxServiceTimeFactor: 1,
		ConnectDelay: defaultConnectDelay, ProbeDelay: defaultProbeDelay,
	}
	c := flaggy.NewSubcommand("backend-server")
	c.Description = "backend server that announces itself to its node"
	c.String(&config.Service, "s", "service", "service to serve (required)")
	c.String(&config.Instance, "i", "instance", "name in the execution log")
	c.String(&config.ListenAddr, "a", "addr", "listen address")
	c.String(&config.NodeURL, "n", "node", "URL of the node's local listener")
	c.String(&config.ExecutionLogURL, "", "execution-log", "URL of the execution log")
	c.Int(&config.Slots, "", "slots", "calls that run at once")
	c.Int(&config.MaxConnections, "", "connections", "connections that are open at once")
	c.Int(&config.MaxWaiting, "", "max-waiting", "calls that wait for a slot before load is shed")
	c.Duration(&config.ServiceTime, "", "service-time", "time that a call holds a slot")
	c.Float64(&config.MaxServiceTimeFactor, "", "swing", "largest factor on the service time, drawn every 5 to 50 ms")
	c.Duration(&config.WarmUpTime, "", "cold-start", "time until the server has its full speed")
	c.Float64(&config.ColdStartFactor, "", "cold-factor", "factor on the service time at the start")
	c.Int(&config.LargeResponseBytes, "", "large-size", "size of large answers in bytes")
	c.String(&config.LargeResponsePrefix, "", "large-path", "path prefix of large answers")
	c.UInt64(&config.Seed, "", "seed", "seed of the swings")
	return command{c, func(ctx context.Context) error {
		if config.Service == "" || config.Slots < 1 {
			return errors.Annotate(errInvalidInput, "--service and at least one slot are required")
		}
		return backendserver.New(config).Run(ctx)
	}}
}
