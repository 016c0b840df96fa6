// Package inifile reads INI files and keeps the line of each section and key,
// so that every error about a value names its file and line.
//
// The format is a strict subset of INI, so that a file has one reading only. A
// line is blank, a comment that starts with # or ;, a section [KIND] or
// [KIND NAME], or KEY = VALUE. The value is the rest of the line without the
// blanks around it, taken literally. What other INI dialects read in another
// way is an error with its line: interpolation %(name)s, values over several
// lines, comments behind a value, quotes around a value, and control
// characters.
package inifile

import (
	"fmt"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"
)

// MaxFileSize bounds a file in bytes. A value of the platform's store holds
// 1 MB for a base file and all its overlays.
const MaxFileSize = 512 * 1024

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
	// Kind is the first word of the section name, Name the second.
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

// FindKey returns the key of a name, or nil.
func (s *Section) FindKey(name string) *Key {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

// Parse reads an INI file. Sections and keys that stand twice are errors,
// since one of the two values would be lost. Sections are returned even when
// there are problems; the caller must not use their values then.
func Parse(file string, data []byte) ([]*Section, []*Error) {
	if len(data) > MaxFileSize {
		text := fmt.Sprintf("file has %d bytes, at most %d are allowed", len(data), MaxFileSize)
		return nil, []*Error{{File: file, Line: 1, Text: text}}
	}
	sections, problems := scan(file, data)
	if len(problems) > 0 {
		return sections, problems
	}
	return sections, readValues(file, data, sections)
}

// strictOptions turns off what the library does beyond the strict subset.
var strictOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	KeyValueDelimiters:      "=",
	PreserveSurroundedQuote: true,
	SkipUnrecognizableLines: false,
}

// readValues reads the values with the INI library and compares them with the
// text of their lines. A value that the library reads in another way is
// refused, so that the two readings can never differ in silence.
func readValues(file string, data []byte, sections []*Section) []*Error {
	parsed, err := ini.LoadSources(strictOptions, data)
	if err != nil {
		return []*Error{{File: file, Line: 1, Text: errors.Cause(err).Error()}}
	}
	var problems []*Error
	for _, s := range sections {
		values, err := parsed.GetSection(s.Title())
		if err != nil {
			problems = append(problems, s.Errorf("section [%s] cannot be read", s.Title()))
			continue
		}
		for _, key := range s.Keys {
			if values.Key(key.Name).String() != key.Value {
				problems = append(problems, key.Errorf("value of %s is ambiguous", key.Name))
			}
		}
	}
	return problems
}
