package node

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/call"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/opsapi"
)

// newBookingCluster waits in addition until each node answers bookings and all
// are in the epoch.
func newBookingCluster(t testing.TB, size int) *cluster {
	c := newCluster(t, size)
	for _, n := range c.nodes {
		c.wait("the node answers bookings", func() bool { return c.book(n, "", "ready?").status == http.StatusOK })
	}
	c.wait("all nodes are in the epoch", func() bool {
		var status opsapi.Status
		get(t, c.nodes[0].ops+"/v1/status", &status)
		return len(status.Epochs["jobs"].Members) == size
	})
	return c
}

// serveSlots answers with the number of runs of the key.
func (c *cluster) serveSlots(w http.ResponseWriter, r *http.Request) {
	counter, _ := c.runs.LoadOrStore(r.Header.Get("Idempotency-Key"), new(atomic.Int64))
	run := counter.(*atomic.Int64).Add(1)
	if size := c.slotAnswer.Load(); size > 0 {
		_, _ = w.Write(make([]byte, size))
		return
	}
	_, _ = fmt.Fprintf(w, "run %d of %s", run, r.Header.Get("Mangostand-Request-Id"))
}

// book sends a booking, with a key unless it is "".
func (c *cluster) book(n *clusterNode, key, body string) answer {
	c.t.Helper()
	header := map[string]string{"Mangostand-Caller": "atelier"}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	return do(c.t, http.DefaultClient, http.MethodPost, n.callers+"/jobs/slots", header, []byte(body))
}

func testKey(i byte) string {
	return keyhome.NewKey(time.Now(), [10]byte{i, byte(time.Now().UnixNano()), byte(time.Now().UnixNano() >> 8)})
}

// Guards the wiring between the caller's request, the key protocol over QUIC
// and the operators' lookup.
func TestBookingRunsOnceAcrossNodes(t *testing.T) {
	c := newBookingCluster(t, 3)
	key := testKey(1)
	first := c.book(c.nodes[0], key, "slot 4")
	require.Equal(t, http.StatusOK, first.status, first.body)
	require.Equal(t, "succeeded", first.outcome)
	for _, n := range c.nodes {
		again := c.book(n, key, "slot 4")
		require.Equal(t, http.StatusOK, again.status)
		require.Equal(t, first.body, again.body)
		require.Equal(t, "response", again.header.Get(call.HeaderRecorded))
	}
	conflict := c.book(c.nodes[1], key, "slot 5")
	require.Equal(t, http.StatusUnprocessableEntity, conflict.status)
	require.Equal(t, "not-run", conflict.outcome)

	created := c.book(c.nodes[2], "", "slot 6")
	require.NotEmpty(t, created.header.Get("Idempotency-Key"), "the entry returns the key that it created")
	var outcome opsapi.KeyOutcome
	get(t, c.nodes[1].ops+"/v1/outcome/"+key+"?service=jobs&caller=atelier", &outcome)
	require.Equal(t, opsapi.KeyRecorded, outcome.State)
	require.Equal(t, "succeeded", outcome.Outcome)
}

// Guards against a recorded answer that is passed off as whole although its
// body was too large to be kept.
func TestLargeResponseIsRecordedByDigest(t *testing.T) {
	c := newBookingCluster(t, 2)
	c.slotAnswer.Store(200_000)
	key := testKey(2)
	first := c.book(c.nodes[0], key, "x")
	require.Equal(t, http.StatusOK, first.status)
	require.Len(t, first.body, 200_000)
	again := c.book(c.nodes[1], key, "x")
	require.Equal(t, "succeeded", again.outcome)
	require.Equal(t, "status", again.header.Get(call.HeaderRecorded))
	require.Len(t, again.header.Get(call.HeaderResponseDigest), 64)
	require.NotEqual(t, first.body, again.body)
	counter, _ := c.runs.Load(key)
	require.EqualValues(t, 1, counter.(*atomic.Int64).Load())
}

// Guards against records that a graceful stop takes with it.
func TestGracefulStopHandsOver(t *testing.T) {
	c := newBookingCluster(t, 3)
	answers := map[string]string{}
	for i := range 30 {
		key := testKey(byte(i))
		got := c.book(c.nodes[i%3], key, "slot")
		require.Equal(t, http.StatusOK, got.status, got.body)
		answers[key] = got.body
	}
	c.nodes[2].stop()
	c.ended(c.nodes[2])
	for key, body := range answers {
		again := c.book(c.nodes[0], key, "slot")
		require.Equal(t, http.StatusOK, again.status, again.body)
		require.Equal(t, body, again.body)
	}
}

// BenchmarkCalls compares a read with a booking through the same nodes:
// go test -run - -bench Calls ./pkg/node
func BenchmarkCalls(b *testing.B) {
	c := newBookingCluster(b, 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			var durations []time.Duration
			for b.Loop() {
				started := time.Now()
				req, err := http.NewRequest(method, c.nodes[0].callers+"/jobs/slots", http.NoBody)
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
