// Command mangostand is the command-line tool for operators.
package main

import (
	"os"

	"mangostand.example/mangostand/pkg/cli"
)

// version is set at build time with -ldflags.
var version = "development"

func main() {
	os.Exit(cli.Run(version, os.Args[1:], os.Stdout, os.Stderr))
}
