package dynconf

import (
	"slices"
	"strings"
	"time"
)

// RouteTable is one version of the routing configuration of a deployment that
// routes calls by host and path prefix. It is immutable once it is published.
type RouteTable struct {
	// Version increases with each accepted change, not necessarily by one; 0
	// means that there is no configuration yet.
	Version uint64
	// Hosts maps a host to its rules, sorted by descending length of the
	// prefix.
	Hosts map[string][]*RouteRule
	// Clusters maps the name of a service to its cluster.
	Clusters map[string]*Cluster
	Limits   CallerLimits
	// RequiresKeys is set if the document has a list of customers, also an empty one.
	// Requests then need an API key, except those to public rules.
	RequiresKeys bool
	// KeysWithdrawn is set if an earlier version that this node had required keys and
	// this one does not. No key is valid then.
	KeysWithdrawn bool
	// Customers holds the customers and their API keys.
	Customers *CustomerIndex
	// ReadFromStore is set at a node that read the document from the store. Such a
	// node tells the other failure domains of a new version.
	ReadFromStore bool
}

// RouteRule holds the destination and the properties of the calls whose path
// begins with a prefix.
type RouteRule struct {
	// Name is unique in a table.
	Name string
	// Prefix begins and ends with a slash.
	Prefix string
	// WeightedServices are the services among which the calls are split by
	// weight.
	WeightedServices []WeightedService
	// Idempotent allows a call to be executed more than once.
	Idempotent bool
	// Public is true if the calls need no API key.
	Public bool
	// LargeRequests is true if the request bodies are large, such as uploads.
	LargeRequests bool
	// LargeResponses is true if the responses are large, such as downloads.
	LargeResponses bool
	// Timeout is the longest time that a caller waits for the response.
	Timeout time.Duration
	// LatencyObjective is the latency up to which a response has its full value
	// to the caller.
	LatencyObjective time.Duration
	// MaxAttempts is the largest number of backend servers to which one call is
	// sent.
	MaxAttempts int
	// PriorityRank orders the calls to a service by priority, 0 being the
	// highest.
	PriorityRank int
}

// WeightedService is one of the services to which a rule sends calls.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the weights of the rule.
	Weight int
}

// Cluster holds the properties of a service that operators configure.
type Cluster struct {
	Name string
	// HealthPath is the path of the health check of the backend servers.
	HealthPath string
	// MaxConnections is the number of connections that one backend server
	// accepts from all its callers together.
	MaxConnections int
	// Warmup limits the calls to a backend server that has just started.
	Warmup WarmupLimit
}

// WarmupLimit limits the calls to a cold backend server, which fails under its usual
// load.
type WarmupLimit struct {
	// Duration is how long a backend server stays cold after its start.
	Duration time.Duration
	// Rate is the number of calls per second that it bears while it is cold, 0 for no
	// limit.
	Rate float64
}

// CallerLimits holds the limits on requests and connections of callers.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// DefaultCallerLimits returns the limits that apply until a node has a
// configuration, and for values that the configuration does not set.
func DefaultCallerLimits() CallerLimits {
	return CallerLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// EmptyRouteTable returns a table without routes.
func EmptyRouteTable() *RouteTable {
	return &RouteTable{Hosts: map[string][]*RouteRule{}, Clusters: map[string]*Cluster{}, Limits: DefaultCallerLimits(), Customers: NewCustomerIndex()}
}

// SortRules sorts the rules of each host by descending length of the prefix.
func (t *RouteTable) SortRules() {
	for _, rules := range t.Hosts {
		slices.SortStableFunc(rules, func(a, b *RouteRule) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// MatchRule returns the rule with the longest matching prefix, or nil if no rule
// matches. The target is a path that may have a query.
func (t *RouteTable) MatchRule(host, target string) *RouteRule {
	path, _, _ := strings.Cut(target, "?")
	for _, rule := range t.Hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, rule.Prefix) {
			return rule
		}
	}
	return nil
}

// normalizeHost returns the host in lower case and without its port.
func normalizeHost(host string) string {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	return strings.ToLower(host)
}

// PickService picks one of the weighted services. The argument is a uniformly
// distributed random number in [0, 1).
func (r *RouteRule) PickService(random float64) string {
	totalWeight := 0
	for _, weighted := range r.WeightedServices {
		totalWeight += weighted.Weight
	}
	remaining := random * float64(totalWeight)
	for _, weighted := range r.WeightedServices {
		remaining -= float64(weighted.Weight)
		if remaining < 0 {
			return weighted.Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
