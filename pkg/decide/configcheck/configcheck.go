// Package configcheck finds entries of a configuration that can never match and limits
// that contradict each other, and tells how two configurations differ. All functions
// are pure. They see a configuration as its author wrote it, since a route table no
// longer holds what decoding drops or replaces.
package configcheck

import (
	"fmt"
	"math"
	"strings"
	"time"

	"mangostand.example/mangostand/pkg/dynconf"
)

// Severity is the kind of a finding.
type Severity string

// Severities. All but Error are warnings.
const (
	// Error means that nodes refuse the configuration.
	Error Severity = "error"
	// NeverMatches means that an entry has no effect.
	NeverMatches Severity = "never matches"
	// Contradiction means that two values exclude each other's effect.
	Contradiction Severity = "contradiction"
	// Adjusted means that nodes replace a value by another one.
	Adjusted Severity = "adjusted"
	// Ignored means that nodes do not apply the version.
	Ignored Severity = "ignored"
	// Opened means that requests need no API key any more.
	Opened Severity = "opened"
)

// Kind is the kind of a part of a configuration.
type Kind string

// Kinds of parts, in the order of differences.
const (
	Limits   Kind = "limits"
	Host     Kind = "host"
	Rule     Kind = "rule"
	Cluster  Kind = "cluster"
	Customer Kind = "customer"
)

// Place is a part of a configuration. Host is set for hosts and rules, Name for the
// others.
type Place struct {
	Kind Kind
	Host string
	Name string
}

// Field is a value of a part. The front end translates it to the name on the wire.
type Field string

// Fields.
const (
	FieldVersion       Field = "version"
	FieldHost          Field = "host"
	FieldName          Field = "name"
	FieldPublic        Field = "public"
	FieldPrefix        Field = "prefix"
	FieldObjective     Field = "objective"
	FieldTimeout       Field = "timeout"
	FieldMaxAttempts   Field = "max attempts"
	FieldPriority      Field = "priority"
	FieldService       Field = "service"
	FieldWeights       Field = "weights"
	FieldWarmup        Field = "warm-up time"
	FieldWarmupRate    Field = "warm-up rate"
	FieldKeys          Field = "keys"
	FieldRate          Field = "rate"
	FieldBurst         Field = "burst"
	FieldHeaderTimeout Field = "header timeout"
	FieldIdleTimeout   Field = "idle timeout"
)

// Finding is one result of a check. Field is empty if the text names it.
type Finding struct {
	Severity Severity
	Place    Place
	Field    Field
	Text     string
}

// Draft is a configuration as its author wrote it.
type Draft struct {
	Version   uint64
	Limits    dynconf.CallerLimits
	Hosts     []DraftHost
	Clusters  []dynconf.Cluster
	Customers []DraftCustomer
	// RequiresKeys is that of dynconf.RouteTable.
	RequiresKeys bool
}

// DraftHost is a host in the spelling of the author, with its rules in their order.
type DraftHost struct {
	Name  string
	Rules []DraftRule
}

// DraftRule is a rule in which WeightedServices has the services of weight 0 too, and
// LatencyObjective and Timeout are as written, 0 if missing.
type DraftRule struct {
	dynconf.RouteRule
	// Service is the service of a rule without weights.
	Service string
}

// DraftCustomer is a customer with the digests of its keys.
type DraftCustomer struct {
	dynconf.Customer
	Keys []dynconf.APIKeyDigest
}

// Environment is what the check knows besides the configuration.
type Environment struct {
	// DefaultTimeout applies to rules without a timeout.
	DefaultTimeout time.Duration
	// QuotaWindow is the window in which quotas are counted.
	QuotaWindow time.Duration
	// Servers maps a service to the number of its backend servers. It is nil if they
	// are not known.
	Servers map[string]int
}

// TooLong stands for a time that a Duration cannot hold.
const TooLong = time.Duration(math.MaxInt64)

