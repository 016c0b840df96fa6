// Command lab plays the cases 11 to 15 of the review: node processes started with
// the command of the deploy file, and stand-ins of the store, of backend servers and
// of clients in this process.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record writes the lines of record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// site is a store and some machines, each with a backend server and a node process.
type site struct {
	rec      *record
	dir      string
	binary   string
	args     []string
	store    *store
	machines []*machine
	linkMbps float64
	base     int
	// extraSettings are further lines of the section [platform].
	extraSettings string
	// tenants are those of the configuration, nil for a configuration without the field.
	tenants []tenant
}

type machine struct {
	site    *site
	name    string
	ip      string
	zone    string
	service string
	backend *backend

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

const (
	offReady, offOutbound, offApp, offInbound, offControl = 0, 1, 4, 5, 6
)

func (m *machine) addr(off int) string { return fmt.Sprintf("%s:%d", m.ip, m.site.base+off) }

// newSite starts the store and n backend servers; the node processes are started by startAll.
func newSite(rec *record, dir string, n int, service string) (*site, error) {
	root := os.Getenv("REPO")
	command := strings.Fields(os.Getenv("RUN"))
	s := &site{rec: rec, dir: dir, binary: filepath.Join(root, command[0]), args: command[1:], linkMbps: 1000}
	s.base = 20000 + (os.Getpid()*37)%9000
	for ; ; s.base += 16 {
		if free(s.base, n) {
			break
		}
	}
	var err error
	if s.store, err = startStore("127.0.9.1:0"); err != nil {
		return nil, err
	}
	for i := range n {
		m := &machine{site: s, name: fmt.Sprintf("sidecar-%d", i+1), ip: fmt.Sprintf("127.0.9.%d", 10+i), zone: "zone-a", service: service}
		s.machines = append(s.machines, m)
	}
	return s, nil
}

func free(base, n int) bool {
	for i := range n {
		for off := range 8 {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.9.%d:%d", 10+i, base+off))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// settings renders deploy/mangostandd.ini.tmpl for a machine of a small site.
func (m *machine) settings(bootstrap bool) string {
	boot := ""
	if bootstrap {
		boot = "bootstrap = yes\n"
	}
	return fmt.Sprintf(`# Settings of a node; filled in by the platform at each start and change.
[node]
instance = %s
region = region-a
failure_domain = %s
memory_mb = 284
max_descriptors = 4100
link_mbps = %g

[listen]
callers = %s
peers = %s
local = %s
readiness = %s

[backend_server]
service = %s
address = %s

[platform]
store = http://%s
%sdrain_time = 2s
grace = 6s
attempt_window = 10s
attempt_ratio = 0.2
attempt_slack = 56
%s`, m.name, m.zone, m.site.linkMbps, m.addr(offOutbound), m.addr(offInbound), m.addr(offControl), m.addr(offReady), m.service, m.addr(offApp), m.site.store.addr, boot, m.site.extraSettings)
}

// start starts the node process.
func (m *machine) start(bootstrap bool) error {
	path := filepath.Join(m.site.dir, m.name+".ini")
	if err := os.WriteFile(path, []byte(m.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.site.binary, m.site.args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOSTAND_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	m.site.rec.printf("%s: node process started", m.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		m.site.rec.printf("%s: node process ended (%v)", m.name, err)
		close(exited)
	}()
	return nil
}

func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
	default:
		m.site.rec.printf("%s: signal %v", m.name, sig)
		_ = cmd.Process.Signal(sig)
	}
}

// waitExit waits for the end of the node process and kills it after the grace time,
// as the platform does.
func (m *machine) waitExit(grace time.Duration) {
	select {
	case <-m.exited:
		return
	case <-time.After(grace):
	}
	m.signal(syscall.SIGKILL)
	<-m.exited
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.addr(offReady) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *site) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range s.machines {
		if err := m.waitReady(time.Until(end)); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); !m.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	return nil
}

// stop ends all node processes that this site started.
func (s *site) stop() {
	for _, m := range s.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range s.machines {
		if m.exited != nil {
			<-m.exited
		}
	}
}

// route is a rule of the configuration.
type route struct {
	prefix, kind    string
	target, timeout float64
	service         string
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Rate     float64  `json:"rate_per_s"`
	Burst    float64  `json:"burst"`
}

const host = "site.example"

func (s *site) publish(version int, routes []route) {
	var rules []map[string]any
	services := map[string]bool{}
	for i, r := range routes {
		services[r.service] = true
		rules = append(rules, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "kind": r.kind, "target_latency_s": r.target, "priority": 1,
			"match":  map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_s": r.timeout, "max_attempts": 2},
		})
	}
	var clusters []map[string]any
	for name := range services {
		clusters = append(clusters, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 220, "protocol": "h1", "tls": false})
	}
	document := map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []any{map[string]any{"host": host, "rules": rules}},
		"clusters":  clusters,
	}
	if s.tenants != nil {
		document["tenants"] = s.tenants
	}
	data, _ := json.Marshal(document)
	s.store.put("op/config", data)
	s.rec.printf("operator: version r%d is acknowledged", version)
}

