package main

import (
	"context"

	"github.com/integrii/flaggy"

	"mangostand.example/mangostand/pkg/standin/executionlog"
)

func newExecutionLogCommand() command {
	addr := "127.0.0.1:7002"
	c := flaggy.NewSubcommand("execution-log")
	c.Description = "log of the non-idempotent executions of all backend servers"
	c.String(&addr, "a", "addr", "listen address")
	return command{c, func(ctx context.Context) error {
		return serve(ctx, addr, executionlog.New().Handler())
	}}
}
