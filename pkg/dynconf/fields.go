package dynconf

import (
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/inifile"
)

// parameterSections lists the sections that hold parameters, that is, all but
// services and routes, in the order of the settings reference.
var parameterSections = []string{"balancing", "probes", "admission", "retries", "breaker", "at_most_once", "quarantine"}

// parameterFields returns the fields of a section that holds parameters, or nil
// if there is no such section.
func (c *Config) parameterFields(kind string) []inifile.Field {
	switch kind {
	case "balancing":
		return c.Balancing.fields()
	case "probes":
		return c.ProbeBudget.fields()
	case "admission":
		return c.Admission.fields()
	case "retries":
		return c.Retries.fields()
	case "breaker":
		return c.Breaker.fields()
	case "at_most_once":
		return c.AtMostOnce.fields()
	case "quarantine":
		return c.Quarantine.fields()
	}
	return nil
}

func (b *Balancing) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Float("hot_quantile", &b.HotQuantile, 0.1, 1).
			WithDescription("An instance whose load lies above this quantile of the candidates' load is hot and is chosen last."),
		inifile.Int("subset", &b.SubsetSize, 2, 600).
			WithDescription("Number of instances per service that one entry uses; a larger subset costs connections."),
		inifile.Duration("cold_start", &b.SlowStartWindow, 0, 10*time.Minute).
			WithDescription("Time over which the weight of a new instance ramps up."),
		inifile.Duration("domain_penalty", &b.DomainPenalty, 0, time.Second).
			WithDescription("Expected wait that an instance of another failure domain must save before it is preferred."),
	}
}

func (p *ProbeBudget) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Int("rate", &p.ProbesPerSecond, 0, 10000).
			WithDescription("Load probes per second that a node sends and, separately, answers; 0 turns active probes off."),
		inifile.Bytes("bytes", &p.BytesPerSecond, 0, 1000*1000).
			WithDescription("Bytes per second that a node spends on load probes."),
	}
}

func (a *Admission) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Duration("queue_wait", &a.MaxQueueWait, 0, 10*time.Second).
			WithDescription("Longest wait of a call for a slot of the backend server; then it is refused as not run."),
		inifile.Int("queue_length", &a.MaxQueuedPerSlot, 0, 1000).
			WithDescription("Most calls that wait per slot; 0 refuses at once."),
	}
}

func (r *Retries) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Float("share", &r.TokensPerSuccess, 0, 1).
			WithDescription("Retry and hedge tokens earned per success; 0.1 allows one additional attempt for ten successes."),
		inifile.Int("per_tree", &r.MaxPerCallTree, 0, 100).
			WithDescription("Most additional attempts in one call tree."),
		inifile.Bool("hedge", &r.HedgingEnabled).
			WithDescription("Sends a second attempt of a slow idempotent call to another instance."),
	}
}

func (b *Breaker) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Float("failure_ratio", &b.FailureRatioThreshold, 0.01, 1).
			WithDescription("Share of failures in a window above which the breaker of an instance opens."),
		inifile.Int("min_calls", &b.MinCalls, 1, 10000).
			WithDescription("Fewest calls in a window that may open a breaker."),
		inifile.Duration("open_for", &b.OpenDuration, 10*time.Millisecond, 10*time.Minute).
			WithDescription("Time that a breaker stays open before its single trial call."),
	}
}

func (a *AtMostOnce) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Duration("key_retention", &a.KeyRetention, time.Second, 24*time.Hour).
			WithDescription("How long the outcome of an idempotency key is kept; older keys are answered unknown."),
		inifile.Duration("key_future_skew", &a.KeyFutureSkew, 0, time.Minute).
			WithDescription("How far the time in a key may lie ahead of a node's clock."),
		inifile.Duration("node_clock_skew", &a.NodeClockSkew, 0, time.Minute).
			WithDescription("Largest difference between the clocks of two nodes that is allowed for."),
		inifile.Bytes("key_memory", &a.KeyMemoryBytes, 1000, 200*1000*1000).
			WithDescription("Memory of a node for key records; when it is full, non-idempotent calls are refused as not run."),
	}
}

