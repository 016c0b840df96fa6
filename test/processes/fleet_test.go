//go:build processes

// Package processes_test runs rows of the fault matrix with real processes. It
// needs the programs in the directory that MANGOSTAND_BIN names.
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
	instances = 5
	service   = "atelier-suivi"
	// readyTimeout bounds each wait for a state of the fleet.
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	stopTimeout  = 15 * time.Second
)

// process is a child of the test.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

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

// host is a node with its backend server.
type host struct {
	name, ip                                        string
	callers, peers, local, operators, relay, server string
	node, backend                                   *process
}

// fleet is all processes of a row.
type fleet struct {
	t                  *testing.T
	bin, dir           string
	store, logs, relay string
	hosts              []*host
	platform           []*process
	calls              sync.WaitGroup
	mu                 sync.Mutex
	seen               []seen
	stopped            atomic.Bool
}

func address(t *testing.T, ip string) string {
	// Ports below the ephemeral range are not taken by outgoing connections.
	for range 1000 {
		addr := fmt.Sprintf("%s:%d", ip, 20000+nextPort.Add(1)%12000)
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

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 97 % 12000) }

// newFleet starts a fleet with the configuration of Thiès and waits until each
// node sees all others.
func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, bin: os.Getenv("MANGOSTAND_BIN"), dir: t.TempDir()}
	require.NotEmpty(t, f.bin, "MANGOSTAND_BIN is not set; use make faults")
	f.store, f.logs, f.relay = address(t, "127.0.0.1"), address(t, "127.0.0.1"), address(t, "127.0.0.1")
	t.Cleanup(f.stop)
	f.command("keys", "ca", "--dir", f.dir)
	for i := range instances {
		ip := fmt.Sprintf("127.0.%d.1", i%3+1)
		f.hosts = append(f.hosts, &host{
			name: fmt.Sprintf("atelier-%d", i+1), ip: ip, callers: address(t, ip), peers: address(t, ip), local: address(t, "127.0.0.1"),
			operators: address(t, ip), relay: address(t, "127.0.0.1"), server: address(t, ip),
		})
	}
	f.writeRelay()
	f.platform = append(f.platform, f.spawn("standin", "store", "--addr", f.store),
		f.spawn("standin", "execution-log", "--addr", f.logs),
		f.spawn("standin", "relay", "--addr", f.relay, "--config", filepath.Join(f.dir, "relay.ini")))
	f.eventually("the store answers", func() bool { return get("http://"+f.store+platform.StoreProbePath, nil) == nil })
	for _, h := range f.hosts {
		f.command("keys", "cert", "--dir", f.dir, "--name", h.name, "--ip", h.ip, "--node")
		f.startNode(h)
		f.startServer(h)
	}
	require.NoError(t, f.apply("first", ""))
	f.waitServing(f.hosts...)
	return f
}

