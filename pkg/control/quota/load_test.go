package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/dynconf"
)

// zipfQuotas returns the quotas of 79 customers from 230 to 5 requests per second.
func zipfQuotas(burstSeconds float64) map[string]dynconf.RequestQuota {
	quotas := map[string]dynconf.RequestQuota{}
	for i := range 79 {
		rate := max(5, 230*math.Pow(float64(i+1), -1.2))
		quotas[fmt.Sprintf("customer-%d", i)] = dynconf.RequestQuota{Rate: rate, Burst: burstSeconds * rate}
	}
	return quotas
}

// Guards against more requests of a customer than its quota allows, against a quota
// that is not used, and against refusals of customers below their quota, when some
// customers suddenly send 3 to 8.4 times their usual load through all nodes.
func TestHotCustomersGetTheirQuota(t *testing.T) {
	for _, c := range []struct {
		size  int
		burst float64
		slow  bool
	}{{74, 0, false}, {74, 2, false}, {300, 0, false}, {300, 2, false}, {67, 0, true}} {
		t.Run(fmt.Sprintf("%d nodes, burst of %v s, slow links: %v", c.size, c.burst, c.slow), func(t *testing.T) {
			t.Parallel()
			playHotCustomers(t, c.size, c.burst, c.slow)
		})
	}
}

// slowLatency returns the latency of distant domains, with some replies that take longer
// than the time limit of a report.
func (f *testFleet) slowLatency() time.Duration {
	if f.random.Float64() < 0.003 {
		return time.Duration(f.random.Int64N(int64(600 * time.Millisecond)))
	}
	return 4500*time.Microsecond + time.Duration(f.random.ExpFloat64()*float64(10*time.Millisecond))
}

func playHotCustomers(t *testing.T, size int, burst float64, slow bool) {
	quotas := zipfQuotas(burst)
	f := newTestFleet(t, 1, size, 4, quotas)
	if slow {
		f.latency = f.slowLatency
	}
	start := f.now + 10*time.Second
	hotFrom, end := start+10*time.Second, start+25*time.Second
	hot := map[string]float64{"customer-0": 8.4, "customer-9": 3, "customer-78": 8.4}
	f.runUntil(start)
	for i := range len(quotas) {
		name := fmt.Sprintf("customer-%d", i)
		q := quotas[name]
		weights := f.unevenWeights()
		f.demand(name, q.Rate/1.6, weights, end)
		if factor := hot[name]; factor > 0 {
			f.after(hotFrom-f.now, func() { f.demand(name, q.Rate/1.6*(factor-1), weights, end) })
		}
	}
	f.runUntil(start + 4*time.Second)
	messages, bytes, waited := f.messages, f.bytes, f.waited
	f.runUntil(hotFrom)
	seconds := float64(size) * 6
	perNode := float64(f.bytes-bytes) / seconds
	t.Logf("steady state: %.0f bytes/s and %.2f messages/s per node, %.2f requests/s per node wait",
		perNode, float64(f.messages-messages)/seconds, float64(f.waited-waited)/seconds)
	messages, bytes = f.messages, f.bytes
	f.runUntil(end)
	seconds = float64(size) * (end - hotFrom).Seconds()
	t.Logf("hot: %.0f bytes/s and %.2f messages/s per node", float64(f.bytes-bytes)/seconds, float64(f.messages-messages)/seconds)
	if size == 300 {
		require.LessOrEqual(t, perNode, 1000.0, "control bytes per node and second")
	}
	for name, c := range f.customers {
		most := mostInWindow(c.admitted, 0)
		require.LessOrEqual(t, float64(most), bound(c.quota), name)
		if hot[name] == 0 {
			require.Empty(t, c.refused, "%s is below its quota of %v", name, c.quota.Rate)
			continue
		}
		require.Zero(t, countBetween(c.refused, 0, hotFrom), "%s is below its quota", name)
		// The burst is used up by then.
		from := hotFrom + 5*time.Second
		served := float64(countBetween(c.admitted, from, end)) / (c.quota.Rate * (end - from).Seconds())
		t.Logf("%s: rate %.1f, most in a window %d of %.0f, served %.2f of the quota", name, c.quota.Rate, most, bound(c.quota), served)
		require.GreaterOrEqual(t, served, 0.9, name)
	}
}
