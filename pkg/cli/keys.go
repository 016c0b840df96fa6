package cli

import (
	"fmt"
	"io"
	"net"
	"os"

	"github.com/integrii/flaggy"

	"mangostand.example/mangostand/pkg/security"
)

// keysCommands adds "keys ca" and "keys cert".
func keysCommands(parser *flaggy.Parser, stdout, stderr io.Writer) []*command {
	keys := flaggy.NewSubcommand("keys")
	keys.Description = "test CA and certificates"
	parser.AttachSubcommand(keys, 1)

	dir := "keys"
	ca := flaggy.NewSubcommand("ca")
	ca.Description = "create a test CA"
	ca.String(&dir, "d", "dir", "directory for the PEM files")
	keys.AttachSubcommand(ca, 1)

	name, addresses, node := "", []net.IP{}, false
	cert := flaggy.NewSubcommand("cert")
	cert.Description = "create a certificate signed by the test CA"
	cert.String(&dir, "d", "dir", "directory for the PEM files")
	cert.String(&name, "", "name", "name of the instance, caller or operator")
	cert.IPSlice(&addresses, "", "ip", "IP number in the certificate")
	cert.Bool(&node, "", "node", "certificate of a node")
	keys.AttachSubcommand(cert, 1)

	return []*command{
		{ca, func() int {
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return fail(stderr, err)
			}
			if err := security.WriteCA(dir, defaultValidity); err != nil {
				return fail(stderr, err)
			}
			fmt.Fprintf(stdout, "wrote %s/%s\n", dir, security.CACertFile)
			return ExitOK
		}},
		{cert, func() int {
			if name == "" {
				fmt.Fprintln(stderr, "mangostand: --name is required")
				return ExitBadInput
			}
			if err := security.WriteCertificate(dir, name, node, addresses, defaultValidity); err != nil {
				return fail(stderr, err)
			}
			fmt.Fprintf(stdout, "wrote %s/%s.pem\n", dir, name)
			return ExitOK
		}},
	}
}
