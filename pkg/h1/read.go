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

// minBodyBytes is the size of the first buffer for a body of unknown size.
const minBodyBytes = 4 << 10

// readBody reads a complete body of at most limit bytes. A status other than 0 rejects
// the request; an error means that the connection failed, or, if it is ErrBodyRefused,
// that the memory for a body of unknown size is used up. The memory for a body of known
// size is reserved before, that of any other as it is read.
func readBody(r *Request, parsed *http.Request, limit int) (body []byte, status int, err error) {
	if parsed.ContentLength > int64(limit) {
		return nil, http.StatusRequestEntityTooLarge, nil
	}
	if parsed.ContentLength == 0 {
		return nil, 0, nil
	}
	if parsed.ContentLength > 0 {
		body = make([]byte, parsed.ContentLength)
		if _, err := io.ReadFull(parsed.Body, body); err != nil {
			return nil, 0, errors.Trace(err)
		}
		// Reads up to the end of the body, so that the next request starts there.
		_, err = io.Copy(io.Discard, parsed.Body)
		return body, 0, errors.Trace(err)
	}
	body, err = readUnsized(r, parsed.Body, limit)
	var netErr net.Error
	switch {
	case errors.Is(err, ErrBodyRefused):
		return nil, 0, err
	case err != nil && (errors.As(err, &netErr) || errors.Is(err, io.ErrUnexpectedEOF)):
		return nil, 0, errors.Trace(err)
	case err != nil:
		return nil, http.StatusBadRequest, nil
	case len(body) > limit:
		return nil, http.StatusRequestEntityTooLarge, nil
	}
	return body, 0, nil
}

// readUnsized reads a body of unknown size, up to limit+1 bytes, into a buffer of the
// reserved size, which grows if necessary.
func readUnsized(r *Request, from io.Reader, limit int) ([]byte, error) {
	var first [1]byte
	n, err := io.ReadFull(from, first[:])
	if err == io.EOF {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	// With ReserveBody, the first byte comes after the reservation.
	size := int(min(r.heldBytes.Load(), int64(limit)))
	if size <= 0 {
		size = min(minBodyBytes, limit+1)
		if !r.ReserveBody(int64(size)) {
			return nil, ErrBodyRefused
		}
	}
	body := append(make([]byte, 0, size), first[:n]...)
	for {
		if len(body) == cap(body) {
			// Looks for the end before it grows a buffer of the right size.
			n, err := io.ReadFull(from, first[:])
			if err == io.EOF || len(body) > limit {
				return body, nil
			}
			if err != nil {
				return nil, err
			}
			grown := min(2*cap(body), limit+1)
			if !r.ReserveBody(int64(grown)) {
				return nil, ErrBodyRefused
			}
			old := cap(body)
			body = append(append(make([]byte, 0, grown), body...), first[:n]...)
			r.shrinkReservation(int64(old))
			continue
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func formatStatus(status int) string {
	return strconv.Itoa(status) + " " + http.StatusText(status)
}
