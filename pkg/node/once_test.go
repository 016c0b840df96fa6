package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/call"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/opsapi"
	"mangostand.example/mangostand/pkg/platform"
	"mangostand.example/mangostand/pkg/security"
	"mangostand.example/mangostand/pkg/settings"
	"mangostand.example/mangostand/pkg/standin/store"
)

const onceConfig = `
[service bookings]
servers = n*

[route bookings/read]
path = /slots
methods = GET
deadline = 5s

[route bookings/write]
path = /slots
methods = POST
deadline = 5s
`

// bookingCluster is a set of nodes with a backend server each, on loopback.
type bookingCluster struct {
	seed      string
	callers   []string
	operators []string
	stop      []context.CancelFunc
	stopped   []chan struct{}
	// runs counts the calls that reached a backend server, by key.
	runs sync.Map // of string to *atomic.Int64
	size atomic.Int64
}

func freeLoopbackAddr(t testing.TB) string {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	return socket.Addr().String()
}

func startCluster(t testing.TB, count int) *bookingCluster {
	dir := t.TempDir()
	require.NoError(t, security.WriteCA(dir, time.Hour))
	platformStore := httptest.NewServer(store.New(time.Now).Handler())
	t.Cleanup(platformStore.Close)
	document := dynconf.Document{Version: 1, ChangeID: "c1", Base: onceConfig}
	data, err := document.Encode()
	require.NoError(t, err)
	_, err = platform.NewClient(platformStore.URL).CompareAndSwap(t.Context(), dynconf.CurrentKey, 0, data, "")
	require.NoError(t, err)
	c := &bookingCluster{}
	for i := range count {
		c.start(t, dir, platformStore.URL, i)
	}
	c.waitReady(t)
	return c
}

// bindAttempts bounds the attempts to bind addresses that other processes may
// take between their choice and their use.
const bindAttempts = 20

// newNode builds a node on free addresses. The first node is the seed.
func (c *bookingCluster) newNode(t testing.TB, dir, storeURL, name string) (*Node, *settings.Node) {
	var failure error
	for range bindAttempts {
		peers := freeLoopbackAddr(t)
		s := &settings.Node{
			Instance: name, Site: "test", Region: "r", FailureDomain: "d", Callers: freeLoopbackAddr(t), Peers: peers,
			AdvertisePeers: peers, Local: freeLoopbackAddr(t), Operators: freeLoopbackAddr(t), Store: storeURL, Seeds: []string{peers},
			PeerTLS: security.Files{
				Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+"-key.pem"), CA: filepath.Join(dir, security.CACertFile),
			},
		}
		if c.seed != "" {
			s.Seeds = []string{c.seed}
		}
		n, err := New(s, zerolog.New(os.Stderr).Level(zerolog.ErrorLevel))
		if err == nil {
			return n, s
		}
		failure = err
	}
	require.NoError(t, failure)
	return nil, nil
}

