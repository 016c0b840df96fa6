// Package dynconf defines the dynamic configuration, which operators change
// without restarting nodes: services, routes, retired traffic and the
// parameters of load balancing. It is merged from a base file that all sites
// share and an optional overlay file per site.
package dynconf

import (
	"path"
	"strings"
	"time"
)

// Priority is the priority class of a call. Under overload, calls with a lower
// value are shed first.
type Priority uint8

// Priority classes.
const (
	PriorityBackground Priority = iota
	PriorityNormal
	PriorityCritical
)

var priorityNames = [...]string{"background", "normal", "critical"}

// String returns the name that settings and headers use.
func (p Priority) String() string {
	if int(p) < len(priorityNames) {
		return priorityNames[p]
	}
	return "invalid"
}

// ParsePriority returns the class with the given name.
func ParsePriority(name string) (Priority, bool) {
	for i, known := range priorityNames {
		if known == name {
			return Priority(i), true
		}
	}
	return 0, false
}

// Config is one version of the merged configuration of a site. It is immutable
// once it is published.
type Config struct {
	// Version increases by one with each accepted change; 0 means that no
	// configuration has been accepted yet.
	Version uint64
	// ChangeID identifies the change that produced this version.
	ChangeID string
	Site     string
	Services map[string]*Service

	Balancing   Balancing
	ProbeBudget ProbeBudget
	Admission   Admission
	Retries     Retries
	Breaker     Breaker
	AtMostOnce  AtMostOnce
	Quarantine  Quarantine
}

// Service configures one service of the site.
type Service struct {
	Name string
	// InstancePatterns lists the IDs of the instances that may serve the
	// service, or patterns of IDs in the syntax of path.Match.
	InstancePatterns []string
	// Policy names the load balancing policy; the default is hotcold.
	Policy string
	// Retired makes nodes refuse all calls of the service.
	Retired bool
	// Routes are ordered by descending path length; see sortRoutes.
	Routes []*Route
}

// Route configures the calls of a service whose path begins with a prefix.
type Route struct {
	// Name is SERVICE/ROUTE.
	Name string
	// Path is the path prefix, relative to the service; the default is /.
	Path string
	// Methods lists the HTTP methods that the route matches; empty means all.
	Methods []string
	// Idempotent allows a call to be executed more than once. It applies only
	// if IdempotentSet is true, see IsIdempotent.
	Idempotent bool
	// IdempotentSet is true if the configuration sets Idempotent.
	IdempotentSet bool
	Priority      Priority
	// Deadline applies to calls without a deadline of their own; the default is
	// 2s.
	Deadline time.Duration
	// Retired makes nodes refuse the calls of the route.
	Retired bool
}

// Balancing holds the parameters of the load balancing policies.
type Balancing struct {
	// HotQuantile is the quantile of the candidates' load above which an
	// instance is hot: it is picked only if all candidates are hot.
	HotQuantile float64
	// SubsetSize is the number of instances per service to which one entry
	// node sends calls.
	SubsetSize int
	// SlowStartWindow is the time over which the weight of a new instance
	// increases to its full value.
	SlowStartWindow time.Duration
	// DomainPenalty is the time added to the expected response time of an
	// instance in another failure domain.
	DomainPenalty time.Duration
}

// ProbeBudget limits the active load probes of a node over each window of 1 s.
// It applies separately to the probes that the node sends and to those that it
// receives.
type ProbeBudget struct {
	ProbesPerSecond int
	BytesPerSecond  int
}

// Admission holds the parameters of the queue in front of the concurrency limit
// of an executor.
type Admission struct {
	// MaxQueueWait is the longest time that a call waits for a slot.
	MaxQueueWait time.Duration
	// MaxQueuedPerSlot is the largest number of waiting calls per slot.
	MaxQueuedPerSlot int
}

// Retries holds the budget of additional attempts, that is, of retries and
// hedged calls.
type Retries struct {
	// TokensPerSuccess is the number of retry tokens earned per successful
	// call.
	TokensPerSuccess float64
	// MaxPerCallTree is the largest number of additional attempts in one call
	// tree.
	MaxPerCallTree int
	// HedgingEnabled allows hedged calls on idempotent routes.
	HedgingEnabled bool
}

