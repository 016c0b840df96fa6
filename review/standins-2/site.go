package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// server is an HTTP server that can be stopped.
type server struct{ http *http.Server }

func (s *server) start(addr string, handler http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: handler}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// usedAddrs holds the addresses that freeAddr has returned.
var usedAddrs = map[string]bool{}

// freeAddr returns a loopback address that is free now. Its host differs between
// processes, its port is below those of outgoing connections.
func freeAddr() string {
	for {
		addr := fmt.Sprintf("127.%d.%d.1:%d", 1+os.Getpid()>>8%250, 1+os.Getpid()%250, 12000+rand.IntN(20000))
		if usedAddrs[addr] {
			continue
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			usedAddrs[addr] = true
			return addr
		}
	}
}

// record writes what happens to record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// run is what a backend has begun to work on.
type run struct {
	id, backend string
	at          time.Time
}

// runLog is the list of all runs of a site.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run{}, l.runs...)
}

// backend is a stand-in of an application backend.
type backend struct {
	service, addr, control string
	slots                  int
	log                    *runLog
	rec                    *record
	// backAfter is when the backend starts again after a request to crashPath, 0 if such
	// a request does not crash it. With beforeAnswer it crashes before the first byte of
	// its answer.
	backAfter    time.Duration
	beforeAnswer bool

	leaving  atomic.Bool
	silent   atomic.Bool
	running  atomic.Int64
	sequence atomic.Int64

	mu sync.Mutex
	// id and born are those of the current start, cancel ends its heartbeats.
	id       string
	born     int64
	starts   int
	listener server
	cancel   context.CancelFunc
	// crashed holds the times of its crashes.
	crashed []time.Time
}

// identity returns the id and the start time of the current start.
func (b *backend) identity() (string, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.id, b.born
}

const healthPath = "/healthz"

