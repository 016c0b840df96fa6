// Package settings reads the static settings of a node: its identity, its
// addresses and its certificate files. They are read once at startup.
package settings

import (
	"os"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/inifile"
	"mangostand.example/mangostand/pkg/security"
)

// Node holds the static settings of a node that runs without the
// deployment platform. MeshNode holds those of a node that runs on it.
type Node struct {
	// Instance is the unique name of the instance; required.
	Instance string
	// Site selects the overlay of the dynamic configuration; required.
	Site string
	// Region and FailureDomain locate the instance; required.
	Region        string
	FailureDomain string
	// LogLevel is debug, info, warn or error. Default: info.
	LogLevel string

	// CallerAddr is the TCP address of the listener for callers, IP:port;
	// required.
	CallerAddr string
	// PeerAddr is the UDP address of the listener for other nodes, IP:port;
	// required.
	PeerAddr string
	// AdvertisedPeerAddr is the address that other nodes dial. Default: PeerAddr.
	AdvertisedPeerAddr string
	// LocalAPIAddr is the TCP address of the listener for the local backend
	// server. Default: 127.0.0.1:7070.
	LocalAPIAddr string
	// OperatorAddr is the TCP address of the listener for operators. Default:
	// 127.0.0.1:7071.
	OperatorAddr string

	// PeerTLS names the certificate and key of the node and the CA of the fleet;
	// required.
	PeerTLS security.TLSFiles
	// CallerTLS and OperatorTLS enable TLS on the listeners for callers and for
	// operators.
	CallerTLS   security.TLSFiles
	OperatorTLS security.TLSFiles

	// StoreURL is the URL of the platform's key-value store. If it is empty, the
	// node gets all shared state from its peers.
	StoreURL string
	// SeedAddrs lists the addresses of other nodes that are tried first.
	SeedAddrs []string
}

// Load reads the settings file of a node that runs without the deployment
// platform.
func Load(file string) (*Node, []*inifile.Error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, []*inifile.Error{{File: file, Line: 1, Text: errors.Cause(err).Error()}}
	}
	return Parse(file, data)
}

// defaultNode returns settings with the default value of each key.
func defaultNode() *Node {
	return &Node{LogLevel: "info", LocalAPIAddr: "127.0.0.1:7070", OperatorAddr: "127.0.0.1:7071"}
}

// Parse parses and validates settings. It returns either the settings or every
// problem with its file and line.
func Parse(file string, data []byte) (*Node, []*inifile.Error) {
	sections, problems := inifile.Parse(file, data)
	if len(problems) > 0 {
		return nil, problems
	}
	node := defaultNode()
	for _, s := range sections {
		fields := node.sectionFields(s.Title())
		if fields == nil {
			problems = append(problems, s.Errorf("unknown section [%s]", s.Title()))
			continue
		}
		problems = append(problems, inifile.Apply(s, fields)...)
	}
	if node.AdvertisedPeerAddr == "" {
		node.AdvertisedPeerAddr = node.PeerAddr
	}
	problems = append(problems, checkRequired(file, sections, requiredNodeKeys)...)
	problems = append(problems, checkTLS(sections)...)
	if len(problems) > 0 {
		return nil, problems
	}
	return node, nil
}

// requiredKey is a key without which a node cannot start.
type requiredKey struct{ section, key string }

// requiredNodeKeys lists the keys without which a node cannot start.
var requiredNodeKeys = []requiredKey{
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

// checkRequired reports missing keys at the line of their section, or at line 1
// if the section is missing too. A key with an invalid value is not missing: it
// has its own error.
func checkRequired(file string, sections []*inifile.Section, required []requiredKey) []*inifile.Error {
	var problems []*inifile.Error
	for _, r := range required {
		section := findSection(sections, r.section)
		if section != nil && section.FindKey(r.key) != nil {
			continue
		}
		location := &inifile.Section{File: file, Line: 1}
		if section != nil {
			location = section
		}
		problems = append(problems, location.Errorf("[%s] %s is missing", r.section, r.key))
	}
	return problems
}

// checkTLS reports TLS sections without a certificate or without a key. Such a
// listener would run without TLS or fail at startup.
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