// backend stands in for a backend server.
type backend struct {
	m        *machine
	id       string
	capacity int
	queueMax int
	born     int64
	work     func(path string) time.Duration
	// respond writes the answer to a request that has run.
	respond func(b *backend, conn net.Conn, id, path string)

	// onRun, if set, is called with each request that begins to run.
	onRun func(id string, req *http.Request, body []byte)

	sequence atomic.Int64
	leaving  atomic.Bool
	silent   atomic.Bool
	slots    chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64
	listener net.Listener

	mu   sync.Mutex
	runs map[string]time.Time
}

func (m *machine) startBackend(capacity int, work func(string) time.Duration, respond func(*backend, net.Conn, string, string)) error {
	l, err := net.Listen("tcp", m.addr(offApp))
	if err != nil {
		return err
	}
	b := &backend{m: m, id: "i-" + m.name, capacity: capacity, queueMax: 2 * capacity, born: time.Now().UnixMilli(), work: work, respond: respond, slots: make(chan struct{}, capacity), listener: l, runs: map[string]time.Time{}}
	m.backend = b
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	go b.heartbeats()
	return nil
}

func (b *backend) load() string {
	return fmt.Sprintf("%d,%d,%d,100", b.running.Load(), b.waiting.Load(), b.capacity)
}

// body returns the heartbeat with a sequence number.
func (b *backend) body(state string, sequence int64) []byte {
	data, _ := json.Marshal(map[string]any{
		"service": b.m.service, "address": b.m.addr(offApp), "zone": b.m.zone, "version": "v1", "capacity": b.capacity,
		"state": state, "warmup_left_s": 0, "sequence": sequence, "born": b.born,
	})
	return data
}

func (b *backend) post(what string, body []byte) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+b.m.addr(offControl)+"/instances/"+b.id+"/"+what, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

const heartbeatInterval = 1500 * time.Millisecond

func (b *backend) heartbeats() {
	for !b.silent.Load() {
		ok := b.post("heartbeat", b.body("ready", b.sequence.Add(1)))
		if !ok {
			time.Sleep(300 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeatInterval)
	}
}

// deregister announces the leaving of a backend server that never reports draining.
func (b *backend) deregister() bool {
	b.silent.Store(true)
	b.leaving.Store(true)
	data, _ := json.Marshal(map[string]any{"born": b.born, "sequence": b.sequence.Add(1)})
	return b.post("deregister", data)
}

// serve answers the requests of one connection, one at a time.
func (b *backend) serve(c net.Conn) {
	defer c.Close()
	br := newReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Mangostand-Request-Id")
		reqBody, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		common := "X-Mangostand-Instance-Id: " + b.id + "\r\nX-Mangostand-Server-Load: " + b.load() + "\r\n"
		if id != "" {
			common += "X-Mangostand-Request-Id: " + id + "\r\n"
		}
		if req.URL.Path == "/healthz" {
			status := "200 OK"
			if b.leaving.Load() {
				status = "503 Service Unavailable"
			}
			fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", status, common)
			continue
		}
		if expect := req.Header.Get("X-Mangostand-Expect-Instance"); expect != "" && expect != b.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", common)
			continue
		}
		if id == "" {
			fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\n%sX-Mangostand-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", common)
			continue
		}
		ms, _ := strconv.Atoi(req.Header.Get("X-Mangostand-Deadline-Ms"))
		if !b.take(time.Duration(ms) * time.Millisecond) {
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sX-Mangostand-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", common)
			continue
		}
		b.running.Add(1)
		b.mu.Lock()
		b.runs[id] = time.Now()
		b.mu.Unlock()
		b.m.site.rec.printf("%s: runs %s %s %s", b.id, id, req.Method, req.URL.Path)
		if b.onRun != nil {
			b.onRun(id, req, reqBody)
		}
		time.Sleep(b.work(req.URL.Path))
		b.running.Add(-1)
		<-b.slots
		b.respond(b, c, id, req.URL.Path)
	}
}

// take waits for a slot and reports whether there was one in time.
func (b *backend) take(limit time.Duration) bool {
	select {
	case b.slots <- struct{}{}:
		return true
	default:
	}
	if b.waiting.Add(1) > int64(b.queueMax) {
		b.waiting.Add(-1)
		return false
	}
	defer b.waiting.Add(-1)
	select {
	case b.slots <- struct{}{}:
		return true
	case <-time.After(limit):
		return false
	}
}

// answerHead is the head of a complete answer of a backend server.
func (b *backend) answerHead(id string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Mangostand-Request-Id: %s\r\nX-Mangostand-Server-Signature: sig.%s.%s\r\nX-Mangostand-Server-Load: %s\r\nContent-Length: %d\r\n\r\n",
		id, b.id, id, b.load(), length)
}

func answerBody(id string) string { return "answer to " + id + "\n" }

// plainAnswer writes a short complete answer.
func plainAnswer(b *backend, c net.Conn, id, _ string) {
	body := answerBody(id)
	_, _ = io.WriteString(c, b.answerHead(id, len(body))+body)
}

// ran reports when a request began to run at the backend server.
func (b *backend) ran(id string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.runs[id]
	return at, ok
}
