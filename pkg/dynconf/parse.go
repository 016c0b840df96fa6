package dynconf

import (
	"cmp"
	"slices"
	"strings"

	"mangostand.example/mangostand/pkg/inifile"
)

// Source is one configuration file. Name is shown in error messages.
type Source struct {
	Name string
	Data []byte
}

// Merge parses a base file and the overlay of a site, which may be nil, and
// returns the merged configuration. Only the merged result is validated, so
// that the base may omit what each overlay adds. Merge returns all problems,
// each with its file and line; the configuration is nil if there is any.
func Merge(site string, base Source, overlay *Source) (*Config, []*inifile.Error) {
	config, _, problems := mergeWithSections(site, base, overlay)
	return config, problems
}

// mergeWithSections is like Merge but also returns the merged sections, which
// hold the file and line of each value.
func mergeWithSections(site string, base Source, overlay *Source) (*Config, []*inifile.Section, []*inifile.Error) {
	sections, problems := mergeSections(base, overlay)
	if len(problems) > 0 {
		return nil, nil, problems
	}
	config := Default()
	config.Site = site
	// Services are applied first, so that a route may precede its service in the
	// file, and an overlay may add the service of a route in the base.
	for _, s := range sections {
		if s.Kind == "service" {
			problems = append(problems, config.applyService(s)...)
		}
	}
	for _, s := range sections {
		if s.Kind != "service" {
			problems = append(problems, config.applySection(s)...)
		}
	}
	problems = append(problems, config.validate(sections)...)
	if len(problems) > 0 {
		return nil, nil, problems
	}
	config.sortRoutes()
	return config, sections, nil
}

// sortRoutes sorts the routes of each service so that the first match is the
// most specific: longer paths come first, and of two routes with the same path
// the one that lists methods comes before the one for all methods.
func (c *Config) sortRoutes() {
	for _, s := range c.Services {
		slices.SortStableFunc(s.Routes, func(a, b *Route) int {
			return cmp.Or(len(b.canonicalPath())-len(a.canonicalPath()), cmp.Compare(len(b.Methods), len(a.Methods)))
		})
	}
}

// mergeSections returns the sections of the base with the overlay applied: a key
// of the overlay replaces the key of that name in the same section, and other
// keys and sections are appended.
func mergeSections(base Source, overlay *Source) ([]*inifile.Section, []*inifile.Error) {
	sections, problems := inifile.Parse(base.Name, base.Data)
	if overlay == nil {
		return sections, problems
	}
	overlaySections, overlayProblems := inifile.Parse(overlay.Name, overlay.Data)
	problems = append(problems, overlayProblems...)
	for _, s := range overlaySections {
		target := findSection(sections, s.Title())
		if target == nil {
			sections = append(sections, s)
			continue
		}
		for _, key := range s.Keys {
			setKey(target, key)
		}
	}
	return sections, problems
}

// findSection returns the section with the given title, or nil.
func findSection(sections []*inifile.Section, title string) *inifile.Section {
	for _, s := range sections {
		if s.Title() == title {
			return s
		}
	}
	return nil
}

// setKey replaces the key of the same name in the section or appends it.
func setKey(s *inifile.Section, key inifile.Key) {
	if existing := s.FindKey(key.Name); existing != nil {
		*existing = key
		return
	}
	s.Keys = append(s.Keys, key)
}

// applySection sets the configuration from a section other than a service.
func (c *Config) applySection(s *inifile.Section) []*inifile.Error {
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
	if !isValidName(s.Name) {
		return []*inifile.Error{s.Errorf("service name %q: expected lower-case letters, digits and -", s.Name)}
	}
	service := newService(s.Name)
	c.Services[s.Name] = service
	return inifile.Apply(s, service.fields())
}

func newService(name string) *Service { return &Service{Name: name, Policy: "hotcold"} }

func (c *Config) applyRoute(s *inifile.Section) []*inifile.Error {
	serviceName, routeName, ok := strings.Cut(s.Name, "/")
	if !ok || !isValidName(serviceName) || !isValidName(routeName) {
		return []*inifile.Error{s.Errorf("route name %q: expected SERVICE/ROUTE", s.Name)}
	}
	service := c.Services[serviceName]
	if service == nil {
		return []*inifile.Error{s.Errorf("route %s: service %s is not declared", s.Name, serviceName)}
	}
	route := newRoute(s.Name)
	problems := inifile.Apply(s, route.fields())
	if other := service.conflictingRoute(route); other != nil && len(problems) == 0 {
		problems = append(problems, s.Errorf("route %s matches the same path and method as route %s", s.Name, other.Name))
	}
	service.Routes = append(service.Routes, route)
	return problems
}

func newRoute(name string) *Route {
	return &Route{Name: name, Path: "/", Priority: PriorityNormal, Deadline: defaultCallDeadline}
}

// canonicalPath returns the path without a trailing slash.
func (r *Route) canonicalPath() string { return strings.TrimSuffix(r.Path, "/") }

// conflictingRoute returns an existing route that matches some of the same calls
// with the same path, or nil. The order of the sections would decide between
// two such routes. A route for all methods does not conflict with one that lists
// methods, which takes precedence.
func (s *Service) conflictingRoute(route *Route) *Route {
	for _, other := range s.Routes {
		if other.canonicalPath() == route.canonicalPath() && methodsConflict(other.Methods, route.Methods) {
			return other
		}
	}
	return nil
}

// methodsConflict reports whether two routes with the same path, given their
// methods, conflict.
func methodsConflict(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

// validate checks what depends on several values: a service that is not retired
// must have backend servers.
func (c *Config) validate(sections []*inifile.Section) []*inifile.Error {
	var problems []*inifile.Error
	for _, s := range sections {
		service := c.Services[s.Name]
		if s.Kind != "service" || service == nil || service.Retired {
			continue
		}
		// An invalid value of the key servers has been reported already.
		if s.FindKey("servers") == nil {
			problems = append(problems, s.Errorf("service %s has no allowed backend server at site %s (key servers)", s.Name, c.Site))
		}
	}
	return problems
}

// isValidName reports whether a name consists of lower-case letters, digits and -.
func isValidName(name string) bool {
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
