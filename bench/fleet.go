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

// siteConfig describes a simulated site.
type siteConfig struct {
	name string
	// serviceTime is the mean service time on an undisturbed host. It is long
	// enough that the load generator, on the same machine as the site, can send
	// calls at twice the capacity of the site.
	serviceTime time.Duration
	domains     []string
	services    []serviceConfig
}

// serviceConfig describes the backend servers of a service.
type serviceConfig struct {
	name           string
	serverCount    int
	slotsPerServer int
}

var sites = []siteConfig{
	{name: "thies", serviceTime: 12 * time.Millisecond, domains: []string{"thies-nord", "thies-sud", "thies-gare"},
		services: []serviceConfig{{"atelier-suivi", 6, 10}, {"plan-depot", 3, 10}}},
	{name: "great-lakes", serviceTime: 18 * time.Millisecond, domains: []string{"huron-shore", "erie-basin", "superior-north"},
		services: []serviceConfig{{"rota-desk", 7, 15}, {"sample-vault", 3, 15}}},
}

// capacity returns the nominal capacity of all slots in calls per second.
func (s *siteConfig) capacity() float64 {
	slots := 0
	for _, service := range s.services {
		slots += service.serverCount * service.slotsPerServer
	}
	return float64(slots) / (s.serviceTime.Seconds() * meanServiceTimeFactor)
}

// fleet is a running site: nodes, backend servers, relays and a platform store.
type fleet struct {
	site          *siteConfig
	certDir       string
	store         *httptest.Server
	client        *platform.Client
	network       *simulatedNetwork
	relays        []*relay
	instances     []*instance
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	configVersion uint64
}

// instance is a machine of the site, with a node and its backend server.
type instance struct {
	name, domain, service, peerAddr string
	callersURL, operatorsURL        string
	node                            *node.Node
	server                          *backendServer
}

const certValidity = 24 * time.Hour

func startFleet(site *siteConfig, seed uint64) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{site: site, cancel: cancel, network: &simulatedNetwork{domainByAddr: map[string]string{}}}
	f.store = httptest.NewServer(store.New(time.Now).Handler())
	f.client = platform.NewClient(f.store.URL)
	if err := f.createCertificates(); err != nil {
		f.stop()
		return nil, errors.Trace(err)
	}
	for _, service := range site.services {
		for i := range service.serverCount {
			inst := &instance{
				name: fmt.Sprintf("%s-%d", service.name, i+1), service: service.name,
				domain: site.domains[i%len(site.domains)],
			}
			if err := f.startInstance(ctx, inst, service.slotsPerServer, seed+uint64(len(f.instances))); err != nil {
				f.stop()
				return nil, errors.Trace(err)
			}
		}
	}
	return f, errors.Trace(f.awaitServing(ctx))
}

// createCertificates creates a test CA and the certificate that all nodes share.
func (f *fleet) createCertificates() error {
	dir, err := os.MkdirTemp("", "mangostand-bench")
	if err != nil {
		return errors.Trace(err)
	}
	f.certDir = dir
	if err := security.WriteCA(dir, certValidity); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(security.WriteCertificate(dir, "node", true, nil, certValidity))
}

func (f *fleet) startInstance(ctx context.Context, inst *instance, slots int, seed uint64) error {
	callersAddr, localAddr, operatorsAddr, nodePeerAddr := freeTCPAddr(), freeTCPAddr(), freeTCPAddr(), freeUDPAddr()
	nodeUDPAddr, err := net.ResolveUDPAddr("udp", nodePeerAddr)
	if err != nil {
		return errors.Trace(err)
	}
	peerRelay, err := newRelay(f.network, inst.domain, nodeUDPAddr)
	if err != nil {
		return errors.Trace(err)
	}
	f.relays = append(f.relays, peerRelay)
	inst.callersURL, inst.operatorsURL, inst.peerAddr = "http://"+callersAddr, "http://"+operatorsAddr, peerRelay.socket.LocalAddr().String()
	var seeds []string
	for _, other := range f.instances {
		seeds = append(seeds, other.peerAddr)
	}
	inst.node, err = node.New(&settings.Node{
		Instance: inst.name, Site: f.site.name, Region: "bench", FailureDomain: inst.domain, LogLevel: "error",
		CallerAddr: callersAddr, PeerAddr: nodePeerAddr, AdvertisedPeerAddr: inst.peerAddr, LocalAPIAddr: localAddr, OperatorAddr: operatorsAddr,
		PeerTLS: security.TLSFiles{
			Cert: filepath.Join(f.certDir, "node.pem"), Key: filepath.Join(f.certDir, "node-key.pem"),
			CA: filepath.Join(f.certDir, security.CACertFile),
		},
		StoreURL: f.store.URL, SeedAddrs: seeds,
	}, zerolog.Nop())
	if err != nil {
		return errors.Trace(err)
	}
	inst.server, err = newBackendServer(inst.name, inst.service, slots, f.site.serviceTime, "http://"+localAddr)
	if err != nil {
		return errors.Trace(err)
	}
	f.goroutines.Go(func() { _ = inst.node.Run(ctx) })
	f.goroutines.Go(func() { inst.server.sendAnnouncements(ctx) })
	f.goroutines.Go(func() { inst.server.varyServiceTime(ctx, seed) })
	f.instances = append(f.instances, inst)
	return nil
}

