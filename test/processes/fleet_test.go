//go:build processes

// Package processes_test runs scenarios of the fault matrix with real processes. The
// environment variable MANGOSTAND_BIN must name the directory of the binaries.
package processes_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/httpfront"
	"mangostand.example/mangostand/pkg/opsapi"
	"mangostand.example/mangostand/pkg/standin/backendserver"
	"mangostand.example/mangostand/pkg/standin/executionlog"

	"mangostand.example/mangostand/platform"
)

const (
	instanceCount = 5
	serviceName   = "atelier-suivi"
	// readyTimeout bounds each wait for a condition of the fleet.
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	stopTimeout  = 15 * time.Second
)

// process is a child process of the test.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// stop terminates the process, which may be stopped by SIGSTOP, and kills it if it
// does not exit within stopTimeout.
func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// instance is a machine of the fleet, with a backend server and its node.
type instance struct {
	name, ip                                                                string
	callerAddr, peerAddr, localAPIAddr, operatorAddr, relayAddr, serverAddr string
	nodeProcess, serverProcess                                              *process
}

// fleet is the set of all processes of a test.
type fleet struct {
	t                                           *testing.T
	binDir, dir                                 string
	storeAddr, executionLogAddr, relayAdminAddr string
	instances                                   []*instance
	standinProcesses                            []*process
	callers                                     sync.WaitGroup
	mu                                          sync.Mutex
	observations                                []observation
	stopped                                     atomic.Bool
}

