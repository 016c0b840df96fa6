package localapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/juju/errors"
)

// Limits of an announcement. Larger values are errors of the sender: the largest
// backend servers have some hundred slots and some thousand connections.
const (
	maxSlots             = 10_000
	maxConnections       = 100_000
	maxServiceNameLength = 100
)

// ParseAnnouncement decodes and validates the body of an announcement. The error
// for an invalid value names the field and the expected values.
func ParseAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&a); err != nil {
		return Announcement{}, errors.Annotate(err, "malformed announcement")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Announcement{}, errors.New("malformed announcement: data after the object")
	}
	if err := a.validate(); err != nil {
		return Announcement{}, errors.Annotate(err, "announcement")
	}
	return a, nil
}

func (a *Announcement) validate() error {
	if !isValidServiceName(a.Service) {
		return errors.Errorf("service %q: expected 1 to %d lower-case letters, digits and -", a.Service, maxServiceNameLength)
	}
	addr, err := netip.ParseAddrPort(a.Addr)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return errors.Errorf("addr %q: expected IP:port of the backend server", a.Addr)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return errors.Errorf("slots %d: expected 1 to %d", a.Slots, maxSlots)
	}
	if a.Connections > maxConnections {
		return errors.Errorf("connections %d: expected 0 to %d", a.Connections, maxConnections)
	}
	return nil
}

// isValidServiceName reports whether a name is a valid service name.
func isValidServiceName(name string) bool {
	if name == "" || len(name) > maxServiceNameLength {
		return false
	}
	for _, r := range name {
		if !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-') {
			return false
		}
	}
	return true
}
