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

// instance is a machine of the site, with a backend server and its node. All
// instances run on this machine, with addresses of their own.
type instance struct {
	name          string
	failureDomain string
	service       *Service
	ip            string

	callerAddr, peerAddr, localAPIAddr, operatorAddr, relayAddr, serverAddr string

	nodeProcess   *childProcess
	serverProcess *childProcess
}

// fleet is the set of all instances and test doubles of a run.
type fleet struct {
	site      *Site
	options   options
	dir       string
	instances []*instance
	startedAt time.Time

	storeAddr, executionLogAddr, relayAdminAddr string
	standinProcesses                            []*childProcess
}

// newFleet assigns names and addresses to the instances without starting them.
func newFleet(site *Site, opts options, dir string) (*fleet, error) {
	f := &fleet{site: site, options: opts, dir: dir, startedAt: time.Now()}
	allocator := newAddrAllocator()
	var allocErr error
	allocate := func(ip string) string {
		addr, err := allocator.allocate(ip)
		if err != nil {
			allocErr = err
		}
		return addr
	}
	const local = "127.0.0.1"
	f.storeAddr, f.executionLogAddr, f.relayAdminAddr = allocate(local), allocate(local), allocate(local)
	for i := range site.Services {
		service := &site.Services[i]
		for n := range service.InstanceCount {
			domain := n % len(site.FailureDomains)
			ip := fmt.Sprintf("127.0.%d.1", domain+1)
			f.instances = append(f.instances, &instance{
				name: fmt.Sprintf("%s-%d", service.InstancePrefix, n+1), failureDomain: site.FailureDomains[domain], service: service, ip: ip,
				callerAddr: allocate(ip), peerAddr: allocate(ip), localAPIAddr: allocate(local), operatorAddr: allocate(ip), relayAddr: allocate(local), serverAddr: allocate(ip),
			})
		}
	}
	return f, errors.Trace(allocErr)
}

// start writes all files, starts the processes in the order of their
// dependencies, applies the configuration and waits until every node is ready.
func (f *fleet) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		f.createCertificates, f.writeSettings, f.startStandins, f.startNodes, f.startBackendServers, f.applyConfig, f.waitUntilReady,
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

func (f *fleet) binaryPath(name string) string { return filepath.Join(f.options.binDir, name) }

// runCLI runs the operators' command-line tool. It prints the command and its
// output if printOutput is set or the command fails.
func (f *fleet) runCLI(ctx context.Context, printOutput bool, args ...string) error {
	cmd := exec.CommandContext(ctx, f.binaryPath("mangostand"), args...)
	out, err := cmd.CombinedOutput()
	if printOutput || err != nil {
		fmt.Print("$ mangostand")
		for _, a := range args {
			fmt.Print(" ", a)
		}
		fmt.Printf("\n%s", out)
	}
	return errors.Annotatef(err, "mangostand %s", args[0])
}

func (f *fleet) keyDir() string { return filepath.Join(f.dir, "keys") }
func (f *fleet) logDir() string { return filepath.Join(f.dir, "logs") }