// spawn starts a child in the process group of the test, so that an interrupt
// of a run reaches it too.
func (f *fleet) spawn(program string, args ...string) *process {
	log, err := os.OpenFile(filepath.Join(f.dir, "processes.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(f.t, err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(f.bin, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(f.t, cmd.Start())
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	return p
}

func (f *fleet) command(args ...string) { require.NoError(f.t, f.try(args...)) }

func (f *fleet) try(args ...string) error {
	out, err := exec.Command(filepath.Join(f.bin, "mangostand"), args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("mangostand %s: %w: %s", args[0], err, out)
	}
	return nil
}

// apply applies the configuration of Thiès with another hot quantile.
func (f *fleet) apply(author, quantile string) error {
	base, err := os.ReadFile("../../examples/thies/base.ini")
	require.NoError(f.t, err)
	file := filepath.Join(f.dir, author+".ini")
	text := strings.Replace(string(base), "hot_quantile = 0.75", "hot_quantile = "+quantile, 1)
	if quantile == "" {
		text = string(base)
	}
	require.NoError(f.t, os.WriteFile(file, []byte(text), 0o644))
	return f.try("config", "apply", "--base", file, "--overlays", "../../examples/thies/overlays", "--store", "http://"+f.store, "--author", author)
}

func (f *fleet) writeRelay() {
	text := "[relay]\ndelay = 1ms\n"
	for i := range 3 {
		text += fmt.Sprintf("\n[domain d%d]\nrange = 127.0.%d.0/24\n", i+1, i+1)
	}
	for _, h := range f.hosts {
		text += fmt.Sprintf("\n[node %s]\nlisten = %s\ntarget = %s\n", h.name, h.relay, h.peers)
	}
	require.NoError(f.t, os.WriteFile(filepath.Join(f.dir, "relay.ini"), []byte(text), 0o644))
}

func (f *fleet) startNode(h *host) {
	key := filepath.Join(f.dir, h.name)
	text := fmt.Sprintf("[node]\ninstance = %s\nsite = thies\nregion = senegal\nfailure_domain = d%s\n\n"+
		"[listen]\ncallers = %s\npeers = %s\nadvertise_peers = %s\nlocal = %s\noperators = %s\n\n"+
		"[peer_tls]\ncert = %s.pem\nkey = %s-key.pem\nca = %s\n\n[platform]\nstore = http://%s\nseeds = %s, %s\n",
		h.name, strings.Split(h.ip, ".")[2], h.callers, h.peers, h.relay, h.local, h.operators,
		key, key, filepath.Join(f.dir, "ca.pem"), f.store, f.hosts[0].relay, f.hosts[1].relay)
	require.NoError(f.t, os.WriteFile(key+".ini", []byte(text), 0o644))
	h.node = f.spawn("mangostandd", "--settings", key+".ini")
}

func (f *fleet) startServer(h *host) {
	h.backend = f.spawn("standin", "backend-server", "--service", service, "--instance", h.name, "--addr", h.server,
		"--node", "http://"+h.local, "--execution-log", "http://"+f.logs, "--slots", "20", "--service-time", "20ms")
}

// stop ends the children of this row by their process IDs.
func (f *fleet) stop() {
	f.stopped.Store(true)
	f.calls.Wait()
	var all sync.WaitGroup
	for _, h := range f.hosts {
		for _, p := range []*process{h.backend, h.node} {
			if p != nil {
				all.Go(p.stop)
			}
		}
	}
	all.Wait()
	for _, p := range f.platform {
		p.stop()
	}
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(readyTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			f.t.Fatalf("not reached: %s", what)
		}
	}
}

var client = &http.Client{Timeout: 4 * time.Second}

func get(url string, answer any) error { return request(http.MethodGet, url, nil, answer) }

func request(method, url string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}

func (h *host) status() (s opsapi.Status) {
	_ = get("http://"+h.operators+"/v1/status", &s)
	return s
}

// waitServing waits until each of the hosts sees exactly these as serving and
// has them in its epoch.
func (f *fleet) waitServing(hosts ...*host) {
	f.t.Helper()
	for _, h := range hosts {
		f.eventually(h.name+" sees the fleet", func() bool {
			s, serving := h.status(), 0
			for _, m := range s.Members {
				if m.State == board.MemberServing {
					serving++
				}
			}
			return s.ConfigVersion > 0 && serving == len(hosts) && len(s.Epochs[service].Members) == len(hosts)
		})
	}
}

// seen is what one caller saw.
type seen struct {
	key, outcome, reason, server string
	ended                        time.Time
}

// book sends a booking with a key to a node and keeps what its caller saw.
func (f *fleet) book(h *host, key string) {
	s := f.send(h, http.MethodPost, "/bookings", key, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = append(f.seen, s)
}

// send sends a call to a node. A caller without an answer sees "lost".
func (f *fleet) send(h *host, method, path, key string, crash bool) seen {
	s := seen{key: key, outcome: "lost"}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+"/"+service+path, strings.NewReader("slot"))
	require.NoError(f.t, err)
	req.GetBody = nil
	req.Header.Set("Mangostand-Caller", "atelier")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.Header.Set(backendserver.HeaderNonce, key)
	if crash {
		req.Header.Set(backendserver.HeaderCrash, "1")
	}
	if resp, err := client.Do(req); err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			s.outcome, s.reason = resp.Header.Get(httpfront.HeaderOutcome), resp.Header.Get(httpfront.HeaderReason)
			s.server = resp.Header.Get(httpfront.HeaderBackendServer)
		}
	}
	s.ended = time.Now()
	return s
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// load books with new keys at all nodes in turn until the row ends, and repeats
// each key once at the next node.
func (f *fleet) load() (stop func()) {
	done := make(chan struct{})
	for i := range 6 {
		f.calls.Go(func() {
			for n := i; !f.stopped.Load(); n++ {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				key := newKey()
				f.book(f.hosts[n%len(f.hosts)], key)
				f.book(f.hosts[(n+1)%len(f.hosts)], key)
			}
		})
	}
	return func() {
		close(done)
		f.calls.Wait()
	}
}

func (f *fleet) executions() (all []executionlog.Execution) {
	f.t.Helper()
	require.NoError(f.t, get("http://"+f.logs+"/v1/executions", &all))
	return all
}

// judge checks what all callers saw against the execution log.
func (f *fleet) judge() {
	f.t.Helper()
	executions := f.executions()
	runs := map[string][]time.Time{}
	for _, e := range executions {
		runs[e.Nonce] = append(runs[e.Nonce], e.StartTime)
	}
	for key, r := range runs {
		require.Len(f.t, r, 1, "booking %s ran more than once", key)
	}
	succeeded := 0
	for _, s := range f.seen {
		r := runs[s.key]
		switch s.outcome {
		case board.OutcomeSucceeded.String():
			succeeded++
			require.NotEmpty(f.t, r, "told succeeded, has not run")
		case board.OutcomeNotRun.String():
			ran := len(r) > 0 && r[0].Before(s.ended) && s.reason != string(board.ReasonKeyInProgress)
			require.False(f.t, ran, "told not-run (%s), has run: %s", s.reason, s.key)
		}
	}
	require.NotZero(f.t, succeeded, "no booking has succeeded")
	f.t.Logf("bookings: %d answers, %d succeeded, %d executions", len(f.seen), succeeded, len(executions))
}
