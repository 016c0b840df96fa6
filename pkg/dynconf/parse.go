package dynconf

import (
	"path"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/inifile"
)

// Source is one file of a configuration.
type Source struct {
	Name string
	Data []byte
}

// Merge reads a base file and the overlay of a site, which may be nil, checks
// both and returns the merged configuration. All problems are returned, each
// with file and line; the configuration is nil when there is any.
func Merge(site string, base Source, overlay *Source) (*Config, []*inifile.Error) {
	sections, problems := mergedSections(base, overlay)
	if len(problems) > 0 {
		return nil, problems
	}
	config := Default()
	config.Site = site
	for _, s := range sections {
		problems = append(problems, config.apply(s)...)
	}
	problems = append(problems, config.check(sections)...)
	if len(problems) > 0 {
		return nil, problems
	}
	for _, s := range config.Services {
		slices.SortStableFunc(s.Routes, func(a, b *Route) int { return len(b.Path) - len(a.Path) })
	}
	return config, nil
}

// mergedSections returns the sections of the base with the keys of the overlay
// in place of, or after, the keys of the base.
func mergedSections(base Source, overlay *Source) ([]*inifile.Section, []*inifile.Error) {
	sections, problems := inifile.Parse(base.Name, base.Data)
	if overlay == nil {
		return sections, problems
	}
	extra, more := inifile.Parse(overlay.Name, overlay.Data)
	problems = append(problems, more...)
	for _, s := range extra {
		target := findSection(sections, s.Title())
		if target == nil {
			sections = append(sections, s)
			continue
		}
		for _, key := range s.Keys {
			overlayKey(target, key)
		}
	}
	return sections, problems
}

func findSection(sections []*inifile.Section, title string) *inifile.Section {
	for _, s := range sections {
		if s.Title() == title {
			return s
		}
	}
	return nil
}

func overlayKey(s *inifile.Section, key inifile.Key) {
	for i := range s.Keys {
		if s.Keys[i].Name == key.Name {
			s.Keys[i] = key
			return
		}
	}
	s.Keys = append(s.Keys, key)
}

// apply sets the values of one section.
func (c *Config) apply(s *inifile.Section) []*inifile.Error {
	if s.Kind == "service" {
		return c.applyService(s)
	}
	if s.Kind == "route" {
		return c.applyRoute(s)
	}
	fields := c.parameterFields(s.Kind)
	if fields == nil || s.Name != "" {
		return []*inifile.Error{s.Errorf("unknown section [%s]", s.Title())}
	}
	return inifile.Apply(s, fields)
}

func (c *Config) parameterFields(kind string) []inifile.Field {
	switch kind {
	case "balancing":
		return []inifile.Field{
			inifile.Float("hot_quantile", &c.Balancing.HotQuantile, 0.1, 1),
			inifile.Int("subset", &c.Balancing.Subset, 2, 600),
			inifile.Duration("cold_start", &c.Balancing.ColdStart, 0, 10*time.Minute),
			inifile.Duration("domain_penalty", &c.Balancing.DomainPenalty, 0, time.Second),
		}
	case "probes":
		return []inifile.Field{
			inifile.Int("rate", &c.Probes.Rate, 0, 10000),
			inifile.Bytes("bytes", &c.Probes.Bytes, 0, 1000*1000),
		}
	case "admission":
		return []inifile.Field{
			inifile.Duration("queue_wait", &c.Admission.QueueWait, 0, 10*time.Second),
			inifile.Int("queue_length", &c.Admission.QueueLength, 0, 1000),
		}
	case "retries":
		return []inifile.Field{
			inifile.Float("share", &c.Retries.Share, 0, 1),
			inifile.Int("per_tree", &c.Retries.PerTree, 0, 100),
			inifile.Bool("hedge", &c.Retries.Hedge),
		}
	case "breaker":
		return []inifile.Field{
			inifile.Float("failure_ratio", &c.Breaker.FailureRatio, 0.01, 1),
			inifile.Int("min_calls", &c.Breaker.MinCalls, 1, 10000),
			inifile.Duration("open_for", &c.Breaker.OpenFor, 10*time.Millisecond, 10*time.Minute),
		}
	case "at_most_once":
		return []inifile.Field{
			inifile.Duration("key_retention", &c.AtMostOnce.Retention, time.Second, 24*time.Hour),
			inifile.Duration("key_future_skew", &c.AtMostOnce.FutureSkew, 0, time.Minute),
			inifile.Duration("node_clock_skew", &c.AtMostOnce.ClockSkew, 0, time.Minute),
			inifile.Bytes("key_memory", &c.AtMostOnce.Memory, 1000, 200*1000*1000),
		}
	case "quarantine":
		return []inifile.Field{
			inifile.Duration("quarantine_ttl", &c.Quarantine.TTL, time.Second, 24*time.Hour),
			inifile.Int("deaths", &c.Quarantine.Deaths, 2, 100),
		}
	}
	return nil
}

