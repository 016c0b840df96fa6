// Package h1 carries HTTP/1.1 messages over connections whose state is known at
// every step: a client learns whether any byte of a request may have left, and
// a server learns that a caller has gone while earlier requests still run. It
// parses with net/http and holds no decision: it never repeats a request and
// chooses no status beyond those of malformed messages.
package h1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Request is one request that a server received.
type Request struct {
	Method string
	// Target is the request target as it was received, with its query.
	Target string
	Host   string
	Header http.Header
	// Body is whole unless the request is held, see AwaitBody.
	Body []byte
	// ReceivedAt is when the first byte of the request was read.
	ReceivedAt time.Time

	conn *serverConn
	body chan []byte
}

// Response is what a server answers.
type Response struct {
	Status int
	Header http.Header
	// BufferedBody is a short whole body. It is used when Body is nil.
	BufferedBody []byte
	// Body is a streamed body. A read error breaks the connection off, so that
	// the answer does not look complete.
	Body io.ReadCloser
	// ContentLength is the size of Body in bytes, -1 when not known.
	ContentLength int64
	// Broken closes the connection without an answer.
	Broken bool
}

// hopHeaders concern one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// RemoveHopByHopHeaders removes the headers of one connection: the well-known ones
// and those that Connection names. The framing is set anew for each hop.
func RemoveHopByHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// appendHead writes a start line and headers without the blank line.
func appendHead(buf *bytes.Buffer, start string, header http.Header) error {
	buf.WriteString(start)
	buf.WriteString("\r\n")
	return errors.Trace(header.Write(buf))
}

func writeLine(buf *bytes.Buffer, name, value string) {
	buf.WriteString(name)
	buf.WriteString(": ")
	buf.WriteString(value)
	buf.WriteString("\r\n")
}

// bodyAllowed reports whether an answer with the status to the method has a
// body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeResponse writes a response and reports whether the connection may carry
// another one. An error means that the answer is not complete.
func writeResponse(w *bufio.Writer, method string, r *Response, last bool) error {
	var head bytes.Buffer
	header := r.Header
	if header == nil {
		header = http.Header{}
	}
	RemoveHopByHopHeaders(header)
	start := "HTTP/1.1 " + httpStatus(r.Status)
	if err := appendHead(&head, start, header); err != nil {
		return err
	}
	if last {
		writeLine(&head, "Connection", "close")
	}
	chunked := r.Body != nil && r.ContentLength < 0
	switch {
	case r.Body == nil:
		writeLine(&head, "Content-Length", strconv.Itoa(len(r.BufferedBody)))
	case chunked && bodyAllowed(method, r.Status):
		writeLine(&head, "Transfer-Encoding", "chunked")
	case r.ContentLength >= 0 && (r.Status >= 200 && r.Status != http.StatusNoContent):
		writeLine(&head, "Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	head.WriteString("\r\n")
	if _, err := w.Write(head.Bytes()); err != nil {
		return errors.Trace(err)
	}
	if bodyAllowed(method, r.Status) {
		if err := writeBody(w, r, chunked); err != nil {
			return err
		}
	}
	return errors.Trace(w.Flush())
}

func writeBody(w *bufio.Writer, r *Response, chunked bool) error {
	if r.Body == nil {
		_, err := w.Write(r.BufferedBody)
		return errors.Trace(err)
	}
	if !chunked {
		n, err := io.Copy(w, r.Body)
		if err == nil && n != r.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return errors.Trace(err)
	}
	buf := make([]byte, chunkSize)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 {
			if werr := writeChunk(w, buf[:n]); werr != nil {
				return errors.Trace(werr)
			}
		}
		if err == io.EOF {
			_, err = w.WriteString("0\r\n\r\n")
			return errors.Trace(err)
		}
		if err != nil {
			return errors.Trace(err)
		}
	}
}

// chunkSize is the largest chunk that is written, in bytes; it matches the
// usual buffer of a socket read.
const chunkSize = 16 << 10

func writeChunk(w io.Writer, data []byte) error {
	if _, err := io.WriteString(w, strconv.FormatInt(int64(len(data)), 16)+"\r\n"); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}
