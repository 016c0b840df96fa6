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
	config, sections, problems := mergeWithSections(site, base, overlay)
	if len(problems) > 0 {
		return "", problems
	}
	var out strings.Builder
	fmt.Fprintf(&out, "# Merged configuration of site %s.\n", site)
	for _, kind := range parameterSections {
		renderSection(&out, kind, findSection(sections, kind), config.parameterFields(kind))
	}
	for _, name := range config.serviceNames() {
		service := config.Services[name]
		renderSectionByTitle(&out, sections, "service "+name, service.fields())
		for _, route := range service.Routes {
			renderSectionByTitle(&out, sections, "route "+route.Name, route.fields())
		}
	}
	return out.String(), nil
}

func (c *Config) serviceNames() []string {
	var names []string
	for name := range c.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func renderSectionByTitle(out *strings.Builder, sections []*inifile.Section, title string, fields []inifile.Field) {
	renderSection(out, title, findSection(sections, title), fields)
}

func renderSection(out *strings.Builder, title string, section *inifile.Section, fields []inifile.Field) {
	fmt.Fprintf(out, "\n[%s]\n", title)
	for _, f := range fields {
		value := f.Get()
		if value == "" {
			fmt.Fprintf(out, "# default: %s is not set\n", f.Name)
			continue
		}
		fmt.Fprintf(out, "# %s\n%s = %s\n", valueOrigin(section, f.Name), f.Name, value)
	}
}

func valueOrigin(section *inifile.Section, name string) string {
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
	for _, kind := range parameterSections {
		references = append(references, inifile.Describe(kind, config.parameterFields(kind)))
	}
	return references
}
