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

// newBookingCluster starts a cluster and waits until every node accepts bookings,
// which are the non-idempotent calls of these tests, and is a member of the epoch of
// the service.
func newBookingCluster(t testing.TB, size int) *cluster {
	c := newCluster(t, size)
	for _, n := range c.nodes {
		c.waitUntil("the node accepts bookings", func() bool { return c.book(n, "", "ready?").status == http.StatusOK })
	}
	c.waitUntil("all nodes are members of the epoch", func() bool {
		var status opsapi.Status
		getJSON(t, c.nodes[0].operatorsURL+"/v1/status", &status)
		return len(status.Epochs["jobs"].Members) == size
	})
	return c
}

// serveBooking responds with the number of executions of the idempotency key so far,
// or with bookingResponseSize bytes.
func (c *cluster) serveBooking(w http.ResponseWriter, r *http.Request) {
	counter, _ := c.executionsByKey.LoadOrStore(r.Header.Get("Idempotency-Key"), new(atomic.Int64))
	execution := counter.(*atomic.Int64).Add(1)
	if size := c.bookingResponseSize.Load(); size > 0 {
		_, _ = w.Write(make([]byte, size))
		return
	}
	_, _ = fmt.Fprintf(w, "run %d of %s", execution, r.Header.Get("Mangostand-Request-Id"))
}

// book sends a booking to an entry. It sends no idempotency key when key is "".
func (c *cluster) book(n *clusterNode, key, body string) response {
	c.t.Helper()
	header := map[string]string{"Mangostand-Caller": "atelier"}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	return mustSend(c.t, http.DefaultClient, http.MethodPost, n.callersURL+"/jobs/slots", header, []byte(body))
}

func newTestKey(i byte) string {
	return keyhome.NewKey(time.Now(), [10]byte{i, byte(time.Now().UnixNano()), byte(time.Now().UnixNano() >> 8)})
}

// Guards against a booking that several nodes execute although it has one idempotency
// key. The test covers the caller's request, the key protocol over QUIC and the key
// lookup of the operators' API together.
func TestBookingRunsOnceAcrossNodes(t *testing.T) {
	c := newBookingCluster(t, 3)
	key := newTestKey(1)
	first := c.book(c.nodes[0], key, "slot 4")
	require.Equal(t, http.StatusOK, first.status, first.body)
	require.Equal(t, "succeeded", first.outcome)
	for _, n := range c.nodes {
		repeated := c.book(n, key, "slot 4")
		require.Equal(t, http.StatusOK, repeated.status)
		require.Equal(t, first.body, repeated.body)
		require.Equal(t, "response", repeated.header.Get(call.HeaderRecorded))
	}
	conflict := c.book(c.nodes[1], key, "slot 5")
	require.Equal(t, http.StatusUnprocessableEntity, conflict.status)
	require.Equal(t, "not-run", conflict.outcome)

	generated := c.book(c.nodes[2], "", "slot 6")
	require.NotEmpty(t, generated.header.Get("Idempotency-Key"), "the entry returns the key that it generated")
	var outcome opsapi.KeyOutcome
	getJSON(t, c.nodes[1].operatorsURL+"/v1/outcome/"+key+"?service=jobs&caller=atelier", &outcome)
	require.Equal(t, opsapi.KeyRecorded, outcome.State)
	require.Equal(t, "succeeded", outcome.Outcome)
}

// Guards against a replayed response that appears complete although its body was too
// large to be stored.
func TestLargeResponseIsRecordedByDigest(t *testing.T) {
	c := newBookingCluster(t, 2)
	c.bookingResponseSize.Store(200_000)
	key := newTestKey(2)
	first := c.book(c.nodes[0], key, "x")
	require.Equal(t, http.StatusOK, first.status)
	require.Len(t, first.body, 200_000)
	repeated := c.book(c.nodes[1], key, "x")
	require.Equal(t, "succeeded", repeated.outcome)
	require.Equal(t, "status", repeated.header.Get(call.HeaderRecorded))
	require.Len(t, repeated.header.Get(call.HeaderResponseDigest), 64)
	require.NotEqual(t, first.body, repeated.body)
	counter, _ := c.executionsByKey.Load(key)
	require.EqualValues(t, 1, counter.(*atomic.Int64).Load())
}

// Guards against key records that are lost when their node stops gracefully.
func TestGracefulStopHandsOverKeyRecords(t *testing.T) {
	c := newBookingCluster(t, 3)
	firstBodies := map[string]string{}
	for i := range 30 {
		key := newTestKey(byte(i))
		got := c.book(c.nodes[i%3], key, "slot")
		require.Equal(t, http.StatusOK, got.status, got.body)
		firstBodies[key] = got.body
	}
	c.nodes[2].cancel()
	c.waitStopped(c.nodes[2])
	for key, body := range firstBodies {
		repeated := c.book(c.nodes[0], key, "slot")
		require.Equal(t, http.StatusOK, repeated.status, repeated.body)
		require.Equal(t, body, repeated.body)
	}
}

// BenchmarkCalls compares the latency of reads and bookings through the same nodes:
// go test -run - -bench Calls ./pkg/node
func BenchmarkCalls(b *testing.B) {
	c := newBookingCluster(b, 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			var durations []time.Duration
			for b.Loop() {
				started := time.Now()
				req, err := http.NewRequest(method, c.nodes[0].callersURL+"/jobs/slots", http.NoBody)
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
