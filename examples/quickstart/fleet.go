package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/platform"
)

// host is one instance: a backend server with its node.
type host struct {
	name    string
	domain  string
	service *Service
	ip      string

	callers, peers, local, operators, relay, server string

	node    *child
	backend *child
}

// fleet is all processes of a run.
type fleet struct {
	site    *Site
	options options
	dir     string
	hosts   []*host
	started time.Time

	store, executionLog, relay string
	platform                   []*child
}

// newFleet names the instances and chooses their addresses.
func newFleet(site *Site, o options, dir string) (*fleet, error) {
	f := &fleet{site: site, options: o, dir: dir, started: time.Now()}
	p := newPorts()
	var failed error
	take := func(ip string) string {
		addr, err := p.take(ip)
		if err != nil {
			failed = err
		}
		return addr
	}
	const local = "127.0.0.1"
	f.store, f.executionLog, f.relay = take(local), take(local), take(local)
	for i := range site.Services {
		service := &site.Services[i]
		for n := range service.Count {
			domain := n % len(site.Domains)
			ip := fmt.Sprintf("127.0.%d.1", domain+1)
			f.hosts = append(f.hosts, &host{
				name: fmt.Sprintf("%s-%d", service.Prefix, n+1), domain: site.Domains[domain], service: service, ip: ip,
				callers: take(ip), peers: take(ip), local: take(local), operators: take(ip), relay: take(local), server: take(ip),
			})
		}
	}
	return f, errors.Trace(failed)
}

// start writes all files, starts the processes in the order of their needs,
// applies the configuration and waits until every node is ready.
func (f *fleet) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		f.writeKeys, f.writeSettings, f.startPlatform, f.startNodes, f.startServers, f.applyConfig, f.waitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return errors.Trace(err)
		}
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
	}
	return nil
}

func (f *fleet) program(name string) string { return filepath.Join(f.options.bin, name) }

// mangostand runs one command of the operators and shows it.
func (f *fleet) mangostand(ctx context.Context, show bool, args ...string) error {
	cmd := exec.CommandContext(ctx, f.program("mangostand"), args...)
	out, err := cmd.CombinedOutput()
	if show || err != nil {
		fmt.Print("$ mangostand")
		for _, a := range args {
			fmt.Print(" ", a)
		}
		fmt.Printf("\n%s", out)
	}
	return errors.Annotatef(err, "mangostand %s", args[0])
}

func (f *fleet) keys() string { return filepath.Join(f.dir, "keys") }
func (f *fleet) logs() string { return filepath.Join(f.dir, "logs") }

