package settings

import (
	"net"
	"net/url"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/inifile"
	"mangostand.example/mangostand/pkg/security"
)

// sectionKinds lists the sections of Node in the order of the reference page.
var sectionKinds = []string{"node", "listen", "peer_tls", "caller_tls", "operator_tls", "platform"}

// NodeReference returns the rows of the reference page for each section of
// Node.
func NodeReference() []inifile.SectionReference {
	node := defaultNode()
	var references []inifile.SectionReference
	for _, kind := range sectionKinds {
		references = append(references, inifile.Describe(kind, node.sectionFields(kind)))
	}
	return references
}

// sectionFields returns the fields of a section, or nil if there is no such
// section.
func (n *Node) sectionFields(section string) []inifile.Field {
	switch section {
	case "node":
		return n.nodeFields()
	case "listen":
		return n.listenFields()
	case "peer_tls":
		return tlsFields(&n.PeerTLS, "CA of the fleet, PEM. Required.")
	case "caller_tls":
		return tlsFields(&n.CallerTLS, "CA of the callers, PEM; with it callers must present a certificate.")
	case "operator_tls":
		return tlsFields(&n.OperatorTLS, "CA of the operators, PEM; with it operators must present a certificate.")
	case "platform":
		return n.platformFields()
	}
	return nil
}

func (n *Node) nodeFields() []inifile.Field {
	return []inifile.Field{
		inifile.String("instance", &n.Instance).
			WithDescription("Name of the instance, unique in the fleet and the same after a restart. Required."),
		inifile.String("site", &n.Site).
			WithDescription("Selects the overlay of the dynamic configuration. Required."),
		inifile.String("region", &n.Region).
			WithDescription("Region of the instance. Required."),
		inifile.String("failure_domain", &n.FailureDomain).
			WithDescription("Failure domain of the instance. Required."),
		inifile.Choice("log_level", &n.LogLevel, "debug", "info", "warn", "error").
			WithDescription("Least level of log lines; it can be changed while the node runs."),
	}
}

func (n *Node) listenFields() []inifile.Field {
	return []inifile.Field{
		addressField("callers", &n.CallerAddr).WithDescription("TCP address of the listener for callers. Required."),
		addressField("peers", &n.PeerAddr).WithDescription("UDP address of the listener for other nodes. Required."),
		addressField("advertise_peers", &n.AdvertisedPeerAddr).
			WithDescription("Address that other nodes dial; without the key the value of peers."),
		addressField("local", &n.LocalAPIAddr).WithDescription("TCP address of the listener for the backend server of the instance."),
		addressField("operators", &n.OperatorAddr).WithDescription("TCP address of the listener for operators."),
	}
}

func tlsFields(files *security.TLSFiles, caDescription string) []inifile.Field {
	return []inifile.Field{
		fileField("cert", &files.Cert).WithDescription("Certificate of the listener, PEM; it turns on TLS and needs key."),
		fileField("key", &files.Key).WithDescription("Private key of the certificate, PEM."),
		fileField("ca", &files.CA).WithDescription(caDescription),
	}
}

func fileField(name string, target *string) inifile.Field {
	field := inifile.String(name, target)
	field.Unit = "file"
	return field
}

func (n *Node) platformFields() []inifile.Field {
	return []inifile.Field{
		storeField(&n.StoreURL).
			WithDescription("URL of the platform's store; without the key the node runs from its peers only."),
		inifile.List("seeds", &n.SeedAddrs).WithValidation(n.checkSeedAddrs).
			WithDescription("Addresses of other nodes that are tried first."),
	}
}

func storeField(target *string) inifile.Field {
	field := inifile.String("store", target)
	field.Unit, field.Range = "URL", "http://HOST:PORT or https://HOST:PORT"
	return field.WithValidation(func() error {
		u, err := url.Parse(*target)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.Path != "" {
			return errors.New("expected http://HOST:PORT or https://HOST:PORT")
		}
		return nil
	})
}

func (n *Node) checkSeedAddrs() error {
	for _, seed := range n.SeedAddrs {
		if !isIPPort(seed) {
			return errors.Errorf("seed %s: expected IP:port", seed)
		}
	}
	return nil
}

// addressField returns a field for IP:port. Host names are rejected, because
// instances address each other by IP address.
func addressField(name string, target *string) inifile.Field {
	field := inifile.String(name, target)
	field.Unit, field.Range = "IP:port", "an IP number and a port"
	return field.WithValidation(func() error {
		if !isIPPort(*target) {
			return errors.New("expected IP:port")
		}
		return nil
	})
}

func isIPPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = net.LookupPort("tcp", port)
	return err == nil
}
