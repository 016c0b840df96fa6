package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReader(c) }

// result is what a client saw of one request.
type result struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int
	body   string
	// err is why there is no complete answer.
	err error
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("%s: no complete answer (%v) %.3f s after it was sent", r.id, r.err, r.ended.Sub(r.sent).Seconds())
	}
	return fmt.Sprintf("%s: status %d, %d bytes, %.3f s after it was sent", r.id, r.status, len(r.body), r.ended.Sub(r.sent).Seconds())
}

// clientRecord receives a line for each request that a client has sent.
var clientRecord *record

// note records what a client saw.
func note(addr string, r result) {
	if clientRecord != nil {
		clientRecord.printf("client: sent to %s: %s", addr, r)
	}
}

// requestText is a request without a body.
func requestText(method, path, id string, deadline time.Duration) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Mangostand-Request-Id: %s\r\nX-Mangostand-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method == http.MethodPost {
		text += "Content-Length: 0\r\n"
	}
	return text + "\r\n"
}

// readAnswer reads one answer from a connection.
func readAnswer(br *bufio.Reader, method string) (status int, body string, closing bool, err error) {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return 0, "", false, err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Close, err
}

// send sends one request on a new connection and reads the answer.
func send(addr, method, path, id string, deadline time.Duration) result {
	return sendText(addr, method, requestText(method, path, id, deadline), id, deadline)
}

// sendText sends the text of one request on a new connection and reads the answer.
func sendText(addr, method, text, id string, deadline time.Duration) result {
	r := result{id: id, sent: time.Now()}
	defer func() { note(addr, r) }()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		r.err, r.ended = fmt.Errorf("not connected: %w", err), time.Now()
		return r
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	r.sent = time.Now()
	if _, err := io.WriteString(c, text); err != nil {
		r.err, r.ended = err, time.Now()
		return r
	}
	r.status, r.body, _, r.err = readAnswer(newReader(c), method)
	r.ended = time.Now()
	return r
}
