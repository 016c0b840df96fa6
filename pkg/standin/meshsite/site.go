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
	ExecutionLog *standin.ExecutionLog
	Nodes        []*Node

	storeHTTP *http.Server
	storeAddr string
	version   int
}

// Node is one instance: a node process, its backend server and the relays to
// them.
type Node struct {
	Name       string
	CallerAddr string
	// Ready is the address of the readiness check.
	Ready string
	// BackendServer is the backend server beside the node.
	BackendServer *standin.BackendServer
	// PeerRelay lies before the node, StoreRelay before the store, ServerRelay
	// before the backend server.
	PeerRelay, StoreRelay, ServerRelay *tcprelay.Relay

	site     *Site
	settings string
	control  string

	// CrashCount counts the ends of the backend server by a request.
	CrashCount atomic.Int64

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// Start starts a site and waits until all nodes are ready.
func Start(ctx context.Context, o Options) (*Site, error) {
	s := &Site{options: o, Store: store.New(time.Now), ExecutionLog: standin.NewExecutionLog()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.storeAddr = listener.Addr().String()
	s.storeHTTP = &http.Server{Handler: s.Store.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.storeHTTP.Serve(listener) }()
	if err := s.PublishConfig(o.RouteTimeout); err != nil {
		return nil, errors.Trace(err)
	}
	for i := range o.Nodes {
		n, err := s.addNode(fmt.Sprintf("node-%d", i))
		if err != nil {
			s.Stop()
			return nil, errors.Trace(err)
		}
		s.Nodes = append(s.Nodes, n)
	}
	if err := s.awaitReady(ctx); err != nil {
		s.Stop()
		return nil, errors.Trace(err)
	}
	return s, nil
}

// PublishConfig writes the next version of the configuration.
func (s *Site) PublishConfig(timeout time.Duration) error {
	s.version++
	entry := platform.Entry{Key: platform.ConfigKey, Value: standin.ConfigDocument(s.version, s.options.Service, timeout)}
	_, err := s.Store.Commit(nil, []platform.Entry{entry}, nil)
	return errors.Trace(err)
}

func (s *Site) awaitReady(ctx context.Context) error {
	for _, n := range s.Nodes {
		for standin.CheckReady(ctx, n.Ready) != nil {
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

// nextPort starts at a place of its own in each process, so that sites beside
// each other seldom try the same ports.
var nextPort = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(int64(os.Getpid()) * 97)
	return &n
}()

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() (string, error) {
	for range portCount {
		port := firstPort + nextPort.Add(1)%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		addr := l.Addr().String()
		return addr, errors.Trace(l.Close())
	}
	return "", errors.New("no free port")
}

func (s *Site) addNode(name string) (*Node, error) {
	n := &Node{Name: name, site: s, settings: filepath.Join(s.options.Dir, name+".ini")}
	var peers, server string
	for _, addr := range []*string{&n.CallerAddr, &n.Ready, &n.control, &peers, &server} {
		free, err := freeAddr()
		if err != nil {
			return nil, errors.Trace(err)
		}
		*addr = free
	}
	for relay, target := range map[**tcprelay.Relay]string{&n.PeerRelay: peers, &n.StoreRelay: s.storeAddr, &n.ServerRelay: server} {
		started, err := tcprelay.Start(target)
		if err != nil {
			return nil, errors.Trace(err)
		}
		*relay = started
	}
	if err := n.writeSettings(peers); err != nil {
		return nil, errors.Trace(err)
	}
	if err := n.StartServer(name+"-server", server); err != nil {
		return nil, errors.Trace(err)
	}
	return n, errors.Trace(n.StartProcess())
}

func (n *Node) writeSettings(peers string) error {
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
`, n.Name, n.CallerAddr, peers, n.PeerRelay.Addr(), n.control, n.Ready, n.site.options.Service, n.ServerRelay.Addr(), n.StoreRelay.Addr())
	return errors.Trace(os.WriteFile(n.settings, []byte(text), 0o600))
}

// StartServer starts a backend server beside the node, behind its relay.
func (n *Node) StartServer(id, addr string) error {
	o := n.site.options
	n.BackendServer = &standin.BackendServer{ID: id, Service: o.Service, Slots: o.Slots, ServiceTime: o.ServiceTime, Log: n.site.ExecutionLog, AnnounceAddr: n.control}
	if o.RestartDelay > 0 {
		n.BackendServer.OnCrash = func() {
			n.CrashCount.Add(1)
			time.AfterFunc(o.RestartDelay, func() {
				if err := n.StartServer(id, addr); err != nil {
					panic(err)
				}
			})
		}
	}
	return errors.Trace(n.BackendServer.Start(addr, func(string) (string, error) { return n.ServerRelay.Addr(), nil }))
}

// StartProcess starts the node's process. Its log goes to a file beside its settings.
func (n *Node) StartProcess() error {
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	process := exec.Command(n.site.options.Binary, "platform", "--settings", n.settings)
	process.Stdout, process.Stderr = log, log
	if limit := n.site.options.MaxProcs; limit > 0 {
		process.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", limit))
	}
	if err := process.Start(); err != nil {
		_ = log.Close()
		return errors.Trace(err)
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.process, n.ended = process, ended
	n.mu.Unlock()
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the node's process if it runs.
func (n *Node) Signal(signal syscall.Signal) {
	n.mu.Lock()
	process, ended := n.process, n.ended
	n.mu.Unlock()
	select {
	case <-ended:
	default:
		_ = process.Process.Signal(signal)
	}
}

// PID returns the id of the node's process.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process.Process.Pid
}

// WaitForExit waits until the node's process has ended and reports whether it did.
func (n *Node) WaitForExit(limit time.Duration) bool {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
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
	var total int64
	for _, n := range s.Nodes {
		for _, relay := range n.relays() {
			total += relay.DescriptorFailures()
		}
	}
	if total > 0 {
		return errors.Errorf("%d connections failed for want of descriptors in this process", total)
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
	_ = s.storeHTTP.Close()
}
