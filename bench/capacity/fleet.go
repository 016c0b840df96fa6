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

// Shape of the fleet, see section 1.4 of the design page.
const (
	services = 16
	regions  = 2
	domains  = 5
)

const (
	// startBatch nodes are started per startPause, so that handshakes and
	// membership changes of starting nodes do not pile up.
	startBatch = 5
	startPause = 500 * time.Millisecond
	// announceInterval is the heartbeat that backend servers use.
	announceInterval = time.Second
	readyTimeout     = time.Minute
	pollInterval     = 250 * time.Millisecond
	httpTimeout      = 5 * time.Second
	validity         = time.Hour
	// firstPort and lastPort lie below the usual ephemeral ports, so that no
	// outgoing connection takes a port between its check and its use.
	firstPort = 20000
	lastPort  = 32000
)

// node is one node process of the fleet.
type node struct {
	*child
	name, service                    string
	callers, peers, local, operators string
}

// fleet is the store, the nodes and one backend server, in this process, that
// all nodes announce as theirs.
type fleet struct {
	bin, dir string
	store    string
	platform *child
	nodes    []*node
	nextPort int
	client   *http.Client
	backend  *httptest.Server

	mu        sync.Mutex
	announced []*node
	heartbeat context.CancelFunc
	beating   sync.WaitGroup
}

// newFleet starts the store with a configuration and no node.
func newFleet(ctx context.Context, o options, dir string) (*fleet, error) {
	f := &fleet{bin: o.bin, dir: dir, nextPort: firstPort + os.Getpid()%10*(lastPort-firstPort)/20}
	f.client = &http.Client{Timeout: httpTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	f.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ok\n")
	}))
	beats, cancel := context.WithCancel(ctx)
	f.heartbeat = cancel
	if err := f.startPlatform(ctx); err != nil {
		f.stop()
		return nil, errors.Trace(err)
	}
	f.beating.Go(func() { f.announceAll(beats) })
	return f, nil
}

func (f *fleet) startPlatform(ctx context.Context) error {
	if err := security.WriteCA(f.dir, validity); err != nil {
		return errors.Trace(err)
	}
	if err := security.WriteCertificate(f.dir, "node", true, []net.IP{net.IPv4(127, 0, 0, 1)}, validity); err != nil {
		return errors.Trace(err)
	}
	addr, err := f.takePort()
	if err != nil {
		return errors.Trace(err)
	}
	f.store = "http://" + addr
	f.platform, err = newChild(f.dir, "store", filepath.Join(f.bin, "standin"), "store", "--addr", addr)
	if err != nil {
		return errors.Trace(err)
	}
	return f.applyConfig(ctx)
}

// applyConfig waits for the store and puts a configuration with all services
// in force.
func (f *fleet) applyConfig(ctx context.Context) error {
	client := platform.NewClient(f.store)
	var base strings.Builder
	for i := range services {
		name := serviceName(i)
		fmt.Fprintf(&base, "[service %s]\nservers = node-*\n\n[route %s/bookings]\npath = /bookings\nmethods = POST\n\n", name, name)
	}
	deadline := time.Now().Add(httpTimeout)
	for {
		start, err := configstore.ReadCurrent(ctx, client)
		if err == nil {
			document := &dynconf.Document{ChangeID: uuid.NewString(), Author: "capacity", Base: base.String()}
			return errors.Trace(configstore.Apply(ctx, client, start, document))
		}
		if time.Now().After(deadline) {
			return errors.Annotate(err, "store")
		}
		if err := pause(ctx, pollInterval); err != nil {
			return errors.Trace(err)
		}
	}
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i%services) }

// takePort returns a loopback address that is free for TCP and UDP.
func (f *fleet) takePort() (string, error) {
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

// grow starts nodes in batches until there are size, and returns when each
// sees all of them as serving.
func (f *fleet) grow(ctx context.Context, size int) error {
	for len(f.nodes) < size {
		for range min(startBatch, size-len(f.nodes)) {
			if err := f.startNode(); err != nil {
				return errors.Trace(err)
			}
		}
		if err := pause(ctx, startPause); err != nil {
			return errors.Trace(err)
		}
	}
	return f.waitReady(ctx)
}

func (f *fleet) startNode() error {
	i := len(f.nodes)
	n := &node{name: fmt.Sprintf("node-%03d", i), service: serviceName(i)}
	for _, addr := range []*string{&n.callers, &n.peers, &n.local, &n.operators} {
		var err error
		if *addr, err = f.takePort(); err != nil {
			return errors.Trace(err)
		}
	}
	file := filepath.Join(f.dir, n.name+".ini")
	if err := os.WriteFile(file, []byte(f.settings(i, n)), 0o644); err != nil {
		return errors.Trace(err)
	}
	var err error
	n.child, err = newChild(f.dir, n.name, filepath.Join(f.bin, "mangostandd"), "--settings", file)
	if err != nil {
		return errors.Trace(err)
	}
	f.nodes = append(f.nodes, n)
	f.mu.Lock()
	f.announced = append(f.announced, n)
	f.mu.Unlock()
	return nil
}

func (f *fleet) settings(i int, n *node) string {
	seed := n.peers
	if len(f.nodes) > 0 {
		seed = f.nodes[0].peers
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
	base := filepath.Join(f.dir, "node")
	return fmt.Sprintf(format, n.name, i%domains%regions, i%domains, n.callers, n.peers, n.local, n.operators,
		base+".pem", base+"-key.pem", filepath.Join(f.dir, security.CACertFile), f.store, seed)
}

// announceAll sends the heartbeats of the backend servers, spread over the
// interval.
func (f *fleet) announceAll(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		nodes := append([]*node(nil), f.announced...)
		f.mu.Unlock()
		began := time.Now()
		for i, n := range nodes {
			// A slow node must not hold up the heartbeats of the others.
			f.beating.Go(func() { f.announce(ctx, n) })
			due := began.Add(announceInterval * time.Duration(i) / time.Duration(len(nodes)))
			_ = pause(ctx, time.Until(due))
		}
		_ = pause(ctx, time.Until(began.Add(announceInterval)))
	}
}

func (f *fleet) announce(ctx context.Context, n *node) {
	body, err := json.Marshal(localapi.Announcement{
		Service: n.service, Addr: f.backend.Listener.Addr().String(), Slots: 10, Connections: 200, Incarnation: 1,
	})
	if err != nil {
		return
	}
	// A node that does not listen yet is announced in the next round.
	_, _ = f.request(ctx, http.MethodPost, "http://"+n.local+"/v1/announce", body)
}

// request returns the body of an answer with a status below 300.
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

// waitReady returns when each node has the configuration and sees the whole
// fleet as serving.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range f.nodes {
		for !f.ready(ctx, n) {
			if n.ended() {
				return errors.Errorf("%s ended", n.name)
			}
			if err := pause(ctx, pollInterval); err != nil {
				return errors.Annotatef(err, "%s is not ready", n.name)
			}
		}
	}
	return nil
}

func (f *fleet) ready(ctx context.Context, n *node) bool {
	data, err := f.request(ctx, http.MethodGet, "http://"+n.operators+"/metrics", nil)
	if err != nil {
		return false
	}
	m := parseMetrics(data)
	return m["config_version"] > 0 && m["members/serving"] == float64(len(f.nodes))
}

// stop ends all children of this run.
func (f *fleet) stop() {
	f.heartbeat()
	f.beating.Wait()
	var killed sync.WaitGroup
	for _, n := range f.nodes {
		killed.Go(n.kill)
	}
	killed.Wait()
	if f.platform != nil {
		f.platform.kill()
	}
	f.backend.Close()
}
