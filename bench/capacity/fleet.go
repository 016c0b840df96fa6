package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/configstore"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/localapi"
	"mangostand.example/mangostand/pkg/security"
	"mangostand.example/mangostand/platform"
)

// Layout of the fleet, as in section 1.4 of the design page.
const (
	serviceCount = 16
	regionCount  = 2
	domainCount  = 5
)

const (
	// startBatchSize nodes are started every startPause, which limits the number
	// of concurrent handshakes and membership changes.
	startBatchSize = 5
	startPause     = 500 * time.Millisecond
	// announcementInterval is the heartbeat interval of backend servers.
	announcementInterval = time.Second
	readyTimeout         = time.Minute
	pollInterval         = 250 * time.Millisecond
	httpTimeout          = 5 * time.Second
	certValidity         = time.Hour
	// firstPort and lastPort are below the usual ephemeral port range, so that no
	// outgoing connection takes a port between its check and its use.
	firstPort = 20000
	lastPort  = 32000
)

// nodeProcess is a node of the fleet in its own process.
type nodeProcess struct {
	*childProcess
	name, service                                    string
	callersAddr, peersAddr, localAddr, operatorsAddr string
}

// fleet consists of a store process, node processes and one backend server in
// this process that is announced to every node as its own.
type fleet struct {
	binDir, runDir string
	storeURL       string
	storeProcess   *childProcess
	nodes          []*nodeProcess
	nextPort       int
	client         *http.Client
	backend        *httptest.Server

	mu                sync.Mutex
	announcedNodes    []*nodeProcess
	stopAnnouncements context.CancelFunc
	announcers        sync.WaitGroup
}

// newFleet starts the store, applies a configuration and starts no node yet.
func newFleet(ctx context.Context, o options, dir string) (*fleet, error) {
	f := &fleet{binDir: o.binDir, runDir: dir, nextPort: firstPort + os.Getpid()%10*(lastPort-firstPort)/20}
	f.client = &http.Client{Timeout: httpTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	f.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ok\n")
	}))
	announceCtx, cancel := context.WithCancel(ctx)
	f.stopAnnouncements = cancel
	if err := f.startStore(ctx); err != nil {
		f.stop()
		return nil, errors.Trace(err)
	}
	f.announcers.Go(func() { f.sendAnnouncements(announceCtx) })
	return f, nil
}

func (f *fleet) startStore(ctx context.Context) error {
	if err := security.WriteCA(f.runDir, certValidity); err != nil {
		return errors.Trace(err)
	}
	if err := security.WriteCertificate(f.runDir, "node", true, []net.IP{net.IPv4(127, 0, 0, 1)}, certValidity); err != nil {
		return errors.Trace(err)
	}
	addr, err := f.allocateAddr()
	if err != nil {
		return errors.Trace(err)
	}
	f.storeURL = "http://" + addr
	f.storeProcess, err = startProcess(f.runDir, "store", filepath.Join(f.binDir, "standin"), "store", "--addr", addr)
	if err != nil {
		return errors.Trace(err)
	}
	return f.applyConfig(ctx)
}

// applyConfig waits for the store and applies a configuration with all services.
func (f *fleet) applyConfig(ctx context.Context) error {
	client := platform.NewClient(f.storeURL)
	var base strings.Builder
	for i := range serviceCount {
		name := serviceName(i)
		fmt.Fprintf(&base, "[service %s]\nservers = node-*\n\n[route %s/bookings]\npath = /bookings\nmethods = POST\n\n", name, name)
	}
	deadline := time.Now().Add(httpTimeout)
	for {
		current, err := configstore.ReadCurrent(ctx, client)
		if err == nil {
			document := &dynconf.Document{ChangeID: uuid.NewString(), Author: "capacity", Base: base.String()}
			return errors.Trace(configstore.Apply(ctx, client, current, document))
		}
		if time.Now().After(deadline) {
			return errors.Annotate(err, "waiting for the store")
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return errors.Trace(err)
		}
	}
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i%serviceCount) }

// allocateAddr returns the next loopback address whose port is free for TCP and
// UDP.
func (f *fleet) allocateAddr() (string, error) {
	for f.nextPort < lastPort {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(f.nextPort))
		f.nextPort++
		if isFree(addr) {
			return addr, nil
		}
	}
	return "", errors.Errorf("no free port below %d", lastPort)
}

func isFree(addr string) bool {
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}

// growTo starts nodes in batches until the fleet has size nodes, and returns when
// each node sees all of them as serving.
func (f *fleet) growTo(ctx context.Context, size int) error {
	for len(f.nodes) < size {
		for range min(startBatchSize, size-len(f.nodes)) {
			if err := f.startNode(); err != nil {
				return errors.Trace(err)
			}
		}
		if err := sleep(ctx, startPause); err != nil {
			return errors.Trace(err)
		}
	}
	return f.waitReady(ctx)
}

