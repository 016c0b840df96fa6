// Package inifile reads INI files and keeps the line of each section and key,
// so that every error about a value names its file and line.
package inifile

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"
)

// Error is a problem at one place of a file.
type Error struct {
	File string
	Line int
	Text string
}

// Error returns FILE:LINE: TEXT.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// Key is one key of a section.
type Key struct {
	Name  string
	Value string
	File  string
	Line  int
}

// Errorf returns an error at the line of the key.
func (k Key) Errorf(format string, args ...any) *Error {
	return &Error{File: k.File, Line: k.Line, Text: fmt.Sprintf(format, args...)}
}

// Section is one section with its keys in the order of the file.
type Section struct {
	// Kind is the first word of the section name, Name the rest.
	Kind string
	Name string
	File string
	Line int
	Keys []Key
}

// Errorf returns an error at the line of the section.
func (s *Section) Errorf(format string, args ...any) *Error {
	return &Error{File: s.File, Line: s.Line, Text: fmt.Sprintf(format, args...)}
}

// Title returns the section name as it stands in the file.
func (s *Section) Title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Parse reads an INI file. Sections and keys that stand twice are errors,
// since one of the two values would be lost.
func Parse(file string, data []byte) ([]*Section, []*Error) {
	options := ini.LoadOptions{
		AllowDuplicateShadowValues: true,
		IgnoreInlineComment:        false,
		KeyValueDelimiters:         "=",
		SkipUnrecognizableLines:    false,
	}
	parsed, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, []*Error{{File: file, Line: lineOf(data, err), Text: errors.Cause(err).Error()}}
	}
	sections, problems := index(file, data)
	for _, s := range sections {
		values, err := parsed.GetSection(s.Title())
		if err != nil {
			problems = append(problems, s.Errorf("section [%s] cannot be read", s.Title()))
			continue
		}
		for i := range s.Keys {
			s.Keys[i].Value = values.Key(s.Keys[i].Name).String()
		}
	}
	return sections, problems
}

// index finds the line of each section and key and reports duplicates.
func index(file string, data []byte) ([]*Section, []*Error) {
	var sections []*Section
	var problems []*Error
	seen := map[string]int{}
	var current *Section
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			current = newSection(file, line, text)
			sections = append(sections, current)
			problems = appendDuplicate(problems, seen, file, line, "section ["+current.Title()+"]")
		case strings.Contains(text, "="):
			name := strings.TrimSpace(text[:strings.Index(text, "=")])
			if current == nil {
				problems = append(problems, &Error{File: file, Line: line, Text: "key " + name + " stands before the first section"})
				continue
			}
			current.Keys = append(current.Keys, Key{Name: name, File: file, Line: line})
			problems = appendDuplicate(problems, seen, file, line, "key "+name+" in section ["+current.Title()+"]")
		}
	}
	return sections, problems
}

func newSection(file string, line int, text string) *Section {
	title := text[1:]
	if end := strings.Index(title, "]"); end >= 0 {
		title = title[:end]
	}
	kind, name, _ := strings.Cut(strings.TrimSpace(title), " ")
	return &Section{Kind: kind, Name: strings.TrimSpace(name), File: file, Line: line}
}

func appendDuplicate(problems []*Error, seen map[string]int, file string, line int, what string) []*Error {
	if first, ok := seen[what]; ok {
		return append(problems, &Error{File: file, Line: line, Text: fmt.Sprintf("duplicate %s, first on line %d", what, first)})
	}
	seen[what] = line
	return problems
}

// lineOf finds the line that a parser error quotes, 1 when there is none.
func lineOf(data []byte, err error) int {
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text != "" && strings.Contains(err.Error(), text) {
			return line
		}
	}
	return 1
}
