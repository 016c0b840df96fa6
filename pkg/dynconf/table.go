package dynconf

import (
	"slices"
	"strings"
	"time"
)

// RouteTable is one version of the routes of a deployment whose operators route by
// host and path prefix. It is immutable.
type RouteTable struct {
	// Version rises with each accepted change, in uneven steps; 0 means none.
	Version uint64
	// Hosts maps a host to its rules, the longest prefix first.
	Hosts map[string][]*RouteRule
	// Clusters maps a service to its properties.
	Clusters map[string]*Cluster
	Limits   CallerLimits
	// EncodedDocument is the encoded form that other nodes pull.
	EncodedDocument []byte
}

// RouteRule gives the destination and the properties of the calls below a prefix.
type RouteRule struct {
	// Name is unique in a table.
	Name string
	// Prefix begins and ends with a slash.
	Prefix string
	// WeightedServices are the services that share the calls, by weight.
	WeightedServices []WeightedService
	// Idempotent allows repeated execution.
	Idempotent bool
	// LargeResponses says that answers are large.
	LargeResponses bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer has its full value.
	LatencyObjective time.Duration
	// MaxAttempts bounds the backend servers to which one call is sent.
	MaxAttempts int
	// PriorityRank orders the calls of a service, 0 first.
	PriorityRank int
}

// WeightedService is one service of a rule.
type WeightedService struct {
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
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// DefaultCallerLimits apply until a node knows its configuration.
func DefaultCallerLimits() CallerLimits {
	return CallerLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// EmptyRouteTable returns a table without routes.
func EmptyRouteTable() *RouteTable {
	return &RouteTable{Hosts: map[string][]*RouteRule{}, Clusters: map[string]*Cluster{}, Limits: DefaultCallerLimits()}
}

// SortRules orders the rules of each host by falling length of the prefix.
func (t *RouteTable) SortRules() {
	for _, rules := range t.Hosts {
		slices.SortStableFunc(rules, func(a, b *RouteRule) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// MatchRule returns the rule of a call, or nil when no rule matches. The target may
// have a query.
func (t *RouteTable) MatchRule(host, target string) *RouteRule {
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

// PickService returns the service of a call. The draw is uniform in [0, 1).
func (r *RouteRule) PickService(draw float64) string {
	total := 0
	for _, part := range r.WeightedServices {
		total += part.Weight
	}
	at := draw * float64(total)
	for _, part := range r.WeightedServices {
		at -= float64(part.Weight)
		if at < 0 {
			return part.Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
