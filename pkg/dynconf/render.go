package dynconf

import (
	"fmt"
	"slices"
	"strings"

	"mangostand.example/mangostand/pkg/inifile"
)

// Render returns the merged configuration of a site as an INI file that contains
// every value, including defaults. The comment above a value gives the file and
// line where it is set, or says that it is the default.
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

// renderSectionByTitle finds the section with the given title and renders its
// fields.
func renderSectionByTitle(out *strings.Builder, sections []*inifile.Section, title string, fields []inifile.Field) {
	renderSection(out, title, findSection(sections, title), fields)
}

// renderSection writes the fields of a section. The section is nil if no file
// contains it.
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

// valueOrigin returns the file and line where a key is set, or "default".
func valueOrigin(section *inifile.Section, name string) string {
	if section != nil {
		if key := section.FindKey(name); key != nil {
			return fmt.Sprintf("%s:%d", key.File, key.Line)
		}
	}
	return "default"
}

// Reference returns the settings reference of each kind of section, in the order
// of the reference page.
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
