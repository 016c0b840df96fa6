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

	Balancing  Balancing
	Probes     Probes
	Admission  Admission
	Retries    Retries
	Breaker    Breaker
	AtMostOnce AtMostOnce
	Quarantine Quarantine
}

// Service is one service of the site.
type Service struct {
	Name string
	// Servers lists the instances that may serve it, as IDs or patterns with *.
	Servers []string
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
	// Subset is the number of instances per service that an entry uses.
	Subset int
	// ColdStart is the time over which a new instance's weight ramps up.
	ColdStart time.Duration
	// DomainPenalty is the time that another failure domain counts as farther.
	DomainPenalty time.Duration
}

// Probes is the budget of a node for active load probes, as sender and as
// receiver, over each window of 1 s.
type Probes struct {
	Rate  int // probes per second
	Bytes int // bytes per second
}

// Admission holds the parameters of the executor's concurrency limit.
type Admission struct {
	// QueueWait is the longest wait for a slot.
	QueueWait time.Duration
	// QueueLength is the most calls that wait per slot.
	QueueLength int
}

// Retries holds the budget of retries and hedges.
type Retries struct {
	// Share is the number of retry tokens earned per success.
	Share float64
	// PerTree is the most additional attempts in one call tree.
	PerTree int
	// Hedge enables hedged calls on idempotent routes.
	Hedge bool
}

// Breaker holds the parameters of the breaker of each instance.
type Breaker struct {
	// FailureRatio opens the breaker when a window has a higher share.
	FailureRatio float64
	// MinCalls is the least number of calls in a window that may open it.
	MinCalls int
	// OpenFor is the time before the trial of the half-open state.
	OpenFor time.Duration
}

// AtMostOnce holds the limits of the key records.
type AtMostOnce struct {
	// Retention is how long the outcome of a key is kept.
	Retention time.Duration
	// FutureSkew is how far a key's time may lie ahead of a node's clock.
	FutureSkew time.Duration
	// ClockSkew is the largest difference between the clocks of two nodes.
	ClockSkew time.Duration
	// Memory bounds the records of a node in bytes.
	Memory int
}

// Quarantine holds the parameters for requests that crash backend servers.
type Quarantine struct {
	// TTL is how long a request stays quarantined.
	TTL time.Duration
	// Deaths is the number of distinct deaths that quarantine a request.
	Deaths int
}

// Default returns a configuration without services and with the default of
// each parameter.
func Default() *Config {
	return &Config{
		Services:   map[string]*Service{},
		Balancing:  Balancing{HotQuantile: 0.75, Subset: 20, ColdStart: 5 * time.Second, DomainPenalty: 2 * time.Millisecond},
		Probes:     Probes{Rate: 10, Bytes: 2000},
		Admission:  Admission{QueueWait: 100 * time.Millisecond, QueueLength: 2},
		Retries:    Retries{Share: 0.1, PerTree: 3},
		Breaker:    Breaker{FailureRatio: 0.5, MinCalls: 5, OpenFor: time.Second},
		AtMostOnce: AtMostOnce{Retention: 10 * time.Minute, FutureSkew: 5 * time.Second, ClockSkew: 5 * time.Second, Memory: 64 * 1000 * 1000},
		Quarantine: Quarantine{TTL: 10 * time.Minute, Deaths: 2},
	}
}

// defaultDeadline applies to calls that bring no deadline of their own.
const defaultDeadline = 2 * time.Second

// Allows reports whether an instance may serve the service.
func (s *Service) Allows(instance string) bool {
	for _, pattern := range s.Servers {
		if ok, err := path.Match(pattern, instance); err == nil && ok {
			return true
		}
	}
	return false
}

// Match returns the route of a call. Services without a matching route have
// no such traffic, and the result is nil.
func (s *Service) Match(method, urlPath string) *Route {
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
	return SafeMethod(method)
}

// SafeMethod reports whether calls of a method are idempotent unless a route
// says otherwise.
func SafeMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS":
		return true
	}
	return false
}
