// Package meshsite runs nodes for the platform as separate processes on one
// machine, beside backend servers and a store that stand in for the platform.
// Loopback relays lie on the ways between them, so that faults come from
// outside the processes. It is not shipped to production.
package meshsite

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/standin/store"
	"mangostand.example/mangostand/pkg/standin/tcprelay"
	"mangostand.example/mangostand/platform"
	"mangostand.example/mangostand/platform/standin"
)

// Options describe a site.
type Options struct {
	// Binary is the path of mangostandd, Dir holds settings and logs.
	Binary string
	Dir    string
	Nodes  int
	// Service, Slots and Work describe the backend servers.
	Service     string
	Slots       int
	ServiceTime time.Duration
	// RouteTimeout is that of the routes.
	RouteTimeout time.Duration
	// MaxProcs bounds the processors that a node uses, 0 for all. The platform
	// gives a node one.
	MaxProcs int
	// RestartDelay is how long a backend server is away after the request that
	// crashes it; 0 means that none does.
	RestartDelay time.Duration
}

// Site is a running site.
type Site struct {
	options      Options
	Store        *store.Store
	ExecutionLog *standin.Log
	Nodes        []*Node

	storeServer   *http.Server
	storeAddr     string
	configVersion int
}

// Node is one instance: a node process, its backend server and the relays to
// them.
type Node struct {
	Name       string
	CallerAddr string
	// ReadinessAddr is the address of the readiness check.
	ReadinessAddr string
	// BackendServer is the backend server beside the node.
	BackendServer *standin.Server
	// PeerRelay lies before the node, StoreRelay before the store, ServerRelay
	// before the backend server.
	PeerRelay, StoreRelay, ServerRelay *tcprelay.Relay

	site         *Site
	settingsPath string
	announceAddr string

	// CrashCount counts the ends of the backend server by a request.
	CrashCount atomic.Int64

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts a site and waits until all nodes are ready.
func Start(ctx context.Context, o Options) (*Site, error) {
	s := &Site{options: o, Store: store.New(time.Now), ExecutionLog: standin.NewLog()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.storeAddr = listener.Addr().String()
	s.storeServer = &http.Server{Handler: s.Store.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.storeServer.Serve(listener) }()
	if err := s.PublishConfig(o.RouteTimeout); err != nil {
		return nil, errors.Trace(err)
	}
	for i := range o.Nodes {
		n, err := s.startNode(fmt.Sprintf("node-%d", i))
		if err != nil {
			s.Stop()
			return nil, errors.Trace(err)
		}
		s.Nodes = append(s.Nodes, n)
	}
	if err := s.waitUntilReady(ctx); err != nil {
		s.Stop()
		return nil, errors.Trace(err)
	}
	return s, nil
}

// PublishConfig writes the next version of the configuration.
func (s *Site) PublishConfig(timeout time.Duration) error {
	s.configVersion++
	entry := platform.Entry{Key: platform.ConfigKey, Value: standin.Document(s.configVersion, s.options.Service, timeout)}
	_, err := s.Store.Commit(nil, []platform.Entry{entry}, nil)
	return errors.Trace(err)
}

func (s *Site) waitUntilReady(ctx context.Context) error {
	for _, n := range s.Nodes {
		for standin.Ready(ctx, n.ReadinessAddr) != nil {
			select {
			case <-ctx.Done():
				return errors.Annotatef(ctx.Err(), "%s is not ready", n.Name)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

const (
	// firstPort and portCount lie below the ports that systems give to outgoing
	// connections, which would take a port between its choice and its use.
	firstPort = 12000
	portCount = 20000
)

// portSequence starts at a place of its own in each process, so that sites beside
// each other seldom try the same ports.
var portSequence = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(int64(os.Getpid()) * 97)
	return &n
}()

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() (string, error) {
	for range portCount {
		port := firstPort + portSequence.Add(1)%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		addr := l.Addr().String()
		return addr, errors.Trace(l.Close())
	}
	return "", errors.New("no free port")
}

func (s *Site) startNode(name string) (*Node, error) {
	n := &Node{Name: name, site: s, settingsPath: filepath.Join(s.options.Dir, name+".ini")}
	var peerAddr, serverAddr string
	for _, target := range []*string{&n.CallerAddr, &n.ReadinessAddr, &n.announceAddr, &peerAddr, &serverAddr} {
		addr, err := freeAddr()
		if err != nil {
			return nil, errors.Trace(err)
		}
		*target = addr
	}
	for relay, target := range map[**tcprelay.Relay]string{&n.PeerRelay: peerAddr, &n.StoreRelay: s.storeAddr, &n.ServerRelay: serverAddr} {
		r, err := tcprelay.Start(target)
		if err != nil {
			return nil, errors.Trace(err)
		}
		*relay = r
	}
	if err := n.writeSettings(peerAddr); err != nil {
		return nil, errors.Trace(err)
	}
	if err := n.StartBackendServer(name+"-server", serverAddr); err != nil {
		return nil, errors.Trace(err)
	}
	return n, errors.Trace(n.StartProcess())
}

func (n *Node) writeSettings(peerAddr string) error {
	text := fmt.Sprintf(`[node]
instance = %s
region = local
failure_domain = local
memory_mb = 256

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
grace = 6s
`, n.Name, n.CallerAddr, peerAddr, n.PeerRelay.Addr(), n.announceAddr, n.ReadinessAddr, n.site.options.Service, n.ServerRelay.Addr(), n.StoreRelay.Addr())
	return errors.Trace(os.WriteFile(n.settingsPath, []byte(text), 0o600))
}

// StartBackendServer starts a backend server beside the node, behind its relay.
func (n *Node) StartBackendServer(id, addr string) error {
	o := n.site.options
	n.BackendServer = &standin.Server{ID: id, Service: o.Service, Slots: o.Slots, Work: o.ServiceTime, Log: n.site.ExecutionLog, Control: n.announceAddr}
	if o.RestartDelay > 0 {
		n.BackendServer.Crashed = func() {
			n.CrashCount.Add(1)
			time.AfterFunc(o.RestartDelay, func() {
				if err := n.StartBackendServer(id, addr); err != nil {
					panic(err)
				}
			})
		}
	}
	return errors.Trace(n.BackendServer.Start(addr, func(string) (string, error) { return n.ServerRelay.Addr(), nil }))
}

// StartProcess starts the node's process. Its log goes to a file beside its settings.
func (n *Node) StartProcess() error {
	logFile, err := os.OpenFile(n.settingsPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	cmd := exec.Command(n.site.options.Binary, "platform", "--settings", n.settingsPath)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if maxProcs := n.site.options.MaxProcs; maxProcs > 0 {
		cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", maxProcs))
	}
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return errors.Trace(err)
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the node's process if it runs.
func (n *Node) Signal(signal syscall.Signal) {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	select {
	case <-exited:
	default:
		_ = cmd.Process.Signal(signal)
	}
}

// PID returns the id of the node's process.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// WaitForExit waits until the node's process has ended and reports whether it did.
func (n *Node) WaitForExit(timeout time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

func (n *Node) relays() []*tcprelay.Relay {
	return []*tcprelay.Relay{n.PeerRelay, n.StoreRelay, n.ServerRelay}
}

// CheckDescriptors returns an error when the relays could not carry connections because
// this process has no descriptor left: what was measured is void then. Each node
// may be connected to each other one, and a relay takes two descriptors for that.
func (s *Site) CheckDescriptors() error {
	var failures int64
	for _, n := range s.Nodes {
		for _, relay := range n.relays() {
			failures += relay.DescriptorFailures()
		}
	}
	if failures > 0 {
		return errors.Errorf("%d connections failed for want of descriptors in this process", failures)
	}
	return nil
}

// Stop ends all processes and listeners of the site.
func (s *Site) Stop() {
	for _, n := range s.Nodes {
		n.Signal(syscall.SIGKILL)
		n.Signal(syscall.SIGCONT)
		n.WaitForExit(5 * time.Second)
		n.BackendServer.Close()
		for _, relay := range n.relays() {
			relay.Close()
		}
	}
	_ = s.storeServer.Close()
}
