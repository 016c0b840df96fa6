package h1

import (
	"net/http"

	"github.com/juju/errors"
)

// errInvalidStatus is the cause of an Error when the server sent a status that no
// response to the request can have.
const errInvalidStatus = errors.ConstError("invalid status")

// IsInterimStatus reports whether a response with a status is followed by another one.
func IsInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// IsFinalStatus reports whether a status can be that of a final response. HTTP has
// statuses from 100 to 599 (RFC 9110, section 15), and 101 only answers a request for an
// upgrade, which is not forwarded.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= 599 }