func (q *Quarantine) fields() []inifile.Field {
	return []inifile.Field{
		inifile.Duration("quarantine_ttl", &q.TTL, time.Second, 24*time.Hour).
			WithDescription("How long a request that crashes backend servers stays quarantined."),
		inifile.Int("deaths", &q.CrashThreshold, 2, 100).
			WithDescription("Deaths of distinct backend servers that quarantine a request."),
	}
}

func (s *Service) fields() []inifile.Field {
	return []inifile.Field{
		serversField(&s.InstancePatterns).
			WithDescription("Instances that may serve the service, as IDs or patterns. Required unless the service is retired."),
		inifile.Choice("policy", &s.Policy, "hotcold", "twochoices", "roundrobin", "random").
			WithDescription("Selection policy."),
		inifile.Bool("retired", &s.Retired).
			WithDescription("Refuses all traffic of the service (not run, 410) and counts it by caller."),
	}
}

func (r *Route) fields() []inifile.Field {
	return []inifile.Field{
		pathField(&r.Path).
			WithDescription("Prefix of the path below the service, in whole path elements; the longest prefix wins."),
		methodsField(&r.Methods).
			WithDescription("Methods of the route; without the key all methods."),
		r.idempotentField().
			WithDescription("Allows a second execution of a call. Without the key: yes for GET, HEAD and OPTIONS, no for others."),
		priorityField(&r.Priority).
			WithDescription("Class of calls that bring none; background is shed first, critical last."),
		inifile.Duration("deadline", &r.Deadline, time.Millisecond, 10*time.Minute).
			WithDescription("Deadline of calls that bring none."),
		inifile.Bool("retired", &r.Retired).
			WithDescription("Refuses the traffic of the route (not run, 410) and counts it by caller."),
	}
}

// serversField returns a list field whose elements must be valid patterns.
func serversField(target *[]string) inifile.Field {
	field := inifile.List("servers", target)
	field.Range = "IDs, or patterns with * ? and [...]"
	return field.WithValidation(func() error {
		for _, pattern := range *target {
			if _, err := path.Match(pattern, ""); err != nil {
				return errors.Errorf("bad pattern %q", pattern)
			}
		}
		return nil
	})
}

// pathField returns a field for a path without a query or a fragment.
func pathField(target *string) inifile.Field {
	field := inifile.String("path", target)
	field.Unit, field.Range = "path", "starts with /, without blanks, ? and #"
	return field.WithValidation(func() error {
		if !strings.HasPrefix(*target, "/") || strings.ContainsAny(*target, " \t?#") {
			return errors.New("expected a path that starts with /, without blanks, ? and #")
		}
		return nil
	})
}

// methodsField returns a list field for HTTP methods other than CONNECT and
// TRACE, which are not supported.
func methodsField(target *[]string) inifile.Field {
	field := inifile.List("methods", target)
	field.Range = "methods in upper-case letters"
	return field.WithValidation(func() error {
		for _, m := range *target {
			if m != strings.ToUpper(m) || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
				return errors.Errorf("method %s: expected upper-case letters", m)
			}
			if m == http.MethodConnect || m == http.MethodTrace {
				return errors.Errorf("method %s is not supported", m)
			}
		}
		return nil
	})
}

// idempotentField returns a field that also records whether the configuration
// sets the value. If it does not, the default depends on the method of the call.
func (r *Route) idempotentField() inifile.Field {
	field := inifile.Bool("idempotent", &r.Idempotent)
	get := field.Get
	field.Get = func() string {
		if !r.IdempotentSet {
			return ""
		}
		return get()
	}
	return field.WithValidation(func() error {
		r.IdempotentSet = true
		return nil
	})
}

func priorityField(target *Priority) inifile.Field {
	names := strings.Join(priorityNames[:], ", ")
	set := func(value string) error {
		p, ok := ParsePriority(value)
		if !ok {
			return errors.Errorf("expected one of %s", names)
		}
		*target = p
		return nil
	}
	return inifile.Field{Name: "priority", Unit: "word", Range: names, Set: set, Get: func() string { return target.String() }}
}