// minBurstShare is the smallest share of the rate that is not far below it. Below it, a
// customer whose requests come together once a second may lose nine tenths of its quota.
const minBurstShare = 0.1

// Check returns the entries that never match and the contradictions, in the order of
// the configuration.
func Check(d *Draft, env Environment) []Finding {
	c := &checker{draft: d, env: env, usedServices: map[string]bool{}}
	c.checkLimits()
	c.checkHosts()
	c.checkClusters()
	c.checkCustomers()
	return c.findings
}

// CheckVersion returns a finding if nodes with a version in force ignore the draft.
func CheckVersion(d *Draft, inForce uint64) []Finding {
	if d.Version > inForce {
		return nil
	}
	return []Finding{{Ignored, Place{}, FieldVersion, fmt.Sprintf("version %d is not higher than version %d in force and would be ignored", d.Version, inForce)}}
}

type checker struct {
	draft        *Draft
	env          Environment
	findings     []Finding
	usedServices map[string]bool
	// reachableRules counts the rules that can match.
	reachableRules int
}

func (c *checker) add(severity Severity, place Place, field Field, format string, args ...any) {
	c.findings = append(c.findings, Finding{severity, place, field, fmt.Sprintf(format, args...)})
}

func (c *checker) checkTime(place Place, field Field, value time.Duration) {
	if value == TooLong {
		c.add(Contradiction, place, field, "the time is too long for a node, which takes another one")
	}
}

func (c *checker) checkLimits() {
	place, limits := Place{Kind: Limits}, c.draft.Limits
	c.checkTime(place, FieldHeaderTimeout, limits.HeaderTimeout)
	c.checkTime(place, FieldIdleTimeout, limits.IdleTimeout)
	if limits.HeaderTimeout > limits.IdleTimeout {
		c.add(Contradiction, place, FieldHeaderTimeout, "header timeout %v is above the idle timeout %v", limits.HeaderTimeout, limits.IdleTimeout)
	}
}

// canonicalHost returns the name that all spellings of a host have in common.
func canonicalHost(host string) string {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	return strings.TrimSuffix(name, ".")
}

func (c *checker) checkHosts() {
	spellings, prefixes, names := map[string]string{}, map[[2]string]string{}, map[string]string{}
	for _, h := range c.draft.Hosts {
		place := Place{Kind: Host, Host: h.Name}
		hasPort := strings.Contains(h.Name, ":")
		if hasPort {
			c.add(NeverMatches, place, FieldHost, "the host of a request is compared without its port")
		}
		canonical := canonicalHost(h.Name)
		if first, found := spellings[canonical]; !found {
			spellings[canonical] = h.Name
		} else if first != h.Name {
			c.add(NeverMatches, place, FieldHost, "another spelling of host %s", first)
		}
		for _, r := range h.Rules {
			place := Place{Kind: Rule, Host: h.Name, Name: r.Name}
			// A host is matched in lower case, but with a final dot.
			key := [2]string{strings.ToLower(h.Name), r.Prefix}
			first, shadowed := prefixes[key]
			hasQuery := strings.Contains(r.Prefix, "?")
			switch {
			case shadowed:
				c.add(NeverMatches, place, FieldPrefix, "rule %s of the host has the same prefix %s and goes first", first, r.Prefix)
			case hasQuery:
				c.add(NeverMatches, place, FieldPrefix, "prefix %s has a query, but paths are compared without it", r.Prefix)
			default:
				prefixes[key] = r.Name
			}
			if !shadowed && !hasQuery && !hasPort {
				c.reachableRules++
			}
			if otherHost, found := names[r.Name]; found {
				c.add(Contradiction, place, FieldName, "a rule of host %s has the same name; their statistics are mixed", otherHost)
			}
			names[r.Name] = h.Name
			c.checkRule(place, r)
		}
	}
}