// freeAddr returns IP:port with a port that is free for TCP and UDP.
func freeAddr(t *testing.T, ip string) string {
	// Outgoing connections do not use ports below the ephemeral range.
	for range 1000 {
		addr := fmt.Sprintf("%s:%d", ip, 20000+portSequence.Add(1)%12000)
		tcp, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = tcp.Close()
		udp, err := net.ListenPacket("udp", addr)
		if err == nil {
			_ = udp.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// portSequence starts at a value that depends on the process ID, so that concurrent
// test processes seldom try the same ports.
var portSequence atomic.Int64

func init() { portSequence.Store(int64(os.Getpid()) * 97 % 12000) }

// newFleet starts a fleet with the configuration of the example site Thiès and waits
// until each node sees all others.
func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, binDir: os.Getenv("MANGOSTAND_BIN"), dir: t.TempDir()}
	require.NotEmpty(t, f.binDir, "MANGOSTAND_BIN is not set; use make faults")
	f.storeAddr, f.executionLogAddr, f.relayAdminAddr = freeAddr(t, "127.0.0.1"), freeAddr(t, "127.0.0.1"), freeAddr(t, "127.0.0.1")
	t.Cleanup(f.stop)
	f.mustRunCLI("keys", "ca", "--dir", f.dir)
	for i := range instanceCount {
		ip := fmt.Sprintf("127.0.%d.1", i%3+1)
		f.instances = append(f.instances, &instance{
			name: fmt.Sprintf("atelier-%d", i+1), ip: ip, callerAddr: freeAddr(t, ip), peerAddr: freeAddr(t, ip), localAPIAddr: freeAddr(t, "127.0.0.1"),
			operatorAddr: freeAddr(t, ip), relayAddr: freeAddr(t, "127.0.0.1"), serverAddr: freeAddr(t, ip),
		})
	}
	f.writeRelayConfig()
	f.standinProcesses = append(f.standinProcesses, f.startProcess("standin", "store", "--addr", f.storeAddr),
		f.startProcess("standin", "execution-log", "--addr", f.executionLogAddr),
		f.startProcess("standin", "relay", "--addr", f.relayAdminAddr, "--config", filepath.Join(f.dir, "relay.ini")))
	f.eventually("the store responds", func() bool { return getJSON("http://"+f.storeAddr+platform.StoreProbePath, nil) == nil })
	for _, inst := range f.instances {
		f.mustRunCLI("keys", "cert", "--dir", f.dir, "--name", inst.name, "--ip", inst.ip, "--node")
		f.startNode(inst)
		f.startBackendServer(inst)
	}
	require.NoError(t, f.applyConfig("first", ""))
	f.waitUntilServing(f.instances...)
	return f
}

// startProcess starts a child in the process group of the test, so that an interrupt
// of the test reaches it, too.
func (f *fleet) startProcess(program string, args ...string) *process {
	log, err := os.OpenFile(filepath.Join(f.dir, "processes.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(f.t, err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(f.binDir, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(f.t, cmd.Start())
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	return p
}

// mustRunCLI runs the operators' command-line tool and fails the test if it fails.
func (f *fleet) mustRunCLI(args ...string) { require.NoError(f.t, f.runCLI(args...)) }

func (f *fleet) runCLI(args ...string) error {
	out, err := exec.Command(filepath.Join(f.binDir, "mangostand"), args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("mangostand %s: %w: %s", args[0], err, out)
	}
	return nil
}

// applyConfig applies the configuration of the example site Thiès with the given
// hot_quantile, or unchanged if it is empty.
func (f *fleet) applyConfig(author, quantile string) error {
	base, err := os.ReadFile("../../examples/thies/base.ini")
	require.NoError(f.t, err)
	file := filepath.Join(f.dir, author+".ini")
	text := strings.Replace(string(base), "hot_quantile = 0.75", "hot_quantile = "+quantile, 1)
	if quantile == "" {
		text = string(base)
	}
	require.NoError(f.t, os.WriteFile(file, []byte(text), 0o644))
	return f.runCLI("config", "apply", "--base", file, "--overlays", "../../examples/thies/overlays", "--store", "http://"+f.storeAddr, "--author", author)
}

func (f *fleet) writeRelayConfig() {
	text := "[relay]\ndelay = 1ms\n"
	for i := range 3 {
		text += fmt.Sprintf("\n[domain d%d]\nrange = 127.0.%d.0/24\n", i+1, i+1)
	}
	for _, inst := range f.instances {
		text += fmt.Sprintf("\n[node %s]\nlisten = %s\ntarget = %s\n", inst.name, inst.relayAddr, inst.peerAddr)
	}
	require.NoError(f.t, os.WriteFile(filepath.Join(f.dir, "relay.ini"), []byte(text), 0o644))
}

func (f *fleet) startNode(inst *instance) {
	key := filepath.Join(f.dir, inst.name)
	text := fmt.Sprintf("[node]\ninstance = %s\nsite = thies\nregion = senegal\nfailure_domain = d%s\n\n"+
		"[listen]\ncallers = %s\npeers = %s\nadvertise_peers = %s\nlocal = %s\noperators = %s\n\n"+
		"[peer_tls]\ncert = %s.pem\nkey = %s-key.pem\nca = %s\n\n[platform]\nstore = http://%s\nseeds = %s, %s\n",
		inst.name, strings.Split(inst.ip, ".")[2], inst.callerAddr, inst.peerAddr, inst.relayAddr, inst.localAPIAddr, inst.operatorAddr,
		key, key, filepath.Join(f.dir, "ca.pem"), f.storeAddr, f.instances[0].relayAddr, f.instances[1].relayAddr)
	require.NoError(f.t, os.WriteFile(key+".ini", []byte(text), 0o644))
	inst.nodeProcess = f.startProcess("mangostandd", "--settings", key+".ini")
}

func (f *fleet) startBackendServer(inst *instance) {
	inst.serverProcess = f.startProcess("standin", "backend-server", "--service", serviceName, "--instance", inst.name, "--addr", inst.serverAddr,
		"--node", "http://"+inst.localAPIAddr, "--execution-log", "http://"+f.executionLogAddr, "--slots", "20", "--service-time", "20ms")
}

// stop stops the load and then all children.
func (f *fleet) stop() {
	f.stopped.Store(true)
	f.callers.Wait()
	var wg sync.WaitGroup
	for _, inst := range f.instances {
		for _, p := range []*process{inst.serverProcess, inst.nodeProcess} {
			if p != nil {
				wg.Go(p.stop)
			}
		}
	}
	wg.Wait()
	for _, p := range f.standinProcesses {
		p.stop()
	}
}

// eventually waits until a condition holds. The description completes the error
// message.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(readyTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

var httpClient = &http.Client{Timeout: 4 * time.Second}

func getJSON(url string, response any) error { return doRequest(http.MethodGet, url, nil, response) }

func doRequest(method, url string, body, response any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	if response == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(response)
}

func (inst *instance) status() (s opsapi.Status) {
	_ = getJSON("http://"+inst.operatorAddr+"/v1/status", &s)
	return s
}

// waitUntilServing waits until each of the given instances has a configuration, sees
// exactly these instances as serving and has them as the members of its epoch.
func (f *fleet) waitUntilServing(instances ...*instance) {
	f.t.Helper()
	for _, inst := range instances {
		f.eventually(inst.name+" sees the fleet", func() bool {
			current, serving := inst.status(), 0
			for _, m := range current.Members {
				if m.State == board.MemberServing {
					serving++
				}
			}
			return current.ConfigVersion > 0 && serving == len(instances) && len(current.Epochs[serviceName].Members) == len(instances)
		})
	}
}

// observation is the response to a call as its caller received it.
type observation struct {
	key, outcome, reason, backendServer string
	endedAt                             time.Time
}

// sendBooking sends a booking with an idempotency key to a node and records the
// observation.
func (f *fleet) sendBooking(inst *instance, key string) {
	o := f.sendCall(inst, http.MethodPost, "/bookings", key, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observations = append(f.observations, o)
}

// sendCall sends a call to a node. The outcome is "lost" without a complete response.
// If crashServer is set, the call crashes the backend server that executes it.
func (f *fleet) sendCall(inst *instance, method, path, key string, crashServer bool) observation {
	o := observation{key: key, outcome: "lost"}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+inst.callerAddr+"/"+serviceName+path, strings.NewReader("slot"))
	require.NoError(f.t, err)
	req.GetBody = nil
	req.Header.Set("Mangostand-Caller", "atelier")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.Header.Set(backendserver.HeaderNonce, key)
	if crashServer {
		req.Header.Set(backendserver.HeaderCrash, "1")
	}
	if resp, err := httpClient.Do(req); err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			o.outcome, o.reason = resp.Header.Get(httpfront.HeaderOutcome), resp.Header.Get(httpfront.HeaderReason)
			o.backendServer = resp.Header.Get(httpfront.HeaderBackendServer)
		}
	}
	o.endedAt = time.Now()
	return o
}

func newIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// startLoad sends bookings with new idempotency keys to all nodes in round-robin
// order, and each of them once more through the next node, until the returned
// function is called or the test ends.
func (f *fleet) startLoad() (stop func()) {
	done := make(chan struct{})
	for i := range 6 {
		f.callers.Go(func() {
			for next := i; !f.stopped.Load(); next++ {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				key := newIdempotencyKey()
				f.sendBooking(f.instances[next%len(f.instances)], key)
				f.sendBooking(f.instances[(next+1)%len(f.instances)], key)
			}
		})
	}
	return func() {
		close(done)
		f.callers.Wait()
	}
}

// executions returns the execution log.
func (f *fleet) executions() (all []executionlog.Execution) {
	f.t.Helper()
	require.NoError(f.t, getJSON("http://"+f.executionLogAddr+"/v1/executions", &all))
	return all
}

// checkBookings checks all observations against the execution log: no booking was
// executed more than once, and each reported outcome is correct.
func (f *fleet) checkBookings() {
	f.t.Helper()
	executions := f.executions()
	startTimes := map[string][]time.Time{}
	for _, e := range executions {
		startTimes[e.Nonce] = append(startTimes[e.Nonce], e.StartTime)
	}
	for key, started := range startTimes {
		require.Len(f.t, started, 1, "booking %s was executed more than once", key)
	}
	succeeded := 0
	for _, o := range f.observations {
		started := startTimes[o.key]
		switch o.outcome {
		case board.OutcomeSucceeded.String():
			succeeded++
			require.NotEmpty(f.t, started, "reported as succeeded, but not executed")
		case board.OutcomeNotRun.String():
			executed := len(started) > 0 && started[0].Before(o.endedAt) && o.reason != string(board.ReasonKeyInProgress)
			require.False(f.t, executed, "reported as not-run (%s), but executed: %s", o.reason, o.key)
		}
	}
	require.NotZero(f.t, succeeded, "no booking succeeded")
	f.t.Logf("bookings: %d responses, %d succeeded, %d executions", len(f.observations), succeeded, len(executions))
}