func (c *Config) applyService(s *inifile.Section) []*inifile.Error {
	if !validName(s.Name) {
		return []*inifile.Error{s.Errorf("service name %q: expected lower-case letters, digits and -", s.Name)}
	}
	service := c.service(s.Name)
	return inifile.Apply(s, []inifile.Field{
		serversField(&service.Servers),
		inifile.Choice("policy", &service.Policy, "hotcold", "twochoices", "roundrobin", "random"),
		inifile.Bool("retired", &service.Retired),
	})
}

// service returns the service of a name and adds it when it is new.
func (c *Config) service(name string) *Service {
	service := c.Services[name]
	if service == nil {
		service = &Service{Name: name, Policy: "hotcold"}
		c.Services[name] = service
	}
	return service
}

func serversField(target *[]string) inifile.Field {
	list := inifile.List("servers", target)
	return inifile.Field{Name: "servers", Set: func(value string) error {
		if err := list.Set(value); err != nil {
			return err
		}
		for _, pattern := range *target {
			if _, err := path.Match(pattern, ""); err != nil {
				return errors.Errorf("bad pattern %q", pattern)
			}
		}
		return nil
	}}
}

func (c *Config) applyRoute(s *inifile.Section) []*inifile.Error {
	serviceName, routeName, ok := strings.Cut(s.Name, "/")
	if !ok || !validName(serviceName) || !validName(routeName) {
		return []*inifile.Error{s.Errorf("route name %q: expected SERVICE/ROUTE", s.Name)}
	}
	service := c.Services[serviceName]
	if service == nil {
		return []*inifile.Error{s.Errorf("route %s: service %s is not declared above", s.Name, serviceName)}
	}
	route := &Route{Name: s.Name, Path: "/", Priority: PriorityNormal, Deadline: defaultDeadline}
	service.Routes = append(service.Routes, route)
	return inifile.Apply(s, []inifile.Field{
		pathField(&route.Path),
		methodsField(&route.Methods),
		{Name: "idempotent", Set: func(value string) error {
			route.IdempotentSet = true
			return inifile.Bool("", &route.Idempotent).Set(value)
		}},
		priorityField(&route.Priority),
		inifile.Duration("deadline", &route.Deadline, time.Millisecond, 10*time.Minute),
		inifile.Bool("retired", &route.Retired),
	})
}

func pathField(target *string) inifile.Field {
	return inifile.Field{Name: "path", Set: func(value string) error {
		if !strings.HasPrefix(value, "/") {
			return errors.New("expected a path that starts with /")
		}
		*target = value
		return nil
	}}
}

func methodsField(target *[]string) inifile.Field {
	list := inifile.List("methods", target)
	return inifile.Field{Name: "methods", Set: func(value string) error {
		if err := list.Set(value); err != nil {
			return err
		}
		for _, m := range *target {
			if m != strings.ToUpper(m) {
				return errors.Errorf("method %s: expected upper-case letters", m)
			}
		}
		return nil
	}}
}

func priorityField(target *Priority) inifile.Field {
	return inifile.Field{Name: "priority", Set: func(value string) error {
		p, ok := ParsePriority(value)
		if !ok {
			return errors.Errorf("expected one of %s", strings.Join(priorityNames[:], ", "))
		}
		*target = p
		return nil
	}}
}

// check finds problems that no single value shows.
func (c *Config) check(sections []*inifile.Section) []*inifile.Error {
	var problems []*inifile.Error
	for _, s := range sections {
		if s.Kind != "service" {
			continue
		}
		service := c.Services[s.Name]
		if service != nil && !service.Retired && len(service.Servers) == 0 {
			problems = append(problems, s.Errorf("service %s has no allowed backend server (key servers)", s.Name))
		}
	}
	return problems
}

// validName reports whether a name is made of lower-case letters, digits and -.
func validName(name string) bool {
	if name == "" {
		return false
	}
	for _, r := range name {
		if !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-') {
			return false
		}
	}
	return true
}