// freeTCPAddr and freeUDPAddr return a loopback address with a port that was
// free when it was checked.
func freeTCPAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func freeUDPAddr() string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

// convergenceTimeout bounds the wait until all nodes agree on the membership or
// have loaded a configuration.
const convergenceTimeout = 20 * time.Second

// awaitServing waits until each node sees all backend servers as serving.
func (f *fleet) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for !f.allServing() {
		if !sleep(ctx, 50*time.Millisecond) {
			return errors.New("not every node sees all backend servers as serving")
		}
	}
	return nil
}

func (f *fleet) allServing() bool {
	for _, inst := range f.instances {
		serving := 0
		for _, endpoint := range inst.node.Board().Endpoints.Load().ByInstance {
			if endpoint.Member.State.String() == "serving" {
				serving++
			}
		}
		if serving < len(f.instances) {
			return false
		}
	}
	return true
}

// hedgeSuffix marks a selection policy that is measured with hedging enabled.
const hedgeSuffix = "+hedge"

// applyPolicy publishes a configuration that selects the policy for all services
// and waits until all nodes have loaded it.
func (f *fleet) applyPolicy(ctx context.Context, policy string, extraConfig string) error {
	var base strings.Builder
	policy, hedged := strings.CutSuffix(policy, hedgeSuffix)
	if hedged {
		base.WriteString("[retries]\nhedge = yes\n")
	}
	for _, s := range f.site.services {
		fmt.Fprintf(&base, "[service %s]\nservers = %s-*\npolicy = %s\n", s.name, s.name, policy)
		fmt.Fprintf(&base, "[route %s]\npath = /\n", s.name+"/all")
	}
	base.WriteString(extraConfig)
	entry, err := f.client.Get(ctx, dynconf.CurrentKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return errors.Trace(err)
	}
	f.configVersion++
	document := &dynconf.Document{
		Version: f.configVersion, ParentVersion: f.configVersion - 1, ChangeID: uuid.NewString(), Author: "bench",
		Time: time.Now().UTC(), Base: base.String(),
	}
	if _, err := document.ConfigForSite(f.site.name); err != nil {
		return errors.Trace(err)
	}
	data, err := document.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := f.client.CompareAndSwap(ctx, dynconf.CurrentKey, entry.Revision, data, ""); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(f.awaitConfigVersion(ctx))
}

func (f *fleet) awaitConfigVersion(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for _, inst := range f.instances {
		for inst.node.Board().Config.Load().Version < f.configVersion {
			if !sleep(ctx, 10*time.Millisecond) {
				return errors.New("not every node has loaded the configuration")
			}
		}
	}
	return nil
}

// targets returns the nodes to which callers send calls: all but those in
// isolatedDomain.
func (f *fleet) targets(isolatedDomain string) []loadgen.Target {
	var targets []loadgen.Target
	for _, inst := range f.instances {
		if inst.domain != isolatedDomain {
			targets = append(targets, loadgen.Target{Name: inst.name, URL: inst.callersURL})
		}
	}
	return targets
}

func (f *fleet) stop() {
	f.cancel()
	for _, inst := range f.instances {
		_ = inst.server.httpServer.Close()
	}
	f.goroutines.Wait()
	for _, r := range f.relays {
		r.close()
	}
	f.store.Close()
	http.DefaultClient.CloseIdleConnections()
	if f.certDir != "" {
		_ = os.RemoveAll(f.certDir)
	}
}
