package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const host = "ficu95.example"

// exchange is one request of a client and what came back.
type exchange struct {
	id, path string
	// key is the API key, "" for none.
	key    string
	sentAt time.Time

	mu sync.Mutex
	// backend is the backend that signed the answer; head is set with the first bytes.
	head     bool
	status   int
	backend  string
	received int
	// endedAt is when the whole answer had arrived, or when the connection ended.
	endedAt  time.Time
	complete bool
}

func (e *exchange) inBody() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.head && e.received > 0 && e.endedAt.IsZero()
}

func (e *exchange) signer() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.backend
}

// endedBy reports whether the client had a final answer, whole or not, at a time.
func (e *exchange) endedBy(t time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.endedAt.IsZero() && !e.endedAt.After(t)
}

func (e *exchange) String() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	end := "no end"
	if !e.endedAt.IsZero() {
		end = fmt.Sprintf("ended after %.3f s, whole: %v", e.endedAt.Sub(e.sentAt).Seconds(), e.complete)
	}
	return fmt.Sprintf("%s %s: head %v, status %d, backend %q, %d bytes, %s", e.id, e.path, e.head, e.status, e.backend, e.received, end)
}

// clientConn is a connection of a client to the node of its machine.
type clientConn struct {
	conn net.Conn
	br   *bufio.Reader
	rec  *record
}

func dialClient(addr string, rec *record) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReaderSize(c, 64<<10), rec}, nil
}

// send writes requests one behind the other and returns without reading answers.
func (c *clientConn) send(deadline time.Duration, exchanges ...*exchange) error {
	var text strings.Builder
	for _, e := range exchanges {
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Mangostand-Request-Id: %s\r\nX-Mangostand-Deadline-Ms: %d\r\n", e.path, host, e.id, deadline.Milliseconds())
		if e.key != "" {
			fmt.Fprintf(&text, "Authorization: Bearer %s\r\n", e.key)
		}
		text.WriteString("\r\n")
	}
	for _, e := range exchanges {
		e.sentAt = time.Now()
		c.rec.printf("client sends %s %s", e.id, e.path)
	}
	_, err := io.WriteString(c.conn, text.String())
	return err
}

// receive reads the answers in the order of the requests.
func (c *clientConn) receive(exchanges ...*exchange) {
	ended := false
	for _, e := range exchanges {
		if !ended {
			ended = !c.receiveOne(e)
		}
		e.mu.Lock()
		e.endedAt = time.Now()
		e.mu.Unlock()
		c.rec.printf("client: %s", e)
	}
}

// receiveOne reads one answer and reports whether it was whole.
func (c *clientConn) receiveOne(e *exchange) bool {
	response, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodGet})
	if err != nil {
		return false
	}
	e.mu.Lock()
	e.head, e.status = true, response.StatusCode
	e.backend, _, _ = strings.Cut(response.Header.Get("X-Mangostand-Server-Signature"), ".")
	e.mu.Unlock()
	buf := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buf)
		e.mu.Lock()
		e.received += n
		e.complete = err == io.EOF
		e.mu.Unlock()
		if err != nil {
			return err == io.EOF
		}
	}
}

func (c *clientConn) close() { _ = c.conn.Close() }
