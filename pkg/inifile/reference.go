package inifile

import (
	"fmt"
	"strings"
)

// SectionReference describes the keys of one section for the reference page.
type SectionReference struct {
	Title string
	Rows  []ReferenceRow
}

// ReferenceRow describes one key.
type ReferenceRow struct {
	Key         string
	Unit        string
	Default     string
	Range       string
	Description string
}

// Describe returns the reference of a section whose fields hold their
// defaults.
func Describe(title string, fields []Field) SectionReference {
	reference := SectionReference{Title: title}
	for _, f := range fields {
		reference.Rows = append(reference.Rows, ReferenceRow{
			Key: f.Name, Unit: f.Unit, Default: f.Get(), Range: f.Range, Description: f.Effect,
		})
	}
	return reference
}

// Markdown returns the section as a heading and a table.
func (s SectionReference) Markdown() string {
	var text strings.Builder
	fmt.Fprintf(&text, "### [%s]\n\n| key | unit | default | range | effect |\n|---|---|---|---|---|\n", s.Title)
	for _, r := range s.Rows {
		value := "-"
		if r.Default != "" {
			value = "`" + r.Default + "`"
		}
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s | %s |\n", r.Key, r.Unit, value, r.Range, r.Description)
	}
	return text.String()
}