func (c *checker) checkRule(place Place, r DraftRule) {
	c.checkTime(place, FieldTimeout, r.Timeout)
	c.checkTime(place, FieldObjective, r.LatencyObjective)
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = c.env.DefaultTimeout
	}
	if r.LatencyObjective > timeout {
		c.add(Contradiction, place, FieldObjective, "objective %v is above the timeout %v, which replaces it", r.LatencyObjective, timeout)
	}
	if timeout > c.draft.Limits.IdleTimeout {
		c.add(Contradiction, place, FieldTimeout, "timeout %v is above the idle timeout %v of callers", timeout, c.draft.Limits.IdleTimeout)
	}
	c.checkServices(place, r)
}

func (c *checker) checkServices(place Place, r DraftRule) {
	weighted, known, servers := false, c.env.Servers != nil, 0
	for _, w := range r.WeightedServices {
		c.usedServices[w.Service] = true
		if w.Weight > 0 {
			weighted = true
			servers = max(servers, c.env.Servers[w.Service])
		}
	}
	switch {
	case !weighted:
		c.usedServices[r.Service] = true
		servers = c.env.Servers[r.Service]
		// Decoding refuses a rule that has no other service either.
		if len(r.WeightedServices) > 0 && r.Service != "" {
			c.add(NeverMatches, place, FieldWeights, "all weights are 0, so that service %q gets all calls", r.Service)
		}
	case r.Service != "":
		c.add(NeverMatches, place, FieldService, "service %s gets no calls, because the weights go before it", r.Service)
	}
	if known && r.MaxAttempts > max(1, servers) {
		c.add(Contradiction, place, FieldMaxAttempts, "%d attempts, but the largest service of the rule has %d backend servers", r.MaxAttempts, servers)
	}
}

func (c *checker) checkClusters() {
	seen := map[string]bool{}
	for _, cluster := range c.draft.Clusters {
		place := Place{Kind: Cluster, Name: cluster.Name}
		if seen[cluster.Name] {
			c.add(Contradiction, place, FieldName, "there is an earlier cluster of this name, which has no effect")
		}
		seen[cluster.Name] = true
		if !c.usedServices[cluster.Name] {
			c.add(NeverMatches, place, FieldName, "no rule uses the service")
		}
		warmup := cluster.Warmup
		switch {
		case warmup.Duration > 0 && warmup.Rate == 0:
			c.add(Contradiction, place, FieldWarmupRate, "rate 0 means no limit, so that the warm-up time %v has no effect", warmup.Duration)
		case warmup.Duration == 0 && warmup.Rate > 0:
			c.add(Contradiction, place, FieldWarmup, "without a warm-up time the rate %v holds only while a backend server reports that it is cold", warmup.Rate)
		}
	}
}

func (c *checker) checkCustomers() {
	if c.draft.RequiresKeys && len(c.draft.Customers) == 0 {
		c.add(NeverMatches, Place{Kind: Customer}, FieldKeys, "the list is empty: no key is valid, and only public rules take requests")
	}
	for _, customer := range c.draft.Customers {
		place, quota := Place{Kind: Customer, Name: customer.Name}, customer.Quota
		if len(customer.Keys) == 0 {
			c.add(NeverMatches, place, FieldKeys, "without keys no request belongs to the customer")
		}
		if customer.PriorityRank > 0 && (len(customer.Keys) == 0 || c.reachableRules == 0) {
			c.add(Contradiction, place, FieldPriority, "no call can have priority %d: the customer has %d keys, and %d rules can match",
				customer.PriorityRank, len(customer.Keys), c.reachableRules)
		}
		if quota.Rate >= 1 && quota.Burst < minBurstShare*quota.Rate {
			c.add(Contradiction, place, FieldBurst, "burst %v is far below the rate %v: of requests that come together once a second, most may be refused", quota.Burst, quota.Rate)
		}
		if quota.Limited() && quota.Rate*c.env.QuotaWindow.Seconds() < 1 {
			c.add(Contradiction, place, FieldRate, "rate %v is below one request per window of %v", quota.Rate, c.env.QuotaWindow)
		}
	}
}
