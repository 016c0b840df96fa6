// Package meshsite runs a small site on one machine for tests and local runs: the
// load balancer nodes of the platform as separate processes, with simulated backend
// servers and a simulated store. The connections between them pass through
// loopback relays that inject faults from outside the processes. It is not shipped
// to production.
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

	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/standin/store"
	"mangostand.example/mangostand/pkg/standin/tcprelay"
	"mangostand.example/mangostand/platform"
	"mangostand.example/mangostand/platform/standin"
)

// Options configure a site.
type Options struct {
	// Binary is the path of mangostandd. Dir is the directory for settings and logs.
	Binary string
	Dir    string
	Nodes  int
	// Service, Slots and ServiceTime configure the backend servers.
	Service     string
	Slots       int
	ServiceTime time.Duration
	// RouteTimeout is the timeout of the routes in the first configuration.
	RouteTimeout time.Duration
	// HangsWhenFull is that of the backend servers.
	HangsWhenFull bool
	// ColdStart says how the backend servers behave after their start, and Warmup is the
	// limit for cold ones in the configuration.
	ColdStart standin.ColdStart
	Warmup    dynconf.WarmupLimit
	// MaxProcs is the GOMAXPROCS of each node process, 0 for the default. On the
	// platform a node has one processor.
	MaxProcs int
	// RestartDelay is the time after which a crashed backend server is restarted. If
	// it is 0, crash requests do not crash backend servers.
	RestartDelay time.Duration
	// FailureDomains is the number of failure domains over which the nodes are
	// distributed in turn, 0 for one.
	FailureDomains int
}

// Site is a running site: a store and a number of nodes, each with a backend
// server.
type Site struct {
	options      Options
	Store        *store.Store
	ExecutionLog *standin.ExecutionLog
	Nodes        []*Node

	storeServer   *http.Server
	storeAddr     string
	configVersion int
}

// Node is an instance of the site: a node process, the backend server beside it and
// the relays in front of them.
type Node struct {
	Name string
	// FailureDomain is the failure domain of the node.
	FailureDomain string
	// CallerAddr is the address of the listener for callers.
	CallerAddr string
	// ReadinessAddr is the address of the readiness check.
	ReadinessAddr string
	// BackendServer is the backend server beside the node.
	BackendServer *standin.BackendServer
	// PeerRelay forwards connections of other nodes to this node, StoreRelay those
	// of this node to the store, ServerRelay those to the backend server.
	PeerRelay, StoreRelay, ServerRelay *tcprelay.Relay

	site         *Site
	settingsPath string
	announceAddr string
	serverAddr   string

	// CrashCount is how many times a request has crashed the backend server.
	CrashCount atomic.Int64

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts a site and waits until all nodes are ready.
func Start(ctx context.Context, o Options) (*Site, error) {
	s := &Site{options: o, Store: store.New(time.Now), ExecutionLog: standin.NewExecutionLog()}
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
		domain := "local"
		if o.FailureDomains > 1 {
			domain = fmt.Sprintf("local-%d", i%o.FailureDomains)
		}
		n, err := s.startNode(fmt.Sprintf("node-%d", i), domain)
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

// PublishConfig writes the next version of the configuration, in which the routes
// have the given timeout, to the store.
func (s *Site) PublishConfig(timeout time.Duration) error {
	s.configVersion++
	return s.RewriteConfig(timeout)
}

// RewriteConfig writes the latest version of the configuration again, as operators do
// after the store has lost it.
func (s *Site) RewriteConfig(timeout time.Duration) error {
	entry := platform.Entry{Key: platform.ConfigKey, Value: standin.ConfigDocument(s.configVersion, s.options.Service, timeout, s.options.Warmup)}
	_, err := s.Store.Commit(nil, []platform.Entry{entry}, nil)
	return errors.Trace(err)
}

func (s *Site) waitUntilReady(ctx context.Context) error {
	for _, n := range s.Nodes {
		for standin.CheckReady(ctx, n.ReadinessAddr) != nil {
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
	// firstPort and portCount define a range below the default ephemeral port
	// range, so that no outgoing connection takes a port between its selection and
	// its use.
	firstPort = 12000
	portCount = 20000
)

// portSequence starts at an offset derived from the process ID, so that concurrent
// processes rarely try the same ports.
var portSequence = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(int64(os.Getpid()) * 97)
	return &n
}()

// freeAddr returns a loopback address whose port is currently free.
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

func (s *Site) startNode(name, domain string) (*Node, error) {
	n := &Node{Name: name, FailureDomain: domain, site: s, settingsPath: filepath.Join(s.options.Dir, name+".ini")}
	var peerAddr, serverAddr string
	for _, target := range []*string{&n.CallerAddr, &n.ReadinessAddr, &n.announceAddr, &peerAddr, &serverAddr} {
		addr, err := freeAddr()
		if err != nil {
			return nil, errors.Trace(err)
		}
		*target = addr
	}
	n.serverAddr = serverAddr
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
failure_domain = %s
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
`, n.Name, n.FailureDomain, n.CallerAddr, peerAddr, n.PeerRelay.Addr(), n.announceAddr, n.ReadinessAddr, n.site.options.Service, n.ServerRelay.Addr(), n.StoreRelay.Addr())
	return errors.Trace(os.WriteFile(n.settingsPath, []byte(text), 0o600))
}

// StartBackendServer starts the backend server beside the node on addr. The server
// announces the address of ServerRelay, so that the node connects through it.
func (n *Node) StartBackendServer(id, addr string) error {
	o := n.site.options
	n.BackendServer = &standin.BackendServer{ID: id, Service: o.Service, Slots: o.Slots, ServiceTime: o.ServiceTime, HangsWhenFull: o.HangsWhenFull, ColdStart: o.ColdStart, Log: n.site.ExecutionLog, AnnounceAddr: n.announceAddr}
	if o.RestartDelay > 0 {
		n.BackendServer.OnCrash = func() {
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

// RestartBackendServer starts the backend server again after a crash. It keeps its ID
// and its address.
func (n *Node) RestartBackendServer() error {
	return n.StartBackendServer(n.BackendServer.ID, n.serverAddr)
}

// StartProcess starts the node process. It appends to a log file next to the
// settings file.
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

// Signal sends a signal to the node process if it is running.
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

// PID returns the process ID of the node process.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// WaitForExit waits until the node process has exited or the timeout has passed. It
// reports whether the process has exited.
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

// CheckDescriptors returns an error if connections through the relays failed
// because this process had run out of file descriptors. Measurements of such a run
// are invalid. Every node may be connected to every other node, and each connection
// takes two descriptors in a relay.
func (s *Site) CheckDescriptors() error {
	var failures int64
	for _, n := range s.Nodes {
		for _, relay := range n.relays() {
			failures += relay.DescriptorFailures()
		}
	}
	if failures > 0 {
		return errors.Errorf("%d connections failed because this process ran out of file descriptors", failures)
	}
	return nil
}

// Stop kills all node processes and closes the backend servers, relays and store.
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