func (f *fleet) startNode() error {
	i := len(f.nodes)
	n := &nodeProcess{name: fmt.Sprintf("node-%03d", i), service: serviceName(i)}
	for _, addr := range []*string{&n.callersAddr, &n.peersAddr, &n.localAddr, &n.operatorsAddr} {
		var err error
		if *addr, err = f.allocateAddr(); err != nil {
			return errors.Trace(err)
		}
	}
	file := filepath.Join(f.runDir, n.name+".ini")
	if err := os.WriteFile(file, []byte(f.nodeSettings(i, n)), 0o644); err != nil {
		return errors.Trace(err)
	}
	var err error
	n.childProcess, err = startProcess(f.runDir, n.name, filepath.Join(f.binDir, "mangostandd"), "--settings", file)
	if err != nil {
		return errors.Trace(err)
	}
	f.nodes = append(f.nodes, n)
	f.mu.Lock()
	f.announcedNodes = append(f.announcedNodes, n)
	f.mu.Unlock()
	return nil
}

func (f *fleet) nodeSettings(i int, n *nodeProcess) string {
	seed := n.peersAddr
	if len(f.nodes) > 0 {
		seed = f.nodes[0].peersAddr
	}
	const format = `[node]
instance = %s
site = capacity
region = region-%d
failure_domain = domain-%d
log_level = warn

[listen]
callers = %s
peers = %s
local = %s
operators = %s

[peer_tls]
cert = %s
key = %s
ca = %s

[platform]
store = %s
seeds = %s
`
	base := filepath.Join(f.runDir, "node")
	return fmt.Sprintf(format, n.name, i%domainCount%regionCount, i%domainCount, n.callersAddr, n.peersAddr, n.localAddr, n.operatorsAddr,
		base+".pem", base+"-key.pem", filepath.Join(f.runDir, security.CACertFile), f.storeURL, seed)
}

// sendAnnouncements announces the backend server to each node once per interval,
// spread evenly over the interval, until ctx ends.
func (f *fleet) sendAnnouncements(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		nodes := append([]*nodeProcess(nil), f.announcedNodes...)
		f.mu.Unlock()
		roundStart := time.Now()
		for i, n := range nodes {
			// Runs in a goroutine, so that a slow node does not delay the announcements
			// to the others.
			f.announcers.Go(func() { f.sendAnnouncement(ctx, n) })
			nextAt := roundStart.Add(announcementInterval * time.Duration(i) / time.Duration(len(nodes)))
			_ = sleep(ctx, time.Until(nextAt))
		}
		_ = sleep(ctx, time.Until(roundStart.Add(announcementInterval)))
	}
}

func (f *fleet) sendAnnouncement(ctx context.Context, n *nodeProcess) {
	body, err := json.Marshal(localapi.Announcement{
		Service: n.service, Addr: f.backend.Listener.Addr().String(), Slots: 10, Connections: 200, Incarnation: 1,
	})
	if err != nil {
		return
	}
	// If the node does not listen yet, the next round announces it.
	_, _ = f.request(ctx, http.MethodPost, "http://"+n.localAddr+"/v1/announce", body)
}

// request returns the body of the response, or an error if its status is 300 or
// above.
func (f *fleet) request(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Errorf("%s %s: %s", method, url, resp.Status)
	}
	return data, nil
}

// waitReady waits until each node has loaded the configuration and sees the whole
// fleet as serving.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range f.nodes {
		for !f.isReady(ctx, n) {
			if n.hasExited() {
				return errors.Errorf("%s exited", n.name)
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return errors.Annotatef(err, "%s is not ready", n.name)
			}
		}
	}
	return nil
}

func (f *fleet) isReady(ctx context.Context, n *nodeProcess) bool {
	data, err := f.request(ctx, http.MethodGet, "http://"+n.operatorsAddr+"/metrics", nil)
	if err != nil {
		return false
	}
	metrics := parseMetrics(data)
	return metrics["config_version"] > 0 && metrics["members/serving"] == float64(len(f.nodes))
}

// stop stops the announcements, kills all child processes and closes the backend
// server.
func (f *fleet) stop() {
	f.stopAnnouncements()
	f.announcers.Wait()
	var killed sync.WaitGroup
	for _, n := range f.nodes {
		killed.Go(n.kill)
	}
	killed.Wait()
	if f.storeProcess != nil {
		f.storeProcess.kill()
	}
	f.backend.Close()
}
