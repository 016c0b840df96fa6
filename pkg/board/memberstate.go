package board

import "github.com/juju/errors"

// MarshalText returns the name of the state, for status output in JSON.
func (s MemberState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the name of a state.
func (s *MemberState) UnmarshalText(text []byte) error {
	for i, name := range memberStateNames {
		if name == string(text) {
			*s = MemberState(i)
			return nil
		}
	}
	return errors.Errorf("member state %q is unknown", text)
}
