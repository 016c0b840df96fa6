// Command mangostandd is the load balancer's node, a sidecar proxy: it runs on
// the same instance as one backend server and forwards calls between callers and
// backend servers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"mangostand.example/mangostand/pkg/logging"
	"mangostand.example/mangostand/pkg/node"
	"mangostand.example/mangostand/pkg/settings"
	"mangostand.example/mangostand/platform"
)

// version is set at build time with -ldflags.
var version = "development"

// Exit statuses.
const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

// defaultSettingsFile is the settings file of a node that does not run on the
// deployment platform.
const defaultSettingsFile = "mangostandd.ini"

func main() {
	file := ""
	flaggy.SetName("mangostandd")
	flaggy.SetDescription("mangostand node: runs beside one backend server and carries calls")
	flaggy.SetVersion(version)
	flaggy.DefaultParser.ShowCompletion = false
	flaggy.String(&file, "s", "settings", "settings file of the node (INI), default "+defaultSettingsFile+
		", on the platform the path in "+platform.SettingsPathEnv)
	platformCommand := flaggy.NewSubcommand("platform")
	platformCommand.Description = "run on the users' platform"
	flaggy.AttachSubcommand(platformCommand, 1)
	flaggy.Parse()
	switch {
	case platformCommand.Used && file == "":
		file = os.Getenv(platform.SettingsPathEnv)
	case file == "":
		file = defaultSettingsFile
	}
	if platformCommand.Used {
		os.Exit(runPlatformNode(file))
	}
	os.Exit(runNode(file))
}

// runNode runs a node that does not run on the deployment platform.
func runNode(file string) int {
	s, problems := settings.Load(file)
	if len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(os.Stderr, p)
		}
		return exitInvalidSettings
	}
	log := logging.New(os.Stderr, s.Instance)
	if err := logging.SetLevel(s.LogLevel); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	n, err := node.New(s, log)
	if err != nil {
		log.Error().Err(err).Msg("node cannot start")
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal terminates the process without waiting for in-flight calls.
	context.AfterFunc(ctx, stop)
	if err := n.Run(ctx); err != nil {
		log.Error().Err(err).Msg("node failed")
		return exitFailure
	}
	return 0
}