func (c *bookingCluster) start(t testing.TB, dir, storeURL string, i int) {
	name := fmt.Sprintf("n%d", i)
	require.NoError(t, security.WriteCertificate(dir, name, true, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Hour))
	n, s := c.newNode(t, dir, storeURL, name)
	if i == 0 {
		c.seed = s.Peers
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	backend := httptest.NewServer(http.HandlerFunc(c.serveBackend))
	announcer := time.NewTicker(500 * time.Millisecond)
	go func() {
		sendAnnouncement(s.Local, backend.Listener.Addr().String())
		for {
			select {
			case <-announcer.C:
				sendAnnouncement(s.Local, backend.Listener.Addr().String())
			case <-done:
				return
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		backend.Close()
		announcer.Stop()
	})
	c.callers = append(c.callers, "http://"+s.Callers)
	c.operators = append(c.operators, "http://"+s.Operators)
	c.stop = append(c.stop, cancel)
	c.stopped = append(c.stopped, done)
}

func sendAnnouncement(local, backend string) {
	body := fmt.Sprintf(`{"service":"bookings","addr":%q,"slots":50,"connections":100,"incarnation":1}`, backend)
	resp, err := http.Post("http://"+local+"/v1/announce", "application/json", strings.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
}

func (c *bookingCluster) serveBackend(w http.ResponseWriter, r *http.Request) {
	counter, _ := c.runs.LoadOrStore(r.Header.Get("Idempotency-Key"), new(atomic.Int64))
	run := counter.(*atomic.Int64).Add(1)
	if size := c.size.Load(); size > 0 {
		_, _ = w.Write(make([]byte, size))
		return
	}
	_, _ = fmt.Fprintf(w, "run %d of %s", run, r.Header.Get("Mangostand-Request-Id"))
}

// post sends a booking and returns the response with its body.
func (c *bookingCluster) post(t testing.TB, node int, key, body string) (*http.Response, string) {
	req, err := http.NewRequest(http.MethodPost, c.callers[node]+"/bookings/slots", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Mangostand-Caller", "atelier")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(data)
}

// waitReady waits until each node answers bookings and all are in the epoch.
func (c *bookingCluster) waitReady(t testing.TB) {
	for i := range c.callers {
		require.Eventually(t, func() bool {
			resp, _ := c.post(t, i, "", "ready?")
			return resp.StatusCode == http.StatusOK
		}, time.Minute, 200*time.Millisecond)
	}
	require.Eventually(t, func() bool { return c.members(t) == len(c.callers) }, time.Minute, 200*time.Millisecond)
}

// members reads the number of members of the epoch at node 0.
func (c *bookingCluster) members(t testing.TB) int {
	resp, err := http.Get(c.operators[0] + "/v1/status")
	require.NoError(t, err)
	defer resp.Body.Close()
	var status opsapi.Status
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&status))
	return len(status.Epochs["bookings"].Members)
}

func testKey(i byte) string {
	return keyhome.New(time.Now(), [10]byte{i, byte(time.Now().UnixNano()), byte(time.Now().UnixNano() >> 8)})
}

// Guards the wiring between the caller's request, the key protocol over QUIC
// and the operators' lookup.
func TestBookingRunsOnceAcrossNodes(t *testing.T) {
	c := startCluster(t, 3)
	key := testKey(1)
	first, body := c.post(t, 0, key, "slot 4")
	require.Equal(t, http.StatusOK, first.StatusCode, body)
	require.Equal(t, "succeeded", first.Header.Get("Mangostand-Outcome"))
	for i := range 3 {
		again, repeated := c.post(t, i, key, "slot 4")
		require.Equal(t, http.StatusOK, again.StatusCode)
		require.Equal(t, body, repeated)
		require.Equal(t, "response", again.Header.Get(call.HeaderRecorded))
	}
	conflict, _ := c.post(t, 1, key, "slot 5")
	require.Equal(t, http.StatusUnprocessableEntity, conflict.StatusCode)
	require.Equal(t, "not-run", conflict.Header.Get("Mangostand-Outcome"))

	created, _ := c.post(t, 2, "", "slot 6")
	require.NotEmpty(t, created.Header.Get("Idempotency-Key"), "the entry returns the key that it created")
	resp, err := http.Get(c.operators[1] + "/v1/outcome/" + key + "?service=bookings&caller=atelier")
	require.NoError(t, err)
	defer resp.Body.Close()
	var outcome opsapi.KeyOutcome
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&outcome))
	require.Equal(t, opsapi.KeyRecorded, outcome.State)
	require.Equal(t, "succeeded", outcome.Outcome)
}

// Guards against a recorded answer that is passed off as whole although its
// body was too large to be kept.
func TestLargeResponseIsRecordedByDigest(t *testing.T) {
	c := startCluster(t, 2)
	c.size.Store(200_000)
	key := testKey(2)
	first, body := c.post(t, 0, key, "x")
	require.Equal(t, http.StatusOK, first.StatusCode)
	require.Len(t, body, 200_000)
	again, repeated := c.post(t, 1, key, "x")
	require.Equal(t, "succeeded", again.Header.Get("Mangostand-Outcome"))
	require.Equal(t, "status", again.Header.Get(call.HeaderRecorded))
	require.Len(t, again.Header.Get(call.HeaderResponseDigest), 64)
	require.NotEqual(t, body, repeated)
	counter, _ := c.runs.Load(key)
	require.EqualValues(t, 1, counter.(*atomic.Int64).Load())
}

// Guards against records that a graceful stop takes with it.
func TestGracefulStopHandsOver(t *testing.T) {
	c := startCluster(t, 3)
	answers := map[string]string{}
	for i := range 30 {
		key := testKey(byte(i))
		resp, body := c.post(t, i%3, key, "slot")
		require.Equal(t, http.StatusOK, resp.StatusCode, body)
		answers[key] = body
	}
	c.stop[2]()
	<-c.stopped[2]
	for key, body := range answers {
		resp, again := c.post(t, 0, key, "slot")
		require.Equal(t, http.StatusOK, resp.StatusCode, again)
		require.Equal(t, body, again)
	}
}

// BenchmarkCalls compares a read with a booking through the same nodes:
// go test -run - -bench Calls ./pkg/node
func BenchmarkCalls(b *testing.B) {
	c := startCluster(b, 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			var durations []time.Duration
			for b.Loop() {
				started := time.Now()
				req, err := http.NewRequest(method, c.callers[0]+"/bookings/slots", http.NoBody)
				require.NoError(b, err)
				resp, err := client.Do(req)
				require.NoError(b, err)
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				require.Equal(b, http.StatusOK, resp.StatusCode)
				durations = append(durations, time.Since(started))
			}
			reportQuantiles(b, durations)
		})
	}
}

func reportQuantiles(b *testing.B, durations []time.Duration) {
	slices.Sort(durations)
	for _, q := range []struct {
		unit  string
		share float64
	}{{"p50-us", 0.5}, {"p99-us", 0.99}} {
		b.ReportMetric(float64(durations[int(q.share*float64(len(durations)-1))].Microseconds()), q.unit)
	}
}
