package httpfront

import (
	"net/url"
	"strings"

	"github.com/juju/errors"
)

// validatePath rejects paths that a backend server may interpret differently
// from the route table, such as /histories/../bookings. Such a call would be
// handled with the properties of the wrong route.
func validatePath(u *url.URL) error {
	if strings.Contains(strings.ToLower(u.RawPath), "%2f") {
		return errors.New("path: an encoded / is not allowed")
	}
	for _, segment := range strings.Split(u.Path, "/") {
		if segment == "." || segment == ".." {
			return errors.New("path: the segments . and .. are not allowed")
		}
	}
	return nil
}
