package httpfront

import (
	"net/http"
	"time"
)

// writeGrace is how long after the deadline of a call its response may still be
// written.
const writeGrace = time.Second

// setWriteDeadline limits the time to write a response, so that a caller that
// does not read it cannot occupy the call and its backend server. The returned
// function removes the limit, since the connection may be used for more calls.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) (end func()) {
	if deadline.IsZero() {
		return func() {}
	}
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(deadline.Add(writeGrace))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}