// createCertificates creates a test CA and a certificate for each node.
func (f *fleet) createCertificates(ctx context.Context) error {
	if err := os.MkdirAll(f.logDir(), 0o755); err != nil {
		return errors.Trace(err)
	}
	if err := f.runCLI(ctx, false, "keys", "ca", "--dir", f.keyDir()); err != nil {
		return errors.Trace(err)
	}
	for _, inst := range f.instances {
		if err := f.runCLI(ctx, false, "keys", "cert", "--dir", f.keyDir(), "--name", inst.name, "--ip", inst.ip, "--node"); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// writeSettings writes the settings of each node and the configuration of the
// relay.
func (f *fleet) writeSettings(context.Context) error {
	for _, inst := range f.instances {
		if err := os.WriteFile(f.settingsFile(inst), []byte(f.nodeSettings(inst)), 0o644); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(os.WriteFile(f.relayConfigFile(), []byte(f.relayConfig()), 0o644))
}

func (f *fleet) settingsFile(inst *instance) string { return filepath.Join(f.dir, inst.name+".ini") }
func (f *fleet) relayConfigFile() string            { return filepath.Join(f.dir, "relay.ini") }

func (f *fleet) nodeSettings(inst *instance) string {
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
	key := filepath.Join(f.keyDir(), inst.name)
	return fmt.Sprintf(format, inst.name, f.site.Name, f.site.Region, inst.failureDomain,
		inst.callerAddr, inst.peerAddr, inst.relayAddr, inst.localAPIAddr, inst.operatorAddr,
		key+".pem", key+"-key.pem", filepath.Join(f.keyDir(), "ca.pem"),
		f.storeAddr, f.instances[0].relayAddr, f.instances[1].relayAddr)
}

// relayConfig returns the configuration of the relay, which delays packets between
// failure domains.
func (f *fleet) relayConfig() string {
	text := "[relay]\ndelay = 1ms\n"
	for i, d := range f.site.FailureDomains {
		text += fmt.Sprintf("\n[domain %s]\nrange = 127.0.%d.0/24\n", d, i+1)
	}
	for _, inst := range f.instances {
		text += fmt.Sprintf("\n[node %s]\nlisten = %s\ntarget = %s\n", inst.name, inst.relayAddr, inst.peerAddr)
	}
	return text
}

func (f *fleet) startStandins(context.Context) error {
	standin := f.binaryPath("standin")
	for _, args := range [][]string{
		{"store", "--addr", f.storeAddr},
		{"execution-log", "--addr", f.executionLogAddr},
		{"relay", "--addr", f.relayAdminAddr, "--config", f.relayConfigFile()},
	} {
		c, err := startProcess(args[0], f.logDir(), standin, args...)
		if err != nil {
			return errors.Trace(err)
		}
		f.standinProcesses = append(f.standinProcesses, c)
	}
	return nil
}

func (f *fleet) startNodes(context.Context) error {
	for _, inst := range f.instances {
		c, err := startProcess("node-"+inst.name, f.logDir(), f.binaryPath("mangostandd"), "--settings", f.settingsFile(inst))
		if err != nil {
			return errors.Trace(err)
		}
		inst.nodeProcess = c
	}
	return nil
}

func (f *fleet) startBackendServers(context.Context) error {
	for i, inst := range f.instances {
		s := inst.service
		args := []string{
			"backend-server", "--service", s.Name, "--instance", inst.name, "--addr", inst.serverAddr,
			"--node", "http://" + inst.localAPIAddr, "--execution-log", "http://" + f.executionLogAddr,
			"--slots", strconv.Itoa(s.Slots), "--connections", strconv.Itoa(s.MaxConnections),
			"--service-time", s.ServiceTime.String(), "--swing", fmt.Sprint(s.MaxServiceTimeFactor), "--seed", strconv.Itoa(i + 1),
		}
		if s.LargeResponsePrefix != "" {
			args = append(args, "--large-path", s.LargeResponsePrefix, "--large-size", strconv.Itoa(s.LargeResponseBytes))
		}
		c, err := startProcess("server-"+inst.name, f.logDir(), f.binaryPath("standin"), args...)
		if err != nil {
			return errors.Trace(err)
		}
		inst.serverProcess = c
	}
	return nil
}

// applyConfig validates and applies the configuration of the site.
func (f *fleet) applyConfig(ctx context.Context) error {
	if err := waitForHTTP(ctx, "http://"+f.storeAddr+platform.StoreProbePath); err != nil {
		return errors.Annotate(err, "store")
	}
	base := filepath.Join(f.options.examplesDir, f.site.Name, "base.ini")
	overlays := filepath.Join(f.options.examplesDir, f.site.Name, "overlays")
	if err := f.runCLI(ctx, true, "config", "check", "--base", base, "--overlays", overlays); err != nil {
		return errors.Trace(err)
	}
	return f.runCLI(ctx, true, "config", "apply", "--base", base, "--overlays", overlays,
		"--store", "http://"+f.storeAddr, "--author", "quickstart")
}

// readyTimeout bounds the wait until the store responds, and the wait until every
// node sees the whole fleet.
const readyTimeout = 20 * time.Second

// waitUntilReady waits until each node has the configuration and sees each backend
// server as serving.
func (f *fleet) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, inst := range f.instances {
		for {
			reason := f.notReadyReason(ctx, inst)
			if reason == "" {
				break
			}
			if c := f.firstUnexpectedExit(); c != nil {
				return errors.Errorf("%s exited unexpectedly, see %s", c.name, c.logFile.Name())
			}
			if !sleep(ctx, pollInterval) {
				return errors.Errorf("node %s is not ready: %s", inst.name, reason)
			}
		}
	}
	return nil
}

const pollInterval = 50 * time.Millisecond

// notReadyReason describes why a node is not ready, or returns "" if it is.
func (f *fleet) notReadyReason(ctx context.Context, inst *instance) string {
	status, err := readStatus(ctx, inst)
	if err != nil {
		return err.Error()
	}
	if status.ConfigVersion == 0 {
		return "no configuration"
	}
	if n := status.countServing(); n < len(f.instances) {
		return fmt.Sprintf("sees %d of %d backend servers", n, len(f.instances))
	}
	return ""
}

// firstUnexpectedExit returns the first child that exited unexpectedly, or nil.
func (f *fleet) firstUnexpectedExit() *childProcess {
	for _, c := range f.processes() {
		if c.exitedUnexpectedly() {
			return c
		}
	}
	return nil
}

func (f *fleet) processes() []*childProcess {
	all := append([]*childProcess(nil), f.standinProcesses...)
	for _, inst := range f.instances {
		for _, c := range []*childProcess{inst.nodeProcess, inst.serverProcess} {
			if c != nil {
				all = append(all, c)
			}
		}
	}
	return all
}

// stop stops all children: first backend servers, then nodes, then the test
// doubles of the platform.
func (f *fleet) stop() {
	var servers, nodes []*childProcess
	for _, inst := range f.instances {
		if inst.serverProcess != nil {
			servers = append(servers, inst.serverProcess)
		}
		if inst.nodeProcess != nil {
			nodes = append(nodes, inst.nodeProcess)
		}
	}
	stopProcesses(servers)
	stopProcesses(nodes)
	stopProcesses(f.standinProcesses)
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
