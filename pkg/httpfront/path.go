package httpfront

import (
	"net/url"
	"strings"

	"github.com/juju/errors"
)

// validatePath refuses paths that a backend server may read in another way than
// the route was matched, such as /histories/../bookings: the call would run
// with the properties of the wrong route.
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
