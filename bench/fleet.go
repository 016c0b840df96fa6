package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/loadgen"
	"mangostand.example/mangostand/pkg/node"
	"mangostand.example/mangostand/pkg/security"
	"mangostand.example/mangostand/pkg/settings"
	"mangostand.example/mangostand/pkg/standin/store"
	"mangostand.example/mangostand/platform"
)

// shape is the size of one site.
type shape struct {
	name string
	// work is the undisturbed service time. It is chosen so that twice the
	// capacity of the site is a rate that one machine can generate.
	work     time.Duration
	domains  []string
	services []serviceShape
}

type serviceShape struct {
	name    string
	servers int
	slots   int
}

var shapes = []shape{
	{name: "thies", work: 12 * time.Millisecond, domains: []string{"thies-nord", "thies-sud", "thies-gare"},
		services: []serviceShape{{"atelier-suivi", 6, 10}, {"plan-depot", 3, 10}}},
	{name: "great-lakes", work: 18 * time.Millisecond, domains: []string{"huron-shore", "erie-basin", "superior-north"},
		services: []serviceShape{{"rota-desk", 7, 15}, {"sample-vault", 3, 15}}},
}

// capacity returns the calls per second that all slots together serve.
func (s *shape) capacity() float64 {
	slots := 0
	for _, service := range s.services {
		slots += service.servers * service.slots
	}
	return float64(slots) / (s.work.Seconds() * swingMean)
}

// fleet is a running site: nodes, backend servers, relays and a store.
type fleet struct {
	shape   *shape
	dir     string
	store   *httptest.Server
	client  *platform.Client
	network *network
	relays  []*relay
	members []*member
	cancel  context.CancelFunc
	running sync.WaitGroup
	version uint64
}

// member is a node with the backend server beside it.
type member struct {
	instance, domain, service, peers string
	callers, operators               string
	node                             *node.Node
	server                           *backendServer
}

const certValidity = 24 * time.Hour

func startFleet(s *shape, seed uint64) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{shape: s, cancel: cancel, network: &network{domain: map[string]string{}}}
	f.store = httptest.NewServer(store.New(time.Now).Handler())
	f.client = platform.NewClient(f.store.URL)
	if err := f.prepare(); err != nil {
		f.stop()
		return nil, errors.Trace(err)
	}
	for _, service := range s.services {
		for i := range service.servers {
			m := &member{
				instance: fmt.Sprintf("%s-%d", service.name, i+1), service: service.name,
				domain: s.domains[i%len(s.domains)],
			}
			if err := f.startMember(ctx, m, service.slots, seed+uint64(len(f.members))); err != nil {
				f.stop()
				return nil, errors.Trace(err)
			}
		}
	}
	return f, errors.Trace(f.awaitMembers(ctx))
}

// prepare creates the certificate that all nodes of a run share.
func (f *fleet) prepare() error {
	dir, err := os.MkdirTemp("", "mangostand-bench")
	if err != nil {
		return errors.Trace(err)
	}
	f.dir = dir
	if err := security.WriteCA(dir, certValidity); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(security.WriteCertificate(dir, "node", true, nil, certValidity))
}

