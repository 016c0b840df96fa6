package dynconf

import (
	"fmt"
	"slices"
	"strings"

	"mangostand.example/mangostand/pkg/inifile"
)

// Render returns the merged configuration of a site as an INI file with every
// value in force. The comment above a value names the file and line that it
// comes from, or says that it is the default.
func Render(site string, base Source, overlay *Source) (string, []*inifile.Error) {
	config, sections, problems := merge(site, base, overlay)
	if len(problems) > 0 {
		return "", problems
	}
	var text strings.Builder
	fmt.Fprintf(&text, "# Merged configuration of site %s.\n", site)
	for _, kind := range parameterKinds {
		renderSection(&text, kind, findSection(sections, kind), config.parameterFields(kind))
	}
	for _, name := range config.serviceNames() {
		service := config.Services[name]
		renderNamed(&text, sections, "service "+name, service.fields())
		for _, route := range service.Routes {
			renderNamed(&text, sections, "route "+route.Name, route.fields())
		}
	}
	return text.String(), nil
}

func (c *Config) serviceNames() []string {
	var names []string
	for name := range c.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func renderNamed(text *strings.Builder, sections []*inifile.Section, title string, fields []inifile.Field) {
	renderSection(text, title, findSection(sections, title), fields)
}

func renderSection(text *strings.Builder, title string, section *inifile.Section, fields []inifile.Field) {
	fmt.Fprintf(text, "\n[%s]\n", title)
	for _, f := range fields {
		value := f.Get()
		if value == "" {
			fmt.Fprintf(text, "# default: %s is not set\n", f.Name)
			continue
		}
		fmt.Fprintf(text, "# %s\n%s = %s\n", origin(section, f.Name), f.Name, value)
	}
}

func origin(section *inifile.Section, name string) string {
	if section != nil {
		if key := section.FindKey(name); key != nil {
			return fmt.Sprintf("%s:%d", key.File, key.Line)
		}
	}
	return "default"
}

// Reference returns the rows of the reference page for each kind of section,
// in the order of the page.
func Reference() []inifile.SectionReference {
	config := Default()
	references := []inifile.SectionReference{
		inifile.Describe("service NAME", newService("").fields()),
		inifile.Describe("route SERVICE/ROUTE", newRoute("").fields()),
	}
	for _, kind := range parameterKinds {
		references = append(references, inifile.Describe(kind, config.parameterFields(kind)))
	}
	return references
}
