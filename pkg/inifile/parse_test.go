package inifile

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against accepting text that INI dialects read differently, and against
// invalid input that is silently ignored or reported without its line.
func TestParseReportsEachProblemOnce(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"interpolation":      {"[a]\nx = %(y)s\n", "f:2: x: interpolation %(name)s is not supported"},
		"continuation":       {"[a]\nx = one \\\n", "f:2: x: values over several lines are not supported"},
		"indented value":     {"[a]\nx = one\n  two\n", "f:3: expected KEY = VALUE, [SECTION] or a comment; a value stands on one line"},
		"inline comment":     {"[a]\nx = one # two\n", "f:2: x: comments behind a value are not supported, write them on a line of their own"},
		"quotes":             {"[a]\nx = \"one\"\n", "f:2: x: quotes are not supported, write the value without them"},
		"triple quotes":      {"[a]\nx = \"\"\"one\n", "f:2: x: quotes are not supported, write the value without them"},
		"empty value":        {"[a]\nx =\n", "f:2: x: the value is empty; remove the key to get its default"},
		"NUL":                {"[a]\nx = o\x00ne\n", "f:2: NUL byte"},
		"not UTF-8":          {"[a]\nx = \xff\n", "f:2: not valid UTF-8"},
		"byte order mark":    {"\ufeff[a]\n", "f:1: byte order mark, save the file as UTF-8 without it"},
		"lone CR":            {"[a]\rx = 1\n", "f:1: control character U+000D"},
		"unclosed section":   {"[a\nx = 1\n", "f:1: expected [KIND] or [KIND NAME] with one blank, of letters, digits, _ - and /"},
		"text after section": {"[a] b\n", "f:1: expected [KIND] or [KIND NAME] with one blank, of letters, digits, _ - and /"},
		"child section":      {"[a.b]\n", "f:1: expected [KIND] or [KIND NAME] with one blank, of letters, digits, _ - and /"},
		"key before section": {"x = 1\n", "f:1: key x precedes the first section"},
		"auto-increment key": {"[a]\n- = 1\n", `f:2: key name "-": expected lower-case letters, digits and _`},
		"duplicate key":      {"[a]\nx = 1\nx = 2\n", "f:3: duplicate key x in section [a], first on line 2"},
		"duplicate section":  {"[a b]\n[a b]\n", "f:2: duplicate section [a b], first on line 1"},
		"long line":          {"[a]\nx = " + strings.Repeat("y", maxLineLength) + "\n", "f:2: line has 8196 bytes, at most 8192 are allowed"},
		"huge file":          {strings.Repeat("#\n", MaxFileSize), "f:1: file has 1048576 bytes, at most 524288 are allowed"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, problems := Parse("f", []byte(c.text))
			require.Len(t, problems, 1)
			require.Equal(t, c.want, problems[0].Error())
		})
	}
}

// Guards against values that are accepted without their unit, and against sizes
// that overflow into the allowed range.
func TestValuesNeedTheirUnit(t *testing.T) {
	var d time.Duration
	var n int
	var f float64
	cases := map[string]struct {
		field Field
		value string
	}{
		"bare zero":     {Duration("k", &d, 0, time.Second), "0"},
		"bare number":   {Duration("k", &d, 0, time.Second), "5"},
		"unit missing":  {Bytes("k", &n, 0, 1000), "5"},
		"overflow":      {Bytes("k", &n, 0, 1000), "18446744073709552KB"},
		"not a number":  {Float("k", &f, 0, 1), "NaN"},
		"hexadecimal":   {Float("k", &f, 0, 1), "0x1p-2"},
		"unit on count": {Int("k", &n, 0, 10), "5ms"},
		"empty word":    {List("k", new([]string)), "a,,b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Error(t, c.field.Set(c.value)) })
	}
}

// Guards against a panic on any input, an error whose line is not in the file,
// and a value that differs from the text of its line.
func FuzzParse(f *testing.F) {
	f.Add("[a]\nx = 1\n")
	f.Fuzz(func(t *testing.T, text string) {
		sections, problems := Parse("f", []byte(text))
		lines := strings.Split(text, "\n")
		for _, p := range problems {
			require.True(t, p.Line >= 1 && p.Line <= len(lines), "%v", p)
		}
		if len(problems) > 0 {
			return
		}
		for _, s := range sections {
			for _, key := range s.Keys {
				require.Contains(t, lines[key.Line-1], key.Value)
			}
		}
	})
}
