package dynconf

import (
	"cmp"
	"slices"
	"strings"

	"mangostand.example/mangostand/pkg/inifile"
)

// Source is one file of a configuration.
type Source struct {
	Name string
	Data []byte
}

// Merge reads a base file and the overlay of a site, which may be nil, and
// returns the merged configuration. Only the merged result is checked, so that
// a base may leave open what each overlay fills in. All problems are returned,
// each with file and line; the configuration is nil when there is any.
func Merge(site string, base Source, overlay *Source) (*Config, []*inifile.Error) {
	config, _, problems := merge(site, base, overlay)
	return config, problems
}

// merge also returns the merged sections, which know where each value stands.
func merge(site string, base Source, overlay *Source) (*Config, []*inifile.Section, []*inifile.Error) {
	sections, problems := mergedSections(base, overlay)
	if len(problems) > 0 {
		return nil, nil, problems
	}
	config := Default()
	config.Site = site
	// Services come first, so that a route may stand above its service and an
	// overlay may add the service of a route of the base.
	for _, s := range sections {
		if s.Kind == "service" {
			problems = append(problems, config.applyService(s)...)
		}
	}
	for _, s := range sections {
		if s.Kind != "service" {
			problems = append(problems, config.apply(s)...)
		}
	}
	problems = append(problems, config.check(sections)...)
	if len(problems) > 0 {
		return nil, nil, problems
	}
	config.sortRoutes()
	return config, sections, nil
}

// sortRoutes puts longer paths first. Of two routes with the same path, the
// one that names its methods comes first.
func (c *Config) sortRoutes() {
	for _, s := range c.Services {
		slices.SortStableFunc(s.Routes, func(a, b *Route) int {
			return cmp.Or(len(b.canonicalPath())-len(a.canonicalPath()), cmp.Compare(len(b.Methods), len(a.Methods)))
		})
	}
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
	if old := s.FindKey(key.Name); old != nil {
		*old = key
		return
	}
	s.Keys = append(s.Keys, key)
}

// apply sets the values of one section other than a service.
func (c *Config) apply(s *inifile.Section) []*inifile.Error {
	if s.Kind == "route" {
		return c.applyRoute(s)
	}
	fields := c.parameterFields(s.Kind)
	if fields == nil || s.Name != "" {
		return []*inifile.Error{s.Errorf("unknown section [%s]", s.Title())}
	}
	return inifile.Apply(s, fields)
}

func (c *Config) applyService(s *inifile.Section) []*inifile.Error {
	if !validName(s.Name) {
		return []*inifile.Error{s.Errorf("service name %q: expected lower-case letters, digits and -", s.Name)}
	}
	service := newService(s.Name)
	c.Services[s.Name] = service
	return inifile.Apply(s, service.fields())
}

func newService(name string) *Service { return &Service{Name: name, Policy: "hotcold"} }

func (c *Config) applyRoute(s *inifile.Section) []*inifile.Error {
	serviceName, routeName, ok := strings.Cut(s.Name, "/")
	if !ok || !validName(serviceName) || !validName(routeName) {
		return []*inifile.Error{s.Errorf("route name %q: expected SERVICE/ROUTE", s.Name)}
	}
	service := c.Services[serviceName]
	if service == nil {
		return []*inifile.Error{s.Errorf("route %s: service %s is not declared", s.Name, serviceName)}
	}
	route := newRoute(s.Name)
	problems := inifile.Apply(s, route.fields())
	if other := service.clash(route); other != nil && len(problems) == 0 {
		problems = append(problems, s.Errorf("route %s has the path and a method of route %s", s.Name, other.Name))
	}
	service.Routes = append(service.Routes, route)
	return problems
}

func newRoute(name string) *Route {
	return &Route{Name: name, Path: "/", Priority: PriorityNormal, Deadline: defaultDeadline}
}

// canonicalPath returns the path without a closing slash.
func (r *Route) canonicalPath() string { return strings.TrimSuffix(r.Path, "/") }

// clash returns a route that matches the same calls, so that the order of the
// file would decide between them. A route without methods leaves to another
// route the methods that it names.
func (s *Service) clash(route *Route) *Route {
	for _, other := range s.Routes {
		if other.canonicalPath() == route.canonicalPath() && shareMethod(other.Methods, route.Methods) {
			return other
		}
	}
	return nil
}

func shareMethod(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

// check finds problems that no single value shows.
func (c *Config) check(sections []*inifile.Section) []*inifile.Error {
	var problems []*inifile.Error
	for _, s := range sections {
		service := c.Services[s.Name]
		if s.Kind != "service" || service == nil || service.Retired {
			continue
		}
		// A key servers with a bad value has its own error.
		if s.FindKey("servers") == nil {
			problems = append(problems, s.Errorf("service %s has no allowed backend server at site %s (key servers)", s.Name, c.Site))
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