// start starts the backend, each time under a new id.
func (b *backend) start() error {
	ctx, cancel := context.WithCancel(context.Background())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.born, b.cancel = time.Now().UnixMilli(), cancel
	if b.starts++; b.starts > 1 {
		b.id = fmt.Sprintf("%s-%d", strings.SplitN(b.id, "-start", 2)[0]+"-start", b.starts)
		b.rec.printf("backend %s has started", b.id)
	}
	if err := b.listener.start(b.addr, http.HandlerFunc(b.handle)); err != nil {
		return err
	}
	go func() {
		for ctx.Err() == nil {
			if !b.silent.Load() {
				_ = b.heartbeat(b.sequence.Add(1), "ready")
			}
			select {
			case <-ctx.Done():
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
	return nil
}

// crash ends the backend while it sends its answer, as a process that dies does, and
// starts it again later.
func (b *backend) crash(w http.ResponseWriter, id string) {
	self, _ := b.identity()
	if !b.beforeAnswer {
		body := answer(id, readBytes)
		w.Header().Set("X-Mangostand-Server-Signature", self+"."+id)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
	b.mu.Lock()
	b.crashed = append(b.crashed, time.Now())
	b.mu.Unlock()
	b.rec.printf("backend %s crashes", self)
	b.stop()
	time.AfterFunc(b.backAfter, func() { _ = b.start() })
}

func (b *backend) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancel()
	_ = b.listener.http.Close()
}

func (b *backend) handle(w http.ResponseWriter, r *http.Request) {
	self, _ := b.identity()
	w.Header().Set("X-Mangostand-Server-Load", fmt.Sprintf("%d,0,%d,100", b.running.Load(), b.slots))
	if r.URL.Path == healthPath {
		w.Header().Set("X-Mangostand-Instance-Id", self)
		if b.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Mangostand-Request-Id")
	w.Header().Set("X-Mangostand-Request-Id", id)
	if expect := r.Header.Get("X-Mangostand-Expect-Instance"); expect != "" && expect != self {
		w.Header().Set("X-Mangostand-Instance-Id", self)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	left, _ := strconv.Atoi(r.Header.Get("X-Mangostand-Deadline-Ms"))
	b.log.add(run{id, self, time.Now()})
	b.rec.printf("backend %s runs %s %s", self, id, r.URL.Path)
	b.running.Add(1)
	defer b.running.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	work := workTime(r.URL.Path)
	if r.URL.Path == crashPath && b.backAfter > 0 {
		time.Sleep(50 * time.Millisecond)
		b.crash(w, id)
		return
	}
	if limit := time.Duration(left) * time.Millisecond; work > limit {
		time.Sleep(limit)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	time.Sleep(work)
	body := answer(id, bodySize(r.URL.Path))
	w.Header().Set("X-Mangostand-Server-Signature", self+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// answer returns the body of the answer to a request.
func answer(id string, size int) []byte {
	return bytes.Repeat([]byte(id+"\n"), size/(len(id)+1)+1)[:size]
}

// heartbeat sends one heartbeat and returns an error unless it is acknowledged.
func (b *backend) heartbeat(sequence int64, state string) error {
	_, born := b.identity()
	body, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.addr, "zone": "thies-nord", "version": "v1", "capacity": b.slots, "state": state,
		"warmup_left_s": 0, "sequence": sequence, "born": born,
	})
	return b.announce("heartbeat", body)
}

func (b *backend) deregister() error {
	_, born := b.identity()
	body, _ := json.Marshal(map[string]any{"born": born})
	return b.announce("deregister", body)
}

func (b *backend) announce(call string, body []byte) error {
	id, _ := b.identity()
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+b.control+"/instances/"+id+"/"+call, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s: status %d", call, response.StatusCode)
	}
	return nil
}

// node is a process of the project on one machine, with the backend beside it.
type node struct {
	name, zone                         string
	callers, peers, control, readiness string
	// relay is in front of peers; other nodes dial it.
	relay   *relay
	backend *backend
	file    string
	log     *os.File
	cmd     *exec.Cmd
}

// site is a small deployment.
type site struct {
	binary, dir string
	rec         *record
	runs        *runLog
	store       *store
	storeAddr   string
	nodes       []*node
	// moreSettings are further lines of the section platform.
	moreSettings string
}

// newSite starts a store and, for each named service, a node with a backend.
func newSite(l *lab, config string, services []string) (*site, error) {
	rec := l.rec
	s := &site{binary: l.binary, dir: l.dir, rec: rec, runs: &runLog{}, store: newStore(), storeAddr: freeAddr(), moreSettings: l.moreSettings}
	s.store.staleness = l.staleness
	if err := s.store.start(s.storeAddr); err != nil {
		return nil, err
	}
	s.store.put("op/config", []byte(config))
	zones := []string{"thies-nord", "thies-sud", "thies-gare"}
	for i, service := range services {
		n := &node{
			name: fmt.Sprintf("sidecar-%d", i+1), zone: zones[i%len(zones)],
			callers: freeAddr(), peers: freeAddr(), control: freeAddr(), readiness: freeAddr(),
		}
		var err error
		if n.relay, err = newRelay(n.peers); err != nil {
			return nil, err
		}
		n.backend = &backend{
			id: fmt.Sprintf("i-%d", i+1), service: service, addr: freeAddr(), control: n.control, slots: backendSlots, log: s.runs, rec: rec,
		}
		if err := n.writeSettings(s); err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		if err := n.backend.start(); err != nil {
			return nil, err
		}
		if err := n.start(s); err != nil {
			return nil, err
		}
	}
	return s, s.awaitReady(15 * time.Second)
}

// writeSettings writes what deploy/mangostandd.ini.tmpl renders for ctrt-mesh, with
// loopback addresses.
func (n *node) writeSettings(s *site) error {
	n.file = filepath.Join(s.dir, n.name+".ini")
	return os.WriteFile(n.file, fmt.Appendf(nil, `[node]
instance = %s
region = thies
failure_domain = %s
memory_mb = 284
max_descriptors = 4100
link_mbps = 1000
[listen]
callers = %s
peers = %s
advertise_peers = %s
local = %s
readiness = %s
[backend_server]
service = %s
address = %s
[platform]
store = http://%s
drain_time = 2s
grace = 6s
attempt_window = 10s
attempt_ratio = 0.2
attempt_slack = 56
%s`, n.name, n.zone, n.callers, n.peers, n.relay.addr, n.control, n.readiness, n.backend.service, n.backend.addr, s.storeAddr, s.moreSettings), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start(s *site) error {
	log, err := os.OpenFile(filepath.Join(s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(s.binary, "platform")
	n.cmd.Env = []string{"MANGOSTAND_BOOT=" + n.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	defer log.Close()
	return spawn(n.cmd)
}

// spawn starts a process that the kernel ends if this one ends. The kernel watches the
// thread that starts it, so all are started on one that stays.
func spawn(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	startSpawner.Do(func() {
		go func() {
			runtime.LockOSThread()
			for cmd := range toSpawn {
				spawned <- cmd.Start()
			}
		}()
	})
	spawnMu.Lock()
	defer spawnMu.Unlock()
	toSpawn <- cmd
	return <-spawned
}

var (
	startSpawner sync.Once
	spawnMu      sync.Mutex
	toSpawn      = make(chan *exec.Cmd)
	spawned      = make(chan error)
)

// signal sends a signal to the process of the node.
func (n *node) signal(sig syscall.Signal) { _ = n.cmd.Process.Signal(sig) }

// kill ends the process at once.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	_ = n.cmd.Wait()
}

func (s *site) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range s.nodes {
		for !isReady(n) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(n *node) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// crashTimes returns the times of all crashes of backends in order.
func (s *site) crashTimes() []time.Time {
	var times []time.Time
	for _, n := range s.nodes {
		n.backend.mu.Lock()
		times = append(times, n.backend.crashed...)
		n.backend.mu.Unlock()
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	return times
}

func (s *site) stop() {
	for _, n := range s.nodes {
		if n.cmd != nil && n.cmd.ProcessState == nil {
			n.signal(syscall.SIGCONT)
			n.kill()
		}
		n.backend.stop()
		n.relay.close()
	}
	_ = s.store.listener.http.Close()
}

// relay forwards TCP connections to an address. While it is dark, it forwards nothing
// and closes nothing, as a machine without power.
type relay struct {
	addr, target string
	listener     net.Listener
	mu           sync.Mutex
	dark         bool
	conns        []net.Conn
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", freeAddr())
	if err != nil {
		return nil, err
	}
	r := &relay{addr: l.Addr().String(), target: target, listener: l}
	go r.serve()
	return r, nil
}

func (r *relay) setDark(dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dark = dark
}

func (r *relay) isDark() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dark
}

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns = append(r.conns, in)
		dark := r.dark
		r.mu.Unlock()
		if dark {
			continue
		}
		go r.forward(in)
	}
}

func (r *relay) forward(in net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		if !r.isDark() {
			reset(in)
		}
		return
	}
	go r.copy(in, out)
	r.copy(out, in)
}

// copy forwards bytes in one direction. The end of one side is passed on unless the
// machine has lost its power.
func (r *relay) copy(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if r.isDark() {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	// The process may have ended in the moment in which the machine loses its power.
	time.Sleep(5 * time.Millisecond)
	if !r.isDark() {
		_ = to.Close()
		_ = from.Close()
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}
