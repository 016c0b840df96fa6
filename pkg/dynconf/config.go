// Package dynconf is the dynamic configuration that operators apply: services,
// routes, retired traffic and the parameters of balancing. A base file is
// shared by all sites; an overlay for each site states what differs there.
package dynconf

import (
	"path"
	"strings"
	"time"
)

// Priority is the class of a call. A higher value is shed later.
type Priority uint8

// Priority classes.
const (
	PriorityBackground Priority = iota
	PriorityNormal
	PriorityCritical
)

var priorityNames = [...]string{"background", "normal", "critical"}

// String returns the word used in settings and headers.
func (p Priority) String() string {
	if int(p) < len(priorityNames) {
		return priorityNames[p]
	}
	return "invalid"
}

// ParsePriority returns the class of a word.
func ParsePriority(word string) (Priority, bool) {
	for i, name := range priorityNames {
		if name == word {
			return Priority(i), true
		}
	}
	return 0, false
}

// Config is one version of the merged configuration of a site. It is
// immutable.
type Config struct {
	// Version rises by one with each accepted change; 0 means none.
	Version  uint64
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

// Service is one service of the site.
type Service struct {
	Name string
	// InstancePatterns lists the instances that may serve it, as IDs or patterns with *.
	InstancePatterns []string
	// Policy names the selection policy, default hotcold.
	Policy string
	// Retired refuses all traffic of the service.
	Retired bool
	// Routes are ordered by descending length of the path.
	Routes []*Route
}

// Route gives the properties of the calls below a path of a service.
type Route struct {
	// Name is SERVICE/ROUTE.
	Name string
	// Path is the prefix of the call's path below the service, default /.
	Path string
	// Methods limits the route to these methods; empty means all.
	Methods []string
	// Idempotent allows repeated execution. Default: yes for GET, HEAD and
	// OPTIONS, no for all other methods.
	Idempotent    bool
	IdempotentSet bool
	Priority      Priority
	// Deadline of a call that brings none, default 2s.
	Deadline time.Duration
	// Retired refuses the traffic of the route.
	Retired bool
}

// Balancing holds the parameters of the selection policies.
type Balancing struct {
	// HotQuantile is the quantile of load above which an instance is hot.
	HotQuantile float64
	// SubsetSize is the number of instances per service that an entry uses.
	SubsetSize int
	// SlowStartWindow is the time over which a new instance's weight ramps up.
	SlowStartWindow time.Duration
	// DomainPenalty is the time that another failure domain counts as farther.
	DomainPenalty time.Duration
}

// ProbeBudget is the budget of a node for active load probes, as sender and as
// receiver, over each window of 1 s.
type ProbeBudget struct {
	ProbesPerSecond int // probes per second
	BytesPerSecond  int // bytes per second
}

// Admission holds the parameters of the executor's concurrency limit.
type Admission struct {
	// MaxQueueWait is the longest wait for a slot.
	MaxQueueWait time.Duration
	// MaxQueuedPerSlot is the most calls that wait per slot.
	MaxQueuedPerSlot int
}

// Retries holds the budget of retries and hedges.
type Retries struct {
	// TokensPerSuccess is the number of retry tokens earned per success.
	TokensPerSuccess float64
	// MaxPerCallTree is the most additional attempts in one call tree.
	MaxPerCallTree int
	// HedgingEnabled enables hedged calls on idempotent routes.
	HedgingEnabled bool
}

// Breaker holds the parameters of the breaker of each instance.
type Breaker struct {
	// FailureRatioThreshold opens the breaker when a window has a higher share.
	FailureRatioThreshold float64
	// MinCalls is the least number of calls in a window that may open it.
	MinCalls int
	// OpenDuration is the time before the trial of the half-open state.
	OpenDuration time.Duration
}

// AtMostOnce holds the limits of the key records.
type AtMostOnce struct {
	// KeyRetention is how long the outcome of a key is kept.
	KeyRetention time.Duration
	// KeyFutureSkew is how far a key's time may lie ahead of a node's clock.
	KeyFutureSkew time.Duration
	// NodeClockSkew is the largest difference between the clocks of two nodes.
	NodeClockSkew time.Duration
	// KeyMemoryBytes bounds the records of a node in bytes.
	KeyMemoryBytes int
}

// Quarantine holds the parameters for requests that crash backend servers.
type Quarantine struct {
	// TTL is how long a request stays quarantined.
	TTL time.Duration
	// CrashThreshold is the number of distinct deaths that quarantine a request.
	CrashThreshold int
}

// Default returns a configuration without services and with the default of
// each parameter.
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

// defaultDeadline applies to calls that bring no deadline of their own.
const defaultDeadline = 2 * time.Second

// AllowsInstance reports whether an instance may serve the service.
func (s *Service) AllowsInstance(instance string) bool {
	for _, pattern := range s.InstancePatterns {
		if ok, err := path.Match(pattern, instance); err == nil && ok {
			return true
		}
	}
	return false
}

// MatchRoute returns the route of a call. Services without a matching route have
// no such traffic, and the result is nil.
func (s *Service) MatchRoute(method, urlPath string) *Route {
	for _, r := range s.Routes {
		if r.matches(method, urlPath) {
			return r
		}
	}
	return nil
}

func (r *Route) matches(method, urlPath string) bool {
	rest, ok := strings.CutPrefix(urlPath, strings.TrimSuffix(r.Path, "/"))
	if !ok || (rest != "" && rest[0] != '/') {
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

// IsIdempotent reports whether calls of the method may run more than once.
func (r *Route) IsIdempotent(method string) bool {
	if r.IdempotentSet {
		return r.Idempotent
	}
	return IsSafeMethod(method)
}

// IsSafeMethod reports whether calls of a method are idempotent unless a route
// says otherwise.
func IsSafeMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS":
		return true
	}
	return false
}
