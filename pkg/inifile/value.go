package inifile

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Field is one key that a section may have. Set stores the value and returns
// an error when it is malformed or out of range.
type Field struct {
	Name string
	Set  func(value string) error
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
	return Field{Name: name, Set: func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return errors.New("expected a time with a unit, such as 250ms or 2s")
		}
		if d < low || d > high {
			return errors.Errorf("out of range, expected %v to %v", low, high)
		}
		*target = d
		return nil
	}}
}

// Int returns a field for a whole number without a unit.
func Int(name string, target *int, low, high int) Field {
	return Field{Name: name, Set: func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil {
			return errors.New("expected a whole number without a unit")
		}
		if n < low || n > high {
			return errors.Errorf("out of range, expected %d to %d", low, high)
		}
		*target = n
		return nil
	}}
}

// Float returns a field for a decimal number without a unit.
func Float(name string, target *float64, low, high float64) Field {
	return Field{Name: name, Set: func(value string) error {
		f, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return errors.New("expected a number without a unit")
		}
		if !(f >= low && f <= high) {
			return errors.Errorf("out of range, expected %g to %g", low, high)
		}
		*target = f
		return nil
	}}
}

// byteUnits lists the units of sizes in bytes, longest suffix first.
var byteUnits = []struct {
	suffix string
	factor int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"KB", 1000}, {"MB", 1000 * 1000}, {"B", 1}}

// Bytes returns a field for a size with a unit (B, KB, MB, KiB, MiB).
func Bytes(name string, target *int, low, high int) Field {
	return Field{Name: name, Set: func(value string) error {
		n, err := parseBytes(value)
		if err != nil {
			return err
		}
		if n < low || n > high {
			return errors.Errorf("out of range, expected %d B to %d B", low, high)
		}
		*target = n
		return nil
	}}
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
		return n * unit.factor, nil
	}
	return 0, errors.New("expected a size with a unit, such as 64KB or 2MiB")
}

// Bool returns a field for yes or no.
func Bool(name string, target *bool) Field {
	return Field{Name: name, Set: func(value string) error {
		switch value {
		case "yes":
			*target = true
		case "no":
			*target = false
		default:
			return errors.New("expected yes or no")
		}
		return nil
	}}
}

// String returns a field for a text that must not be empty.
func String(name string, target *string) Field {
	return Field{Name: name, Set: func(value string) error {
		if value == "" {
			return errors.New("must not be empty")
		}
		*target = value
		return nil
	}}
}

// Choice returns a field for one of a fixed set of words.
func Choice(name string, target *string, words ...string) Field {
	return Field{Name: name, Set: func(value string) error {
		for _, w := range words {
			if value == w {
				*target = value
				return nil
			}
		}
		return errors.Errorf("expected one of %s", strings.Join(words, ", "))
	}}
}

// List returns a field for words separated by commas.
func List(name string, target *[]string) Field {
	return Field{Name: name, Set: func(value string) error {
		var words []string
		for _, w := range strings.Split(value, ",") {
			if w = strings.TrimSpace(w); w != "" {
				words = append(words, w)
			}
		}
		if len(words) == 0 {
			return fmt.Errorf("expected words separated by commas")
		}
		*target = words
		return nil
	}}
}
