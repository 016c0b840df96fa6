package lab

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Site is a small deployment: a store, and some nodes with a backend server beside
// each.
type Site struct {
	Record *Record
	Store  *Store
	Nodes  []*Node
	// Trouble is false with TROUBLE=0.
	Trouble bool
	// IdleTimeoutS is idle_timeout_s of the next version of the configuration.
	IdleTimeoutS float64

	caseDir string
	dir     string
	binary  string
	version int
}

// Node is a node process with its addresses.
type Node struct {
	Name, Zone, Service                 string
	Callers, Peers, Control, Ready, App string
	LinkMbps                            float64
	Server                              *Server
	site                                *Site
	mu                                  sync.Mutex
	cmd                                 *exec.Cmd
	exited                              chan struct{}
	// MaxDescriptors is the limit of the process, 0 for that of this program.
	MaxDescriptors int
	startedAt      time.Time
	exitState      string
}

// NewSite starts a store in a temporary folder. The arguments of the program are
// the folder of the case and the node's program.
func NewSite() *Site {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM CASE-FOLDER NODE-PROGRAM")
		os.Exit(2)
	}
	s := &Site{Record: NewRecord(), Trouble: os.Getenv("TROUBLE") != "0", IdleTimeoutS: 15, caseDir: os.Args[1], binary: os.Args[2]}
	dir, err := os.MkdirTemp("", "review")
	s.must(err)
	s.dir = dir
	s.Store, err = StartStore()
	s.must(err)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		s.Finish(2, "interrupted")
	}()
	return s
}

func (s *Site) must(err error) {
	if err != nil {
		s.Finish(2, "the case could not run: "+err.Error())
	}
}

// Finish ends all processes, writes the record and exits.
func (s *Site) Finish(code int, text string) {
	s.Record.Print("exit %d: %s", code, text)
	for _, n := range s.Nodes {
		n.Kill()
	}
	s.Record.Write(s.caseDir)
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
	os.Exit(code)
}

// Ports of nodes and servers are below the usual range of outgoing connections, so
// that no connection takes one between its choice and its use.
const (
	firstPort = 12000
	portCount = 19000
)

// reserved holds the listeners of the addresses that are not in use yet, so that no
// other program takes them.
var reserved = map[string]net.Listener{}

// release frees a reserved address just before its use.
func release(addr string) {
	if l := reserved[addr]; l != nil {
		_ = l.Close()
		reserved[addr] = nil
	}
}

// freeAddr reserves a free loopback address.
func freeAddr() (string, error) {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		reserved[addr] = l
		return addr, nil
	}
	return "", errors.New("no free port")
}

// AddNode adds a node and starts its backend server, but not the node process.
func (s *Site) AddNode(name, zone, service string, server *Server) *Node {
	n := &Node{Name: name, Zone: zone, Service: service, LinkMbps: 1000, Server: server, site: s}
	for _, a := range []*string{&n.Callers, &n.Peers, &n.Control, &n.Ready, &n.App} {
		addr, err := freeAddr()
		s.must(err)
		*a = addr
	}
	s.Nodes = append(s.Nodes, n)
	server.Service, server.Zone, server.Addr, server.Control, server.Record = service, zone, n.App, n.Control, s.Record
	release(n.App)
	s.must(server.Start())
	return n
}

// Start starts the node process with the command of the deploy file.
func (n *Node) Start() error {
	text := fmt.Sprintf(`[node]
instance = %s
region = thies
failure_domain = %s
memory_mb = 284
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
drain_time = 2s
grace = 6s
attempt_window = 10s
attempt_ratio = 0.2
attempt_slack = 56
`, n.Name, n.Zone, n.LinkMbps, n.Callers, n.Peers, n.Control, n.Ready, n.Service, n.App, n.site.Store.Addr)
	file := filepath.Join(n.site.dir, n.Name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.site.binary, "platform")
	if n.MaxDescriptors > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" platform`, n.MaxDescriptors), n.site.binary)
	}
	cmd.Env = append(os.Environ(), "MANGOSTAND_BOOT="+file, "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	for _, addr := range []string{n.Callers, n.Peers, n.Control, n.Ready} {
		release(addr)
	}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited, n.startedAt = cmd, exited, time.Now()
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		n.mu.Lock()
		n.exitState = cmd.ProcessState.String()
		n.mu.Unlock()
		close(exited)
	}()
	n.site.Record.Add("node %s starts, process %d", n.Name, cmd.Process.Pid)
	return nil
}

// StartedAt returns when the current process was started.
func (n *Node) StartedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startedAt
}

// PID returns the process ID, 0 if there is no running process.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	select {
	case <-n.exited:
		return 0
	default:
		return n.cmd.Process.Pid
	}
}

// ExitState says how the last process ended.
func (n *Node) ExitState() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exitState
}

// LastLogLine returns the last error that the node has logged.
func (n *Node) LastLogLine() string {
	data, _ := os.ReadFile(filepath.Join(n.site.dir, n.Name+".ini.log"))
	last := ""
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, `"level":"error"`) {
			last = line
		}
	}
	return last
}

// Descriptors returns how many descriptors a process has.
func Descriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// Kill ends the node process with SIGKILL and waits for its end.
func (n *Node) Kill() {
	if pid := n.PID(); pid != 0 {
		_ = syscall.Kill(pid, syscall.SIGKILL)
		<-n.exited
	}
}

// IsReady reports whether the node answers its readiness check with 200.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + n.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Launch starts all nodes and waits until they are ready and the backend servers
// are known to all nodes.
func (s *Site) Launch() {
	for _, n := range s.Nodes {
		s.must(n.Start())
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range s.Nodes {
		for !n.IsReady() {
			if time.Now().After(deadline) {
				s.Finish(2, "node "+n.Name+" is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Traffic starts 8 s after the machines do, as in the deployments.
	time.Sleep(8 * time.Second)
}

// Rule is one route of the configuration.
type Rule struct {
	Name, Kind, Prefix, Service string
	TimeoutS, ObjectiveS        float64
	Priority, MaxAttempts       int
}

// Host is the host of all routes.
const Host = "ficu95.example"

// PublishConfig writes the next version of the configuration.
func (s *Site) PublishConfig(services []string, rules ...Rule) {
	s.version++
	list := []map[string]any{}
	for _, r := range rules {
		list = append(list, map[string]any{
			"name": r.Name, "kind": r.Kind, "target_latency_s": r.ObjectiveS, "priority": r.Priority,
			"match":  map[string]string{"prefix": r.Prefix},
			"action": map[string]any{"service": r.Service, "timeout_s": r.TimeoutS, "max_attempts": r.MaxAttempts},
		})
	}
	clusters := []map[string]any{}
	for _, name := range services {
		clusters = append(clusters, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 220, "protocol": "h1", "tls": false})
	}
	document, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("r%d", s.version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": MaxBodyBytes, "header_timeout_s": 3, "idle_timeout_s": s.IdleTimeoutS},
		"listeners": []map[string]any{{"host": Host, "rules": list}}, "clusters": clusters,
	})
	s.must(err)
	s.Store.Put("op/config", document)
	s.Record.Add("configuration r%d is written", s.version)
}

// MaxBodyBytes is the limit on bodies of requests in the configuration, as in the
// example of the users' pages.
const MaxBodyBytes = 67108864

// post sends a JSON call of a backend server to its control address.
func post(addr, path string, body any, timeout time.Duration) bool {
	data, _ := json.Marshal(body)
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+addr+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode/100 == 2
}