func (f *fleet) startMember(ctx context.Context, m *member, slots int, seed uint64) error {
	callers, local, operators, peers := freeTCP(), freeTCP(), freeTCP(), freeUDP()
	target, err := net.ResolveUDPAddr("udp", peers)
	if err != nil {
		return errors.Trace(err)
	}
	r, err := newRelay(f.network, m.domain, target)
	if err != nil {
		return errors.Trace(err)
	}
	f.relays = append(f.relays, r)
	m.callers, m.operators, m.peers = "http://"+callers, "http://"+operators, r.socket.LocalAddr().String()
	var seeds []string
	for _, other := range f.members {
		seeds = append(seeds, other.peers)
	}
	m.node, err = node.New(&settings.Node{
		Instance: m.instance, Site: f.shape.name, Region: "bench", FailureDomain: m.domain, LogLevel: "error",
		CallerAddr: callers, PeerAddr: peers, AdvertisedPeerAddr: m.peers, LocalAPIAddr: local, OperatorAddr: operators,
		PeerTLS: security.TLSFiles{
			Cert: filepath.Join(f.dir, "node.pem"), Key: filepath.Join(f.dir, "node-key.pem"),
			CA: filepath.Join(f.dir, security.CACertFile),
		},
		StoreURL: f.store.URL, SeedAddrs: seeds,
	}, zerolog.Nop())
	if err != nil {
		return errors.Trace(err)
	}
	m.server, err = newBackendServer(m.instance, m.service, slots, f.shape.work, "http://"+local)
	if err != nil {
		return errors.Trace(err)
	}
	f.running.Go(func() { _ = m.node.Run(ctx) })
	f.running.Go(func() { m.server.announce(ctx) })
	f.running.Go(func() { m.server.swing(ctx, seed) })
	f.members = append(f.members, m)
	return nil
}

// freeTCP and freeUDP return a loopback address that was free a moment ago.
func freeTCP() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func freeUDP() string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

// joinTimeout bounds the wait for a fleet to come together.
const joinTimeout = 20 * time.Second

// awaitMembers waits until each node knows all backend servers as serving.
func (f *fleet) awaitMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for !f.complete() {
		if !pause(ctx, 50*time.Millisecond) {
			return errors.New("the fleet did not come together")
		}
	}
	return nil
}

func (f *fleet) complete() bool {
	for _, m := range f.members {
		known := 0
		for _, cell := range m.node.Board().Endpoints.Load().ByInstance {
			if cell.Member.State.String() == "serving" {
				known++
			}
		}
		if known < len(f.members) {
			return false
		}
	}
	return true
}

// hedgeSuffix marks a policy that is measured with hedged calls.
const hedgeSuffix = "+hedge"

// apply puts a configuration with a policy in force at all nodes.
func (f *fleet) apply(ctx context.Context, policy string, extra string) error {
	var base strings.Builder
	policy, hedged := strings.CutSuffix(policy, hedgeSuffix)
	if hedged {
		base.WriteString("[retries]\nhedge = yes\n")
	}
	for _, s := range f.shape.services {
		fmt.Fprintf(&base, "[service %s]\nservers = %s-*\npolicy = %s\n", s.name, s.name, policy)
		fmt.Fprintf(&base, "[route %s]\npath = /\n", s.name+"/all")
	}
	base.WriteString(extra)
	entry, err := f.client.Get(ctx, dynconf.CurrentKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return errors.Trace(err)
	}
	f.version++
	document := &dynconf.Document{
		Version: f.version, ParentVersion: f.version - 1, ChangeID: uuid.NewString(), Author: "bench",
		Time: time.Now().UTC(), Base: base.String(),
	}
	if _, err := document.ConfigForSite(f.shape.name); err != nil {
		return errors.Trace(err)
	}
	data, err := document.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := f.client.CompareAndSwap(ctx, dynconf.CurrentKey, entry.Revision, data, ""); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(f.awaitVersion(ctx))
}

func (f *fleet) awaitVersion(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for _, m := range f.members {
		for m.node.Board().Config.Load().Version < f.version {
			if !pause(ctx, 10*time.Millisecond) {
				return errors.New("the configuration did not reach all nodes")
			}
		}
	}
	return nil
}

// targets returns the nodes that callers use, without those of a lost domain.
func (f *fleet) targets(lost string) []loadgen.Target {
	var targets []loadgen.Target
	for _, m := range f.members {
		if m.domain != lost {
			targets = append(targets, loadgen.Target{Name: m.instance, URL: m.callers})
		}
	}
	return targets
}

func (f *fleet) stop() {
	f.cancel()
	for _, m := range f.members {
		_ = m.server.http.Close()
	}
	f.running.Wait()
	for _, r := range f.relays {
		r.close()
	}
	f.store.Close()
	http.DefaultClient.CloseIdleConnections()
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}
