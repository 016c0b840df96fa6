package board

import "github.com/juju/errors"

// MarshalText implements encoding.TextMarshaler, so that the state is encoded in
// JSON by its name.
func (s MemberState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *MemberState) UnmarshalText(text []byte) error {
	for i, name := range memberStateNames {
		if name == string(text) {
			*s = MemberState(i)
			return nil
		}
	}
	return errors.Errorf("member state %q is unknown", text)
}
