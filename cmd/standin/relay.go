package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/standin/relay"
)

func newRelayCommand() command {
	addr, file := "127.0.0.1:7001", "relay.ini"
	c := flaggy.NewSubcommand("relay")
	c.Description = "UDP relay that delays packets between failure domains"
	c.String(&addr, "a", "addr", "listen address of the HTTP commands")
	c.String(&file, "c", "config", "file with failure domains, nodes and links (INI)")
	return command{c, func(ctx context.Context) error {
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.WithType(err, errInvalidInput)
		}
		config, problems := relay.ParseConfig(file, data)
		for _, p := range problems {
			fmt.Fprintln(os.Stderr, p)
		}
		if len(problems) > 0 {
			return errors.Annotatef(errInvalidInput, "%s", file)
		}
		r, err := relay.New(config)
		if err != nil {
			return errors.Trace(err)
		}
		go r.Run(ctx)
		return serve(ctx, addr, r.AdminHandler())
	}}
}
