// Package settings reads the static settings of a node: its identity, its
// addresses and its files. They are read once at the start.
package settings

import (
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

	// CallerAddr is the address of the listener for callers, host:port; required.
	CallerAddr string
	// PeerAddr is the UDP address of the listener for nodes, host:port; required.
	PeerAddr string
	// AdvertisedPeerAddr is the address that other nodes dial; default Peers.
	AdvertisedPeerAddr string
	// LocalAPIAddr is the address of the listener for the backend server; default
	// 127.0.0.1:7070.
	LocalAPIAddr string
	// OperatorAddr is the address of the operators' listener; default
	// 127.0.0.1:7071.
	OperatorAddr string

	// PeerTLS holds certificate, key and CA of the node; required.
	PeerTLS security.TLSFiles
	// CallerTLS and OperatorTLS enable TLS on their listeners when set.
	CallerTLS   security.TLSFiles
	OperatorTLS security.TLSFiles

	// StoreURL is the URL of the platform's key-value service; empty means that
	// the node runs from its peers only.
	StoreURL string
	// SeedAddrs lists peer addresses that are tried first.
	SeedAddrs []string
}

// Load reads the settings file of a node.
func Load(file string) (*Node, []*inifile.Error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, []*inifile.Error{{File: file, Line: 1, Text: errors.Cause(err).Error()}}
	}
	return Parse(file, data)
}

// defaults returns settings with the default of each key.
func defaults() *Node {
	return &Node{LogLevel: "info", LocalAPIAddr: "127.0.0.1:7070", OperatorAddr: "127.0.0.1:7071"}
}

// Parse checks settings and returns them, or every problem with file and line.
func Parse(file string, data []byte) (*Node, []*inifile.Error) {
	sections, problems := inifile.Parse(file, data)
	if len(problems) > 0 {
		return nil, problems
	}
	node := defaults()
	for _, s := range sections {
		fields := node.fields(s.Title())
		if fields == nil {
			problems = append(problems, s.Errorf("unknown section [%s]", s.Title()))
			continue
		}
		problems = append(problems, inifile.Apply(s, fields)...)
	}
	if node.AdvertisedPeerAddr == "" {
		node.AdvertisedPeerAddr = node.PeerAddr
	}
	problems = append(problems, checkRequired(file, sections, requiredKeys)...)
	problems = append(problems, checkTLS(sections)...)
	if len(problems) > 0 {
		return nil, problems
	}
	return node, nil
}

// requiredKey is a key without which a node cannot start.
type requiredKey struct{ section, key string }

// requiredKeys lists the keys without which a node cannot start.
var requiredKeys = []requiredKey{
	{"node", "instance"},
	{"node", "site"},
	{"node", "region"},
	{"node", "failure_domain"},
	{"listen", "callers"},
	{"listen", "peers"},
	{"peer_tls", "cert"},
	{"peer_tls", "key"},
	{"peer_tls", "ca"},
}

// checkRequired reports keys that are missing, at the line of their section. A
// key with a bad value has its own error.
func checkRequired(file string, sections []*inifile.Section, required []requiredKey) []*inifile.Error {
	var problems []*inifile.Error
	for _, r := range required {
		section := findSection(sections, r.section)
		if section != nil && section.FindKey(r.key) != nil {
			continue
		}
		place := &inifile.Section{File: file, Line: 1}
		if section != nil {
			place = section
		}
		problems = append(problems, place.Errorf("[%s] %s is missing", r.section, r.key))
	}
	return problems
}

// checkTLS reports listeners that name a CA, certificate or key but not both
// certificate and key, which would run without TLS or fail at the start.
func checkTLS(sections []*inifile.Section) []*inifile.Error {
	var problems []*inifile.Error
	for _, title := range []string{"caller_tls", "operator_tls"} {
		s := findSection(sections, title)
		if s == nil {
			continue
		}
		for _, name := range []string{"cert", "key"} {
			if s.FindKey(name) == nil {
				problems = append(problems, s.Errorf("[%s] %s is missing", title, name))
			}
		}
	}
	return problems
}

func findSection(sections []*inifile.Section, title string) *inifile.Section {
	for _, s := range sections {
		if s.Title() == title {
			return s
		}
	}
	return nil
}
