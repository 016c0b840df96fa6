package lab

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Work says how a server runs a request.
type Work struct {
	Duration time.Duration
	// Body is the body of the answer.
	Body []byte
}

// Server is a backend server that follows the users' pages: it runs Capacity
// requests at once and queues a few more, serves one request at a time on a
// connection, echoes request IDs, and drops a request when its connection closes.
type Server struct {
	ID, Service, Zone, Addr, Control string
	Capacity                         int
	Record                           *Record
	// Run returns the work of a request.
	Run func(r *http.Request, body []byte) Work
	// OnArrival is called when a request reaches the server, OnStart when the
	// server begins to work on it. Health checks and refused requests don't count.
	OnArrival func(id string)
	OnStart   func(id string, r *http.Request, body []byte)
	// Health returns the status of a health check, nil means 200 unless the server
	// is leaving.
	Health func() int
	// Extra reports whether the server sends a second copy of an answer, late: at
	// the point where the next answer on the connection is expected.
	Extra func() bool
	// Heartbeats delivers a heartbeat; nil sends it to the control address.
	Deliver func(path string, body map[string]any)
	// BreakOff returns the number of bytes of the body after which the answer ends
	// with its connection, -1 for all.
	BreakOff func(r *http.Request) int

	Born     int64
	Leaving  atomic.Bool
	silent   atomic.Bool
	sequence atomic.Int64
	running  atomic.Int64
	waiting  atomic.Int64
	slots    chan struct{}
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	ended    atomic.Bool
}

const queueLength = 36

// Start listens and sends a heartbeat each 1.5 s.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	s.listener, s.Born, s.slots, s.conns = l, time.Now().UnixMilli(), make(chan struct{}, s.Capacity), map[net.Conn]struct{}{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	go func() {
		for !s.ended.Load() && !s.silent.Load() {
			s.Beat()
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return nil
}

// HeartbeatBody returns the next heartbeat.
func (s *Server) HeartbeatBody() map[string]any {
	return map[string]any{
		"service": s.Service, "address": s.Addr, "zone": s.Zone, "version": "v1", "capacity": s.Capacity, "state": "ready",
		"warmup_left_s": 0, "sequence": s.sequence.Add(1), "born": s.Born,
	}
}

// Beat sends a heartbeat.
func (s *Server) Beat() {
	body := s.HeartbeatBody()
	if s.Deliver != nil {
		s.Deliver("/instances/"+s.ID+"/heartbeat", body)
		return
	}
	s.PostControl("/instances/"+s.ID+"/heartbeat", body)
}

// PostControl sends a call to the control address and reports whether it was
// acknowledged.
func (s *Server) PostControl(path string, body map[string]any) bool {
	ok := post(s.Control, path, body, time.Second)
	s.Record.Add("server %s: POST %s sequence %v, acknowledged: %v", s.ID, path, body["sequence"], ok)
	return ok
}

// Deregister says that the server leaves, without a draining state before, until
// it is acknowledged or the attempts are used up.
func (s *Server) Deregister() bool {
	s.Leaving.Store(true)
	s.silent.Store(true)
	for range 5 {
		if s.PostControl("/instances/"+s.ID+"/deregister", map[string]any{"sequence": s.sequence.Add(1), "born": s.Born}) {
			return true
		}
	}
	return false
}

// End ends the server as a process that exits.
func (s *Server) End() {
	s.ended.Store(true)
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) load() string {
	return fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.waiting.Load(), s.Capacity)
}

func answer(status int, header [][2]string, body []byte) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n", len(body))
	return append([]byte(b.String()), body...)
}

// Signature is the signature of a server's answer to a request.
func Signature(server, id string, body []byte) string {
	return fmt.Sprintf("%s.%s.%08x", server, id, crc32.ChecksumIEEE(body))
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	var late []byte
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			s.Record.Add("server %s: second copy of an earlier answer, before the answer to %s %s %q", s.ID, r.Method, r.URL.Path, r.Header.Get("X-Mangostand-Request-Id"))
			late = nil
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		data, cut := s.handle(c, br, r, body)
		if data == nil {
			return
		}
		if _, err := c.Write(data); err != nil || cut {
			return
		}
		if s.Extra != nil && s.Extra() {
			late = data
		}
	}
}

// handle returns the bytes of an answer, nil to drop the connection, and whether
// the connection ends after them.
func (s *Server) handle(c net.Conn, br *bufio.Reader, r *http.Request, body []byte) ([]byte, bool) {
	if r.URL.Path == "/healthz" {
		status := http.StatusOK
		if s.Leaving.Load() {
			status = http.StatusServiceUnavailable
		}
		if s.Health != nil {
			status = s.Health()
		}
		time.Sleep(time.Millisecond)
		return answer(status, [][2]string{{"X-Mangostand-Instance-Id", s.ID}, {"X-Mangostand-Server-Load", s.load()}}, nil), false
	}
	id := r.Header.Get("X-Mangostand-Request-Id")
	echo := [][2]string{{"X-Mangostand-Request-Id", id}, {"X-Mangostand-Server-Load", s.load()}}
	if expected := r.Header.Get("X-Mangostand-Expect-Instance"); expected != "" && expected != s.ID {
		return answer(http.StatusMisdirectedRequest, append(echo, [2]string{"X-Mangostand-Instance-Id", s.ID}), nil), false
	}
	refused := append(echo, [2]string{"X-Mangostand-Not-Executed", "1"})
	ms, err := strconv.Atoi(r.Header.Get("X-Mangostand-Deadline-Ms"))
	if id == "" || err != nil {
		return answer(http.StatusBadRequest, refused, nil), false
	}
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	// The reader sees the end of the connection while the request waits and runs.
	gone, peeked := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(peeked)
		if _, err := br.Peek(1); err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				return
			}
			close(gone)
		}
	}()
	defer func() {
		_ = c.SetReadDeadline(time.Now())
		<-peeked
		_ = c.SetReadDeadline(time.Time{})
	}()
	if s.waiting.Load() >= queueLength {
		return answer(http.StatusServiceUnavailable, refused, nil), false
	}
	s.waiting.Add(1)
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
	case <-deadline:
		s.waiting.Add(-1)
		return answer(http.StatusServiceUnavailable, refused, nil), false
	case <-gone:
		s.waiting.Add(-1)
		return nil, false
	}
	s.running.Add(1)
	defer func() {
		s.running.Add(-1)
		<-s.slots
	}()
	if s.OnStart != nil {
		s.OnStart(id, r, body)
	}
	s.Record.Add("server %s: runs %s %s %s", s.ID, r.Method, r.URL.Path, id)
	work := s.Run(r, body)
	select {
	case <-time.After(work.Duration):
	case <-deadline:
		return answer(http.StatusGatewayTimeout, append(echo, [2]string{"X-Mangostand-Server-Signature", Signature(s.ID, id, nil)}), nil), false
	case <-gone:
		s.Record.Add("server %s: drops %s, its connection is closed", s.ID, id)
		return nil, false
	}
	data := answer(http.StatusOK, append(echo, [2]string{"X-Mangostand-Server-Signature", Signature(s.ID, id, work.Body)}), work.Body)
	if s.BreakOff != nil {
		if n := s.BreakOff(r); n >= 0 {
			s.Record.Add("server %s: breaks off the answer to %s", s.ID, id)
			return data[:len(data)-len(work.Body)+n], true
		}
	}
	s.Record.Add("server %s: has run %s", s.ID, id)
	return data, false
}