// writeKeys makes the test CA and a certificate for each node.
func (f *fleet) writeKeys(ctx context.Context) error {
	if err := os.MkdirAll(f.logs(), 0o755); err != nil {
		return errors.Trace(err)
	}
	if err := f.mangostand(ctx, false, "keys", "ca", "--dir", f.keys()); err != nil {
		return errors.Trace(err)
	}
	for _, h := range f.hosts {
		if err := f.mangostand(ctx, false, "keys", "cert", "--dir", f.keys(), "--name", h.name, "--ip", h.ip, "--node"); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// writeSettings writes the settings of each node and of the relay.
func (f *fleet) writeSettings(context.Context) error {
	for _, h := range f.hosts {
		if err := os.WriteFile(f.settingsFile(h), []byte(f.nodeSettings(h)), 0o644); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(os.WriteFile(f.relayFile(), []byte(f.relaySettings()), 0o644))
}

func (f *fleet) settingsFile(h *host) string { return filepath.Join(f.dir, h.name+".ini") }
func (f *fleet) relayFile() string           { return filepath.Join(f.dir, "relay.ini") }

func (f *fleet) nodeSettings(h *host) string {
	const format = `[node]
instance = %s
site = %s
region = %s
failure_domain = %s

[listen]
callers = %s
peers = %s
advertise_peers = %s
local = %s
operators = %s

[peer_tls]
cert = %s
key = %s
ca = %s

[platform]
store = http://%s
seeds = %s, %s
`
	key := filepath.Join(f.keys(), h.name)
	return fmt.Sprintf(format, h.name, f.site.Name, f.site.Region, h.domain,
		h.callers, h.peers, h.relay, h.local, h.operators,
		key+".pem", key+"-key.pem", filepath.Join(f.keys(), "ca.pem"),
		f.store, f.hosts[0].relay, f.hosts[1].relay)
}

func (f *fleet) relaySettings() string {
	text := "[relay]\ndelay = 1ms\n"
	for i, d := range f.site.Domains {
		text += fmt.Sprintf("\n[domain %s]\nrange = 127.0.%d.0/24\n", d, i+1)
	}
	for _, h := range f.hosts {
		text += fmt.Sprintf("\n[node %s]\nlisten = %s\ntarget = %s\n", h.name, h.relay, h.peers)
	}
	return text
}

func (f *fleet) startPlatform(context.Context) error {
	standin := f.program("standin")
	for _, args := range [][]string{
		{"store", "--addr", f.store},
		{"execution-log", "--addr", f.executionLog},
		{"relay", "--addr", f.relay, "--config", f.relayFile()},
	} {
		c, err := newChild(args[0], f.logs(), standin, args...)
		if err != nil {
			return errors.Trace(err)
		}
		f.platform = append(f.platform, c)
	}
	return nil
}

func (f *fleet) startNodes(context.Context) error {
	for _, h := range f.hosts {
		c, err := newChild("node-"+h.name, f.logs(), f.program("mangostandd"), "--settings", f.settingsFile(h))
		if err != nil {
			return errors.Trace(err)
		}
		h.node = c
	}
	return nil
}

func (f *fleet) startServers(context.Context) error {
	for i, h := range f.hosts {
		s := h.service
		args := []string{
			"backend-server", "--service", s.Name, "--instance", h.name, "--addr", h.server,
			"--node", "http://" + h.local, "--execution-log", "http://" + f.executionLog,
			"--slots", strconv.Itoa(s.Slots), "--connections", strconv.Itoa(s.Connections),
			"--service-time", s.ServiceTime.String(), "--swing", fmt.Sprint(s.Swing), "--seed", strconv.Itoa(i + 1),
		}
		if s.LargePath != "" {
			args = append(args, "--large-path", s.LargePath, "--large-size", strconv.Itoa(s.LargeSize))
		}
		c, err := newChild("server-"+h.name, f.logs(), f.program("standin"), args...)
		if err != nil {
			return errors.Trace(err)
		}
		h.backend = c
	}
	return nil
}

// applyConfig checks and applies the configuration of the site.
func (f *fleet) applyConfig(ctx context.Context) error {
	if err := waitHTTP(ctx, "http://"+f.store+platform.StoreProbePath); err != nil {
		return errors.Annotate(err, "store")
	}
	base := filepath.Join(f.options.examples, f.site.Name, "base.ini")
	overlays := filepath.Join(f.options.examples, f.site.Name, "overlays")
	if err := f.mangostand(ctx, true, "config", "check", "--base", base, "--overlays", overlays); err != nil {
		return errors.Trace(err)
	}
	return f.mangostand(ctx, true, "config", "apply", "--base", base, "--overlays", overlays,
		"--store", "http://"+f.store, "--author", "quickstart")
}

// readyTimeout bounds the time until every node sees the whole fleet.
const readyTimeout = 20 * time.Second

// waitReady returns when each node has the configuration and sees each backend
// server as serving.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range f.hosts {
		for {
			missing := f.missing(ctx, h)
			if missing == "" {
				break
			}
			if c := f.firstDead(); c != nil {
				return errors.Errorf("%s ended, see %s", c.name, c.log.Name())
			}
			if !pause(ctx, pollInterval) {
				return errors.Errorf("node %s is not ready: %s", h.name, missing)
			}
		}
	}
	return nil
}

const pollInterval = 50 * time.Millisecond

// missing says what a node still waits for, "" when it is ready.
func (f *fleet) missing(ctx context.Context, h *host) string {
	status, err := readStatus(ctx, h)
	if err != nil {
		return err.Error()
	}
	if status.ConfigVersion == 0 {
		return "no configuration"
	}
	if n := status.serving(); n < len(f.hosts) {
		return fmt.Sprintf("sees %d of %d backend servers", n, len(f.hosts))
	}
	return ""
}

// firstDead returns a child that ended without being asked to, or nil.
func (f *fleet) firstDead() *child {
	for _, c := range f.children() {
		if c.died() {
			return c
		}
	}
	return nil
}

func (f *fleet) children() []*child {
	all := append([]*child(nil), f.platform...)
	for _, h := range f.hosts {
		for _, c := range []*child{h.node, h.backend} {
			if c != nil {
				all = append(all, c)
			}
		}
	}
	return all
}

// stop ends all children: backend servers before nodes before the platform.
func (f *fleet) stop() {
	var servers, nodes []*child
	for _, h := range f.hosts {
		if h.backend != nil {
			servers = append(servers, h.backend)
		}
		if h.node != nil {
			nodes = append(nodes, h.node)
		}
	}
	stopAll(servers)
	stopAll(nodes)
	stopAll(f.platform)
}

// pause waits; it returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
