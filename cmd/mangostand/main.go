// Command mangostand is the operators' command line.
package main

import (
	"os"

	"mangostand.example/mangostand/pkg/cli"
)

// version is set at build time.
var version = "development"

func main() {
	os.Exit(cli.Run(version, os.Args[1:], os.Stdout, os.Stderr))
}
