package inifile

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Field is one key that a section may have. The descriptions feed
// docs/settings.md and "config render".
type Field struct {
	Name string
	// Unit says what a value is: a time, a size, a number, words.
	Unit string
	// Range states the values that Set accepts.
	Range string
	// Effect is one sentence for the reference page.
	Effect string
	// Set stores the value and returns an error when it is malformed or out
	// of range.
	Set func(value string) error
	// Get returns the stored value as a text that Set accepts, "" for none.
	Get func() string
}

// WithDescription returns the field with its effect.
func (f Field) WithDescription(effect string) Field {
	f.Effect = effect
	return f
}

// WithValidation returns the field with a further check, which runs after the value was
// stored.
func (f Field) WithValidation(check func() error) Field {
	set := f.Set
	f.Set = func(value string) error {
		if err := set(value); err != nil {
			return err
		}
		return check()
	}
	return f
}

// Apply sets the fields of a section. Unknown keys and bad values are errors.
func Apply(s *Section, fields []Field) []*Error {
	var problems []*Error
	for _, key := range s.Keys {
		field := find(fields, key.Name)
		if field == nil {
			problems = append(problems, key.Errorf("unknown key %s in section [%s]", key.Name, s.Title()))
			continue
		}
		if err := field.Set(key.Value); err != nil {
			problems = append(problems, key.Errorf("%s = %s: %v", key.Name, key.Value, err))
		}
	}
	return problems
}

func find(fields []Field, name string) *Field {
	for i := range fields {
		if fields[i].Name == name {
			return &fields[i]
		}
	}
	return nil
}

// Duration returns a field for a time with a unit (us, ms, s, m, h).
func Duration(name string, target *time.Duration, low, high time.Duration) Field {
	set := func(value string) error {
		d, err := time.ParseDuration(value)
		// ParseDuration takes a bare 0; the format asks for a unit always.
		if err != nil || isDigit(rune(value[len(value)-1])) {
			return errors.New("expected a time with a unit, such as 250ms or 2s")
		}
		if d < low || d > high {
			return errors.Errorf("out of range, expected %s to %s", formatDuration(low), formatDuration(high))
		}
		*target = d
		return nil
	}
	return Field{
		Name: name, Unit: "time with unit (us, ms, s, m, h)",
		Range: formatDuration(low) + " to " + formatDuration(high),
		Set:   set, Get: func() string { return formatDuration(*target) },
	}
}

// formatDuration writes 10m0s as 10m and 24h0m0s as 24h.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Int returns a field for a whole number without a unit.
func Int(name string, target *int, low, high int) Field {
	set := func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil {
			return errors.New("expected a whole number without a unit")
		}
		if n < low || n > high {
			return errors.Errorf("out of range, expected %d to %d", low, high)
		}
		*target = n
		return nil
	}
	return Field{
		Name: name, Unit: "whole number", Range: strconv.Itoa(low) + " to " + strconv.Itoa(high),
		Set: set, Get: func() string { return strconv.Itoa(*target) },
	}
}

// Float returns a field for a decimal number without a unit.
func Float(name string, target *float64, low, high float64) Field {
	set := func(value string) error {
		f, err := strconv.ParseFloat(value, 64)
		if err != nil || strings.Trim(value, "0123456789.-") != "" {
			return errors.New("expected a decimal number without a unit")
		}
		if !(f >= low && f <= high) {
			return errors.Errorf("out of range, expected %g to %g", low, high)
		}
		*target = f
		return nil
	}
	return Field{
		Name: name, Unit: "decimal number", Range: formatFloat(low) + " to " + formatFloat(high),
		Set: set, Get: func() string { return formatFloat(*target) },
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// byteUnits lists the units of sizes in bytes, longest suffix first.
var byteUnits = []struct {
	suffix string
	factor int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"KB", 1000}, {"MB", 1000 * 1000}, {"B", 1}}

// Bytes returns a field for a size with a unit (B, KB, MB, KiB, MiB).
func Bytes(name string, target *int, low, high int) Field {
	set := func(value string) error {
		n, err := parseBytes(value)
		if err != nil {
			return err
		}
		if n < low || n > high {
			return errors.Errorf("out of range, expected %s to %s", formatBytes(low), formatBytes(high))
		}
		*target = n
		return nil
	}
	return Field{
		Name: name, Unit: "size with unit (B, KB, MB, KiB, MiB)", Range: formatBytes(low) + " to " + formatBytes(high),
		Set: set, Get: func() string { return formatBytes(*target) },
	}
}

func parseBytes(value string) (int, error) {
	for _, unit := range byteUnits {
		number, ok := strings.CutSuffix(value, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(number))
		if err != nil {
			break
		}
		if n > math.MaxInt/unit.factor || n < math.MinInt/unit.factor {
			return 0, errors.New("the size is too large")
		}
		return n * unit.factor, nil
	}
	return 0, errors.New("expected a size with a unit, such as 64KB or 2MiB")
}

// formatBytes uses the largest decimal unit without a remainder.
func formatBytes(n int) string {
	switch {
	case n != 0 && n%(1000*1000) == 0:
		return strconv.Itoa(n/(1000*1000)) + "MB"
	case n != 0 && n%1000 == 0:
		return strconv.Itoa(n/1000) + "KB"
	}
	return strconv.Itoa(n) + "B"
}

// Bool returns a field for yes or no.
func Bool(name string, target *bool) Field {
	set := func(value string) error {
		switch value {
		case "yes":
			*target = true
		case "no":
			*target = false
		default:
			return errors.New("expected yes or no")
		}
		return nil
	}
	get := func() string {
		if *target {
			return "yes"
		}
		return "no"
	}
	return Field{Name: name, Unit: "yes or no", Range: "yes, no", Set: set, Get: get}
}

// String returns a field for a text that must not be empty.
func String(name string, target *string) Field {
	set := func(value string) error {
		if value == "" {
			return errors.New("must not be empty")
		}
		*target = value
		return nil
	}
	return Field{Name: name, Unit: "text", Range: "not empty", Set: set, Get: func() string { return *target }}
}

// Choice returns a field for one of a fixed set of words.
func Choice(name string, target *string, words ...string) Field {
	list := strings.Join(words, ", ")
	set := func(value string) error {
		for _, w := range words {
			if value == w {
				*target = value
				return nil
			}
		}
		return errors.Errorf("expected one of %s", list)
	}
	return Field{Name: name, Unit: "word", Range: list, Set: set, Get: func() string { return *target }}
}

// List returns a field for words separated by commas.
func List(name string, target *[]string) Field {
	set := func(value string) error {
		var words []string
		for _, w := range strings.Split(value, ",") {
			w = strings.TrimSpace(w)
			if w == "" || strings.ContainsAny(w, " \t") {
				return errors.New("expected words separated by commas")
			}
			words = append(words, w)
		}
		*target = words
		return nil
	}
	return Field{
		Name: name, Unit: "words separated by commas", Range: "at least one word",
		Set: set, Get: func() string { return strings.Join(*target, ", ") },
	}
}
