package lab

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// NewID returns the ID of a new attempt of a client.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Reply is the answer that a client got, with Status 0 if there was none.
type Reply struct {
	ID        string
	Status    int
	Signature string
	EchoedID  string
	Body      []byte
	// Closes is true if the answer says that the connection closes after it.
	Closes bool
	Err    error
}

// Client keeps one connection open.
type Client struct {
	Addr string
	Conn net.Conn
	br   *bufio.Reader
}

// Reader returns the reader of the connection.
func (c *Client) Reader() *bufio.Reader { return c.br }

// Connect opens the connection if there is none.
func (c *Client) Connect() error {
	if c.Conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.Addr, time.Second)
	if err != nil {
		return err
	}
	c.Conn, c.br = conn, bufio.NewReader(conn)
	return nil
}

// Close closes the connection.
func (c *Client) Close() {
	if c.Conn != nil {
		_ = c.Conn.Close()
		c.Conn = nil
	}
}

// Head returns the head of a request without the blank line.
func Head(method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Mangostand-Request-Id: %s\r\nX-Mangostand-Deadline-Ms: %d\r\n", method, path, Host, id, deadline.Milliseconds())
}

// Do sends a request and reads its answer. It closes the connection at the
// deadline, after an error, and when the answer says so.
func (c *Client) Do(method, path, id string, body []byte, deadline time.Duration) Reply {
	reply := Reply{ID: id}
	if reply.Err = c.Connect(); reply.Err != nil {
		return reply
	}
	_ = c.Conn.SetDeadline(time.Now().Add(deadline))
	text := Head(method, path, id, deadline)
	if len(body) > 0 || method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, reply.Err = c.Conn.Write(append([]byte(text+"\r\n"), body...)); reply.Err != nil {
		c.Close()
		return reply
	}
	reply = ReadReply(c.br, method, id)
	if reply.Err != nil || reply.Closes {
		c.Close()
	}
	return reply
}

// ReadReply reads one answer.
func ReadReply(br *bufio.Reader, method, id string) Reply {
	reply := Reply{ID: id}
	r, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		reply.Err = err
		return reply
	}
	reply.Status, reply.Signature, reply.EchoedID = r.StatusCode, r.Header.Get("X-Mangostand-Server-Signature"), r.Header.Get("X-Mangostand-Request-Id")
	reply.Body, reply.Err = io.ReadAll(r.Body)
	reply.Closes = r.Close
	return reply
}

// Equal reports whether two bodies are the same.
func Equal(a, b []byte) bool { return bytes.Equal(a, b) }
