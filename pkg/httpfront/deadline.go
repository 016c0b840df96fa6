package httpfront

import (
	"net/http"
	"time"
)

// writeGrace is how long after the deadline of a call its answer may still be
// written.
const writeGrace = time.Second

// setWriteDeadline bounds the writing of an answer, so that a caller that does not
// read cannot hold the call and its backend server. The returned function ends
// the bound, since the connection may carry further calls.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) (end func()) {
	if deadline.IsZero() {
		return func() {}
	}
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(deadline.Add(writeGrace))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}
