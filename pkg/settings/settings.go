// Package settings reads the static settings of a node: its identity, its
// addresses and its files. They are read once at the start.
package settings

import (
	"net"
	"os"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/inifile"
	"mangostand.example/mangostand/pkg/security"
)

// Node holds the static settings of one node.
type Node struct {
	// Instance names the instance; required.
	Instance string
	// Site selects the overlay; required.
	Site string
	// Region and FailureDomain place the instance; required.
	Region        string
	FailureDomain string
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string

	// Callers is the address of the listener for callers, host:port; required.
	Callers string
	// Peers is the UDP address of the listener for nodes, host:port; required.
	Peers string
	// AdvertisePeers is the address that other nodes dial; default Peers.
	AdvertisePeers string
	// Local is the address of the listener for the backend server; default
	// 127.0.0.1:7070.
	Local string
	// Operators is the address of the operators' listener; default
	// 127.0.0.1:7071.
	Operators string

	// PeerTLS holds certificate, key and CA of the node; required.
	PeerTLS security.Files
	// CallerTLS and OperatorTLS enable TLS on their listeners when set.
	CallerTLS   security.Files
	OperatorTLS security.Files

	// Store is the URL of the platform's key-value service; empty means that
	// the node runs from its peers only.
	Store string
	// Seeds lists peer addresses that are tried first.
	Seeds []string
}

// Load reads the settings file of a node.
func Load(file string) (*Node, []*inifile.Error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, []*inifile.Error{{File: file, Line: 1, Text: errors.Cause(err).Error()}}
	}
	return Parse(file, data)
}

// Parse checks settings and returns them, or every problem with file and line.
func Parse(file string, data []byte) (*Node, []*inifile.Error) {
	sections, problems := inifile.Parse(file, data)
	if len(problems) > 0 {
		return nil, problems
	}
	node := &Node{LogLevel: "info", Local: "127.0.0.1:7070", Operators: "127.0.0.1:7071"}
	for _, s := range sections {
		fields := node.fields(s.Title())
		if fields == nil {
			problems = append(problems, s.Errorf("unknown section [%s]", s.Title()))
			continue
		}
		problems = append(problems, inifile.Apply(s, fields)...)
	}
	if node.AdvertisePeers == "" {
		node.AdvertisePeers = node.Peers
	}
	problems = append(problems, node.checkRequired(file)...)
	if len(problems) > 0 {
		return nil, problems
	}
	return node, nil
}

func (n *Node) fields(section string) []inifile.Field {
	switch section {
	case "node":
		return []inifile.Field{
			inifile.String("instance", &n.Instance),
			inifile.String("site", &n.Site),
			inifile.String("region", &n.Region),
			inifile.String("failure_domain", &n.FailureDomain),
			inifile.Choice("log_level", &n.LogLevel, "debug", "info", "warn", "error"),
		}
	case "listen":
		return []inifile.Field{
			address("callers", &n.Callers),
			address("peers", &n.Peers),
			address("advertise_peers", &n.AdvertisePeers),
			address("local", &n.Local),
			address("operators", &n.Operators),
		}
	case "peer_tls":
		return tlsFields(&n.PeerTLS)
	case "caller_tls":
		return tlsFields(&n.CallerTLS)
	case "operator_tls":
		return tlsFields(&n.OperatorTLS)
	case "platform":
		return []inifile.Field{
			inifile.String("store", &n.Store),
			inifile.List("seeds", &n.Seeds),
		}
	}
	return nil
}

func tlsFields(files *security.Files) []inifile.Field {
	return []inifile.Field{
		inifile.String("cert", &files.Cert),
		inifile.String("key", &files.Key),
		inifile.String("ca", &files.CA),
	}
}

// address returns a field for IP:port, since instances talk by IP number.
func address(name string, target *string) inifile.Field {
	return inifile.Field{Name: name, Set: func(value string) error {
		host, _, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			return errors.New("expected IP:port")
		}
		*target = value
		return nil
	}}
}

func (n *Node) checkRequired(file string) []*inifile.Error {
	required := []struct{ name, value string }{
		{"[node] instance", n.Instance},
		{"[node] site", n.Site},
		{"[node] region", n.Region},
		{"[node] failure_domain", n.FailureDomain},
		{"[listen] callers", n.Callers},
		{"[listen] peers", n.Peers},
		{"[peer_tls] cert", n.PeerTLS.Cert},
		{"[peer_tls] key", n.PeerTLS.Key},
		{"[peer_tls] ca", n.PeerTLS.CA},
	}
	var problems []*inifile.Error
	for _, r := range required {
		if r.value == "" {
			problems = append(problems, &inifile.Error{File: file, Line: 1, Text: r.name + " is missing"})
		}
	}
	return problems
}
