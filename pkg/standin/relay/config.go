package relay

import (
	"net/netip"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/inifile"
)

// Config describes the emulated network.
type Config struct {
	// InterDomainDelay is the one-way delay between two failure domains unless a
	// Link overrides it; 1 ms by default.
	InterDomainDelay time.Duration
	// Seed seeds the random number generator of the rules.
	Seed    uint64
	Domains []Domain
	Nodes   []Node
	Links   []Link
}

// Domain is a failure domain and the IP prefix of the nodes in it.
type Domain struct {
	Name   string
	Prefix netip.Prefix
}

// Node is a node of the network. ListenAddr is its address on the relay, to which
// the other nodes send; TargetAddr is the address that the node itself is bound to.
type Node struct {
	Name       string
	ListenAddr netip.AddrPort
	TargetAddr netip.AddrPort
}

// Link overrides the one-way delay from one failure domain to another.
type Link struct {
	From, To string
	Delay    time.Duration
}

// defaultInterDomainDelay is the one-way delay between the failure domains of the
// two sites that the load balancer is deployed at.
const defaultInterDomainDelay = time.Millisecond

// maxDelay is the largest delay that a configuration can set.
const maxDelay = 10 * time.Second

// ParseConfig parses an INI file with the sections [relay], [domain NAME],
// [node NAME] and [link FROM/TO]. Each error carries its line number.
func ParseConfig(file string, data []byte) (*Config, []*inifile.Error) {
	sections, problems := inifile.Parse(file, data)
	if len(problems) > 0 {
		return nil, problems
	}
	config := &Config{InterDomainDelay: defaultInterDomainDelay}
	for _, s := range sections {
		problems = append(problems, config.applySection(s)...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return config, nil
}

func (c *Config) applySection(s *inifile.Section) []*inifile.Error {
	switch s.Kind {
	case "relay":
		seed := int(c.Seed)
		problems := inifile.Apply(s, []inifile.Field{
			inifile.Duration("delay", &c.InterDomainDelay, 0, maxDelay),
			inifile.Int("seed", &seed, 0, 1<<30),
		})
		c.Seed = uint64(seed)
		return problems
	case "domain":
		d := Domain{Name: s.Name}
		problems := inifile.Apply(s, []inifile.Field{parsedField("range", &d.Prefix, netip.ParsePrefix)})
		c.Domains = append(c.Domains, d)
		return problems
	case "node":
		n := Node{Name: s.Name}
		problems := inifile.Apply(s, []inifile.Field{
			parsedField("listen", &n.ListenAddr, netip.ParseAddrPort),
			parsedField("target", &n.TargetAddr, netip.ParseAddrPort),
		})
		if len(problems) == 0 && (!n.ListenAddr.IsValid() || !n.TargetAddr.IsValid()) {
			problems = append(problems, s.Errorf("node %s: listen and target are required", s.Name))
		}
		c.Nodes = append(c.Nodes, n)
		return problems
	case "link":
		return c.applyLink(s)
	}
	return []*inifile.Error{s.Errorf("unknown section [%s]", s.Title())}
}

func (c *Config) applyLink(s *inifile.Section) []*inifile.Error {
	from, to, ok := splitLinkName(s.Name)
	if !ok {
		return []*inifile.Error{s.Errorf("link %q: expected FROM/TO", s.Name)}
	}
	link := Link{From: from, To: to, Delay: c.InterDomainDelay}
	problems := inifile.Apply(s, []inifile.Field{inifile.Duration("delay", &link.Delay, 0, maxDelay)})
	c.Links = append(c.Links, link)
	return problems
}

func splitLinkName(name string) (from, to string, ok bool) {
	for i := range name {
		if name[i] == '/' {
			return name[:i], name[i+1:], i > 0 && i+1 < len(name)
		}
	}
	return "", "", false
}

// parsedField returns an INI field whose value is converted by parse.
func parsedField[T any](name string, target *T, parse func(string) (T, error)) inifile.Field {
	return inifile.Field{Name: name, Set: func(value string) error {
		v, err := parse(value)
		if err != nil {
			return errors.Trace(err)
		}
		*target = v
		return nil
	}}
}

// domainOf returns the name of the failure domain whose prefix contains an IP
// address, or "" if there is none.
func (c *Config) domainOf(addr netip.Addr) string {
	for _, d := range c.Domains {
		if d.Prefix.Contains(addr) {
			return d.Name
		}
	}
	return ""
}

// delayBetween returns the one-way delay from one failure domain to another. It is
// 0 within a domain unless a Link sets it.
func (c *Config) delayBetween(from, to string) time.Duration {
	for _, l := range c.Links {
		if l.From == from && l.To == to {
			return l.Delay
		}
	}
	if from == to {
		return 0
	}
	return c.InterDomainDelay
}