// Breaker holds the parameters of the circuit breaker of each instance.
type Breaker struct {
	// FailureRatioThreshold is the ratio of failed calls in a window from which
	// the breaker opens.
	FailureRatioThreshold float64
	// MinCalls is the smallest number of calls in a window that can open the
	// breaker.
	MinCalls int
	// OpenDuration is the time that the breaker stays open before it becomes
	// half-open and allows one trial call.
	OpenDuration time.Duration
}

// AtMostOnce holds the limits of the records of idempotency keys.
type AtMostOnce struct {
	// KeyRetention is how long the outcome of a call is kept under its key.
	KeyRetention time.Duration
	// KeyFutureSkew is how far the time in a key may be ahead of a node's
	// clock.
	KeyFutureSkew time.Duration
	// NodeClockSkew is the largest tolerated difference between the clocks of
	// two nodes.
	NodeClockSkew time.Duration
	// KeyMemoryBytes limits the memory of a node for key records.
	KeyMemoryBytes int
}

// Quarantine holds the parameters for requests that crash backend servers.
type Quarantine struct {
	// TTL is how long a request stays quarantined.
	TTL time.Duration
	// CrashThreshold is the number of crashes of distinct incarnations of
	// backend servers from which a request is quarantined.
	CrashThreshold int
}

// Default returns a configuration without services, in which each parameter has
// its default.
func Default() *Config {
	return &Config{
		Services:    map[string]*Service{},
		Balancing:   Balancing{HotQuantile: 0.75, SubsetSize: 20, SlowStartWindow: 5 * time.Second, DomainPenalty: 2 * time.Millisecond},
		ProbeBudget: ProbeBudget{ProbesPerSecond: 10, BytesPerSecond: 2000},
		Admission:   Admission{MaxQueueWait: 100 * time.Millisecond, MaxQueuedPerSlot: 2},
		Retries:     Retries{TokensPerSuccess: 0.1, MaxPerCallTree: 3},
		Breaker:     Breaker{FailureRatioThreshold: 0.5, MinCalls: 5, OpenDuration: time.Second},
		AtMostOnce:  AtMostOnce{KeyRetention: 10 * time.Minute, KeyFutureSkew: 5 * time.Second, NodeClockSkew: 5 * time.Second, KeyMemoryBytes: 64 * 1000 * 1000},
		Quarantine:  Quarantine{TTL: 10 * time.Minute, CrashThreshold: 2},
	}
}

// defaultCallDeadline applies to calls without a deadline of their own.
const defaultCallDeadline = 2 * time.Second

// AllowsInstance reports whether the instance may serve the service.
func (s *Service) AllowsInstance(instance string) bool {
	for _, pattern := range s.InstancePatterns {
		if ok, err := path.Match(pattern, instance); err == nil && ok {
			return true
		}
	}
	return false
}

// MatchRoute returns the first route that matches a call, or nil if there is
// none, in which case the call has to be refused.
func (s *Service) MatchRoute(method, urlPath string) *Route {
	for _, r := range s.Routes {
		if r.matches(method, urlPath) {
			return r
		}
	}
	return nil
}

func (r *Route) matches(method, urlPath string) bool {
	remainder, ok := strings.CutPrefix(urlPath, strings.TrimSuffix(r.Path, "/"))
	if !ok || (remainder != "" && remainder[0] != '/') {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// IsIdempotent reports whether calls of the method may be executed more than
// once. If the route does not set it, the safe methods are idempotent.
func (r *Route) IsIdempotent(method string) bool {
	if r.IdempotentSet {
		return r.Idempotent
	}
	return IsSafeMethod(method)
}

// IsSafeMethod reports whether the HTTP method is safe (RFC 9110, section
// 9.2.1). Calls of a safe method are idempotent unless their route sets
// Idempotent to false. TRACE is omitted, because routes do not support it.
func IsSafeMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS":
		return true
	}
	return false
}
