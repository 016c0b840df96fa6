// Package inifile parses INI files. It keeps the line of each section and key,
// so that every error about a value gives its file and line.
//
// The format is a strict subset of INI that is unambiguous across INI dialects.
// A line is blank, a comment that starts with # or ;, a section header [KIND] or
// [KIND NAME], or KEY = VALUE. The value is the rest of the line without the
// surrounding whitespace, taken literally. Syntax that some INI dialects
// interpret differently is an error: interpolation with %(name)s, multi-line
// values, comments after a value, quoted values and control characters.
package inifile

import (
	"fmt"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"
)

// MaxFileSize is the largest size of a file in bytes. The base file and all
// overlays together have to fit into one value of the platform's store, which
// is limited to 1 MB.
const MaxFileSize = 512 * 1024

// Error is a problem at one line of a file.
type Error struct {
	File string
	Line int
	Text string
}

// Error returns the problem as FILE:LINE: TEXT.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// Key is one key of a section with its value, and the place where it is set.
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

// Section is one section of a file.
type Section struct {
	// Kind is the first word of the section header, and Name the second, which
	// may be empty.
	Kind string
	Name string
	File string
	Line int
	// Keys are in the order of the file.
	Keys []Key
}

// Errorf returns an error at the line of the section.
func (s *Section) Errorf(format string, args ...any) *Error {
	return &Error{File: s.File, Line: s.Line, Text: fmt.Sprintf(format, args...)}
}

// Title returns the section header as it is written between the brackets.
func (s *Section) Title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// FindKey returns the key with the given name, or nil.
func (s *Section) FindKey(name string) *Key {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

// Parse parses an INI file. Duplicate sections and keys are errors, because one
// of the two values would be lost. The sections are returned even if there are
// problems, but the caller must not use their values then.
func Parse(file string, data []byte) ([]*Section, []*Error) {
	if len(data) > MaxFileSize {
		text := fmt.Sprintf("file has %d bytes, at most %d are allowed", len(data), MaxFileSize)
		return nil, []*Error{{File: file, Line: 1, Text: text}}
	}
	sections, problems := scan(file, data)
	if len(problems) > 0 {
		return sections, problems
	}
	return sections, crossCheckValues(file, data, sections)
}

// strictOptions disables the features of the INI library that the strict subset
// does not have.
var strictOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	KeyValueDelimiters:      "=",
	PreserveSurroundedQuote: true,
	SkipUnrecognizableLines: false,
}

// crossCheckValues parses the file with the INI library and compares each value
// with the one that this package has read. A difference is an error, so that a
// value cannot silently differ from what an INI parser reads.
func crossCheckValues(file string, data []byte, sections []*Section) []*Error {
	libraryFile, err := ini.LoadSources(strictOptions, data)
	if err != nil {
		return []*Error{{File: file, Line: 1, Text: errors.Cause(err).Error()}}
	}
	var problems []*Error
	for _, s := range sections {
		librarySection, err := libraryFile.GetSection(s.Title())
		if err != nil {
			problems = append(problems, s.Errorf("section [%s] cannot be read", s.Title()))
			continue
		}
		for _, key := range s.Keys {
			if librarySection.Key(key.Name).String() != key.Value {
				problems = append(problems, key.Errorf("value of %s is ambiguous", key.Name))
			}
		}
	}
	return problems
}
