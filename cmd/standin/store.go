package main

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"mangostand.example/mangostand/pkg/standin/store"
)

func newStoreCommand() command {
	addr := "127.0.0.1:7000"
	c := flaggy.NewSubcommand("store")
	c.Description = "key-value store of the platform"
	c.String(&addr, "a", "addr", "listen address")
	return command{c, func(ctx context.Context) error {
		return serve(ctx, addr, store.New(time.Now).Handler())
	}}
}
