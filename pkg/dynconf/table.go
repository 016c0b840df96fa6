package dynconf

import (
	"slices"
	"strings"
	"time"
)

// Table is one version of the routes of a deployment whose operators route by
// host and path prefix. It is immutable.
type Table struct {
	// Version rises with each accepted change, in uneven steps; 0 means none.
	Version uint64
	// Hosts maps a host to its rules, the longest prefix first.
	Hosts map[string][]*Rule
	// Clusters maps a service to its properties.
	Clusters map[string]*Cluster
	Limits   CallerLimits
	// Document is the encoded form that other nodes pull.
	Document []byte
}

// Rule gives the destination and the properties of the calls below a prefix.
type Rule struct {
	// Name is unique in a table.
	Name string
	// Prefix begins and ends with a slash.
	Prefix string
	// Parts are the services that share the calls, by weight.
	Parts []Part
	// Idempotent allows repeated execution.
	Idempotent bool
	// Large says that answers are large.
	Large bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value.
	Objective time.Duration
	// MaxAttempts bounds the backend servers to which one call is sent.
	MaxAttempts int
	// Rank orders the calls of a service, 0 first.
	Rank int
}

// Part is one service of a rule.
type Part struct {
	Service string
	// Weight is relative to the sum over all parts.
	Weight int
}

// Cluster holds what operators declare about a service.
type Cluster struct {
	Name string
	// HealthPath answers whether a backend server considers itself healthy.
	HealthPath string
	// MaxConnections is what one backend server accepts from all its callers.
	MaxConnections int
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultCallerLimits apply until a node knows its configuration.
func DefaultCallerLimits() CallerLimits {
	return CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// EmptyTable returns a table without routes.
func EmptyTable() *Table {
	return &Table{Hosts: map[string][]*Rule{}, Clusters: map[string]*Cluster{}, Limits: DefaultCallerLimits()}
}

// Sort orders the rules of each host by falling length of the prefix.
func (t *Table) Sort() {
	for _, rules := range t.Hosts {
		slices.SortStableFunc(rules, func(a, b *Rule) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Find returns the rule of a call, or nil when no rule matches. The target may
// have a query.
func (t *Table) Find(host, target string) *Rule {
	path, _, _ := strings.Cut(target, "?")
	for _, rule := range t.Hosts[hostName(host)] {
		if strings.HasPrefix(path, rule.Prefix) {
			return rule
		}
	}
	return nil
}

// hostName removes a port and the case of a host.
func hostName(host string) string {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	return strings.ToLower(host)
}

// Choose returns the service of a call. The draw is uniform in [0, 1).
func (r *Rule) Choose(draw float64) string {
	total := 0
	for _, part := range r.Parts {
		total += part.Weight
	}
	at := draw * float64(total)
	for _, part := range r.Parts {
		at -= float64(part.Weight)
		if at < 0 {
			return part.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}
