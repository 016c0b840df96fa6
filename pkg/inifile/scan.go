package inifile

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"
)

// maxLineLength is the largest length of a line in bytes.
const maxLineLength = 8 * 1024

const byteOrderMark = "\ufeff"

// scanner collects the sections of a file line by line.
type scanner struct {
	file     string
	line     int
	current  *Section
	sections []*Section
	problems []*Error
	// firstLines maps each section and key to the line of its first occurrence.
	firstLines map[string]int
	// skipKeys is set after a malformed or duplicate section header. The keys
	// below it are ignored.
	skipKeys bool
}

// scan splits a file into sections and keys and checks each line.
func scan(file string, data []byte) ([]*Section, []*Error) {
	s := &scanner{file: file, firstLines: map[string]int{}}
	for _, line := range bytes.Split(data, []byte("\n")) {
		s.line++
		text := strings.TrimSuffix(string(line), "\r")
		if problem := invalidTextReason(text); problem != "" {
			s.reportError("%s", problem)
			continue
		}
		s.scanLine(strings.Trim(text, " \t"))
	}
	return s.sections, s.problems
}

func (s *scanner) reportError(format string, args ...any) {
	s.problems = append(s.problems, &Error{File: s.file, Line: s.line, Text: fmt.Sprintf(format, args...)})
}

// invalidTextReason returns why a line is too long or has invalid characters, or
// "" if it is valid.
func invalidTextReason(text string) string {
	if len(text) > maxLineLength {
		return fmt.Sprintf("line has %d bytes, at most %d are allowed", len(text), maxLineLength)
	}
	if strings.HasPrefix(text, byteOrderMark) {
		return "byte order mark, save the file as UTF-8 without it"
	}
	if !utf8.ValidString(text) {
		return "not valid UTF-8"
	}
	for _, r := range text {
		if r == 0 {
			return "NUL byte"
		}
		if (r < ' ' && r != '\t') || r == 0x7f {
			return fmt.Sprintf("control character %U", r)
		}
	}
	return ""
}

// scanLine handles one line without the surrounding whitespace.
func (s *scanner) scanLine(text string) {
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
	case text[0] == '[':
		s.scanSection(text)
	case strings.Contains(text, "="):
		s.scanKey(text)
	default:
		s.reportError("expected KEY = VALUE, [SECTION] or a comment; a value stands on one line")
	}
}

func (s *scanner) scanSection(text string) {
	title, closed := strings.CutSuffix(text[1:], "]")
	words := strings.Split(title, " ")
	s.skipKeys = !closed || len(words) > 2 || !isValidTitle(words)
	if s.skipKeys {
		s.reportError("expected [KIND] or [KIND NAME] with one blank, of letters, digits, _ - and /")
		return
	}
	s.current = &Section{Kind: words[0], File: s.file, Line: s.line}
	if len(words) == 2 {
		s.current.Name = words[1]
	}
	s.sections = append(s.sections, s.current)
	// The keys of a duplicate section are skipped, because each of them would be
	// reported as well.
	s.skipKeys = s.reportIfDuplicate("section [" + s.current.Title() + "]")
}

func (s *scanner) scanKey(text string) {
	name, value, _ := strings.Cut(text, "=")
	name, value = strings.TrimRight(name, " \t"), strings.TrimLeft(value, " \t")
	if s.skipKeys {
		return
	}
	if s.current == nil {
		s.reportError("key %s precedes the first section", name)
		return
	}
	if !isValidKey(name) {
		s.reportError("key name %q: expected lower-case letters, digits and _", name)
		return
	}
	if problem := ambiguityReason(value); problem != "" {
		s.reportError("%s: %s", name, problem)
		return
	}
	s.current.Keys = append(s.current.Keys, Key{Name: name, Value: value, File: s.file, Line: s.line})
	s.reportIfDuplicate("key " + name + " in section [" + s.current.Title() + "]")
}

// ambiguityReason returns why INI dialects would read the value differently, or
// "" if they would not.
func ambiguityReason(value string) string {
	switch {
	case value == "":
		return "the value is empty; remove the key to get its default"
	case strings.ContainsAny(value[:1], "\"'`"):
		return "quotes are not supported, write the value without them"
	case strings.HasSuffix(value, `\`):
		return "values over several lines are not supported"
	case strings.Contains(value, "%("):
		return "interpolation %(name)s is not supported"
	case containsCommentStart(value):
		return "comments behind a value are not supported, write them on a line of their own"
	}
	return ""
}

// containsCommentStart reports whether a # or ; is at the start of the value or
// follows whitespace.
func containsCommentStart(value string) bool {
	for i, r := range value {
		if r != '#' && r != ';' {
			continue
		}
		if i == 0 || value[i-1] == ' ' || value[i-1] == '\t' {
			return true
		}
	}
	return false
}

// reportIfDuplicate records the first occurrence of a section or key. If it has
// occurred before, it reports an error and returns true.
func (s *scanner) reportIfDuplicate(element string) bool {
	firstLine, found := s.firstLines[element]
	if found {
		s.reportError("duplicate %s, first on line %d", element, firstLine)
		return true
	}
	s.firstLines[element] = s.line
	return false
}

func isValidTitle(words []string) bool {
	for _, word := range words {
		if word == "" || !isValidTitleWord(word) {
			return false
		}
	}
	return true
}

func isValidTitleWord(word string) bool {
	for _, r := range word {
		if !isLower(r) && !(r >= 'A' && r <= 'Z') && !isDigit(r) && r != '_' && r != '-' && r != '/' {
			return false
		}
	}
	return true
}

func isValidKey(name string) bool {
	for _, r := range name {
		if !isLower(r) && !isDigit(r) && r != '_' {
			return false
		}
	}
	return name != ""
}

func isLower(r rune) bool { return r >= 'a' && r <= 'z' }

func isDigit(r rune) bool { return r >= '0' && r <= '9' }
