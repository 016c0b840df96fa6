package h1

import (
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// errHeaderTooLarge and errBodyTooLarge are the read errors of a header and a body
// above the limit.
const (
	errHeaderTooLarge = errors.ConstError("header exceeds the size limit")
	errBodyTooLarge   = errors.ConstError("body exceeds the size limit")
)

// limitedReader fails after remaining bytes; -1 means no limit. It keeps its last
// error, since parsers return errors of their own instead.
type limitedReader struct {
	r         io.Reader
	remaining int
	err       error
}

// Read reads at most the remaining bytes.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		l.err = errHeaderTooLarge
		return 0, l.err
	}
	if l.remaining > 0 && len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	if l.remaining > 0 {
		l.remaining -= n
	}
	l.err = err
	return n, err
}

// isTimeout reports whether an error is a time limit that has passed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// statusForReadError returns the response status for an error in reading a request
// header, or 0 when the caller has disconnected.
func statusForReadError(err error) int {
	var netErr net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		return http.StatusRequestTimeout
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return 0
	}
	return http.StatusBadRequest
}

// readBody reads a complete body of at most limit bytes. A status other than 0
// rejects the request; an error means that the connection failed.
func readBody(r *http.Request, limit int) (body []byte, status int, err error) {
	if r.ContentLength > int64(limit) {
		return nil, http.StatusRequestEntityTooLarge, nil
	}
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, 0, errors.Trace(err)
		}
		// Reads up to the end of the body, so that the next request starts there.
		_, err = io.Copy(io.Discard, r.Body)
		return body, 0, errors.Trace(err)
	}
	body, err = io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	var netErr net.Error
	switch {
	case err != nil && (errors.As(err, &netErr) || errors.Is(err, io.ErrUnexpectedEOF)):
		return nil, 0, errors.Trace(err)
	case err != nil:
		return nil, http.StatusBadRequest, nil
	case len(body) > limit:
		return nil, http.StatusRequestEntityTooLarge, nil
	}
	return body, 0, nil
}

func formatStatus(status int) string {
	return strconv.Itoa(status) + " " + http.StatusText(status)
}
