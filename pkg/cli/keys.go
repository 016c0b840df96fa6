package cli

import (
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"mangostand.example/mangostand/pkg/security"
)

// testCertValidity is the validity of the test CA and its certificates.
const testCertValidity = 30 * 24 * time.Hour

// keysCommands adds the commands "keys ca" and "keys cert".
func keysCommands(parser *flaggy.Parser, stdout, stderr io.Writer) []*command {
	keys := addSubcommand(&parser.Subcommand, "keys", "create a test CA and certificates")

	dir := "keys"
	ca := addSubcommand(keys, "ca", "create a test CA")
	ca.String(&dir, "d", "dir", "directory for the PEM files")

	name, addresses, node := "", []net.IP{}, false
	cert := addSubcommand(keys, "cert", "create a certificate signed by the test CA")
	cert.String(&dir, "d", "dir", "directory for the PEM files")
	cert.String(&name, "", "name", "name of the instance, caller or operator")
	cert.IPSlice(&addresses, "", "ip", "IP number in the certificate")
	cert.Bool(&node, "", "node", "certificate of a node")

	return []*command{
		{ca, func() int {
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return reportError(stderr, err)
			}
			if err := security.WriteCA(dir, testCertValidity); err != nil {
				return reportError(stderr, err)
			}
			fmt.Fprintf(stdout, "wrote %s/%s\n", dir, security.CACertFile)
			return ExitOK
		}},
		{cert, func() int {
			if name == "" {
				return reportBadInput(stderr, "--name is required")
			}
			if err := security.WriteCertificate(dir, name, node, addresses, testCertValidity); err != nil {
				return reportError(stderr, err)
			}
			fmt.Fprintf(stdout, "wrote %s/%s.pem\n", dir, name)
			return ExitOK
		}},
	}
}
