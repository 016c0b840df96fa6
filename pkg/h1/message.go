// Package h1 is an HTTP/1.1 client and server that track the state of each
// connection: the client reports whether a server may have received a failed
// request, and the server detects that a caller disconnects while it handles the
// caller's requests. It parses messages with net/http and contains no decision
// logic: it never retries a request, and the only statuses that it chooses are
// those of invalid requests.
package h1

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Request is a request that a Server received.
type Request struct {
	Method string
	// Target is the request target as received, with its query.
	Target string
	Host   string
	Header http.Header
	// Body is the complete body, or nil when AwaitsContinue reports true; see
	// AwaitBody.
	Body []byte
	// ReceivedAt is when the first byte of the request was available.
	ReceivedAt time.Time

	conn        *serverConn
	awaitedBody chan []byte
	// heldBytes is the size of the body that is reserved in Server.Bodies.
	heldBytes atomic.Int64
}

// ErrBodyRefused means that Server.Bodies has no room for a body.
const ErrBodyRefused = errors.ConstError("no memory for the request body")

// ReserveBody reserves memory for a body of a size until the response is written, and
// reports whether there is room. A handler calls it before SendInterim sends the 100
// response; a body of at most that size is then read without copies.
func (r *Request) ReserveBody(size int64) bool {
	if bodies := r.conn.server.Bodies; bodies != nil && !bodies.Reserve(size) {
		return false
	}
	r.heldBytes.Add(size)
	return true
}

// shrinkReservation releases a part of the reserved memory.
func (r *Request) shrinkReservation(size int64) {
	r.heldBytes.Add(-size)
	if bodies := r.conn.server.Bodies; bodies != nil {
		bodies.Release(size)
	}
}

// releaseBody releases the memory that is reserved for the body.
func (r *Request) releaseBody() {
	if size := r.heldBytes.Swap(0); size > 0 && r.conn.server.Bodies != nil {
		r.conn.server.Bodies.Release(size)
	}
}

// Response is what a Handler returns.
type Response struct {
	Status int
	Header http.Header
	// BufferedBody is a complete body in memory. It is used when Body is nil.
	BufferedBody []byte
	// Body is a streamed body. A read error closes the connection, so that the
	// caller does not take the response for complete.
	Body io.ReadCloser
	// ContentLength is the size of Body in bytes, -1 when it is not known.
	ContentLength int64
	// Abort closes the connection without a response.
	Abort bool
}

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1). Expect and Content-Length are set anew for each hop.
var hopByHopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// RemoveHopByHopHeaders removes the header fields that apply to a single
// connection: hopByHopHeaders and those named in Connection.
func RemoveHopByHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// writeHead writes a start line and header fields without the blank line.
func writeHead(buf *bytes.Buffer, startLine string, header http.Header) error {
	buf.WriteString(startLine)
	buf.WriteString("\r\n")
	return errors.Trace(header.Write(buf))
}

func writeHeaderField(buf *bytes.Buffer, name, value string) {
	buf.WriteString(name)
	buf.WriteString(": ")
	buf.WriteString(value)
	buf.WriteString("\r\n")
}

// bodyAllowed reports whether a response with this status to a request with this
// method has a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeResponse writes a response, with Connection: close if closeAfter is set. An
// error means that the response is incomplete.
func writeResponse(w *bufio.Writer, method string, r *Response, closeAfter bool) error {
	var head bytes.Buffer
	header := r.Header
	if header == nil {
		header = http.Header{}
	}
	RemoveHopByHopHeaders(header)
	startLine := "HTTP/1.1 " + formatStatus(r.Status)
	if err := writeHead(&head, startLine, header); err != nil {
		return err
	}
	if closeAfter {
		writeHeaderField(&head, "Connection", "close")
	}
	chunked := r.Body != nil && r.ContentLength < 0
	switch {
	case r.Body == nil:
		writeHeaderField(&head, "Content-Length", strconv.Itoa(len(r.BufferedBody)))
	case chunked && bodyAllowed(method, r.Status):
		writeHeaderField(&head, "Transfer-Encoding", "chunked")
	case r.ContentLength >= 0 && (r.Status >= 200 && r.Status != http.StatusNoContent):
		writeHeaderField(&head, "Content-Length", strconv.FormatInt(r.ContentLength, 10))
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
	buf := make([]byte, maxChunkBytes)
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

// maxChunkBytes is the largest chunk that is written. It matches a common buffer
// size for socket reads.
const maxChunkBytes = 16 << 10

// writeLastChunk writes a chunk and the end of the body, a large chunk without copying
// it.
func writeLastChunk(w io.Writer, data []byte) error {
	const end = "\r\n0\r\n\r\n"
	head := strconv.AppendInt(make([]byte, 0, 18), int64(len(data)), 16)
	head = append(head, "\r\n"...)
	if len(data) > maxInlineBodyBytes {
		buffers := net.Buffers{head, data, []byte(end)}
		_, err := buffers.WriteTo(w)
		return errors.Trace(err)
	}
	part := make([]byte, 0, len(head)+len(data)+len(end))
	part = append(append(append(part, head...), data...), end...)
	_, err := w.Write(part)
	return errors.Trace(err)
}

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
