package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/standin/store"
)

// maxResidentBytes is the resident memory of the fleet above which a run is
// aborted: half of the memory of the machine.
const maxResidentBytes = 14 << 30

// nodeSample holds the metrics and the resource usage of a node at one time.
type nodeSample struct {
	at            time.Time
	metrics       map[string]float64
	cpuSeconds    float64
	residentBytes float64
}

// counterPrefixes are the prefixes of the exported counters whose rates are
// reported.
var counterPrefixes = []string{
	"control_bytes_", "key_bytes_", "message_bytes_", "peer_wire_bytes_", "peer_wire_packets_",
}

// measureWindow measures the fleet at its current size over a time window.
func (f *fleet) measureWindow(ctx context.Context, window time.Duration, table *results) error {
	requestsBefore, err := f.fetchStoreRequestStats(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	windowStart := time.Now()
	before, err := f.sampleNodes(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if err := sleep(ctx, window); err != nil {
		return errors.Trace(err)
	}
	after, err := f.sampleNodes(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	requestsAfter, err := f.fetchStoreRequestStats(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	addStoreRates(table, len(f.nodes), requestsBefore, requestsAfter, time.Since(windowStart).Seconds())
	return f.addNodeFigures(table, before, after)
}

func (f *fleet) fetchStoreRequestStats(ctx context.Context) (store.RequestStats, error) {
	var stats store.RequestStats
	data, err := f.request(ctx, http.MethodGet, f.storeURL+"/standin/calls", nil)
	if err != nil {
		return stats, errors.Trace(err)
	}
	return stats, errors.Trace(json.Unmarshal(data, &stats))
}

// sampleNodes samples all nodes one after the other. The rates of a node are
// computed over the interval between its own samples.
func (f *fleet) sampleNodes(ctx context.Context) ([]nodeSample, error) {
	samples := make([]nodeSample, len(f.nodes))
	for i, n := range f.nodes {
		// The CPU time is read before the metrics are requested: rendering them
		// costs a node more CPU time than the control messages of one second.
		var err error
		if samples[i], err = sampleProcess(n.cmd.Process.Pid); err != nil {
			return nil, errors.Annotate(err, n.name)
		}
		data, err := f.request(ctx, http.MethodGet, "http://"+n.operatorsAddr+"/metrics", nil)
		if err != nil {
			return nil, errors.Annotate(err, n.name)
		}
		samples[i].metrics = parseMetrics(data)
	}
	return samples, nil
}

// sampleProcess reads the CPU time and the resident memory of a process.
func sampleProcess(pid int) (nodeSample, error) {
	var sample nodeSample
	var err error
	if sample.cpuSeconds, err = processCPUSeconds(pid); err != nil {
		return sample, errors.Trace(err)
	}
	sample.at = time.Now()
	sample.residentBytes, err = processResidentBytes(pid)
	return sample, errors.Trace(err)
}

// addNodeFigures adds the figures per node. It returns an error if the fleet uses
// more than maxResidentBytes.
func (f *fleet) addNodeFigures(table *results, before, after []nodeSample) error {
	values := map[string][]float64{}
	units := map[string]string{}
	addValue := func(figure, unit string, value float64) {
		values[figure] = append(values[figure], value)
		units[figure] = unit
	}
	fleetResident := 0.0
	for i, end := range after {
		start := before[i]
		seconds := end.at.Sub(start.at).Seconds()
		for name, value := range end.metrics {
			if isCounter(name) {
				addValue(name, "per s", (value-start.metrics[name])/seconds)
			}
		}
		// Includes the cost of one request for the metrics per window.
		addValue("processor", "% of a core", 100*(end.cpuSeconds-start.cpuSeconds)/seconds)
		addValue("resident memory", "MiB", end.residentBytes/(1<<20))
		addValue("heap in use", "MiB", end.metrics["go_memstats_heap_inuse_bytes"]/(1<<20))
		addValue("goroutines", "", end.metrics["go_goroutines"])
		addValue("peer connections", "", end.metrics["peer_connections"])
		fleetResident += end.residentBytes
	}
	for figure, nodeValues := range values {
		table.addPerNode(figure, units[figure], nodeValues)
	}
	if fleetResident > maxResidentBytes {
		return errors.Errorf("%d nodes use %.1f GiB of resident memory", len(f.nodes), fleetResident/(1<<30))
	}
	return nil
}

// addStoreRates adds the rates of the requests of the whole fleet to the store.
func addStoreRates(table *results, nodes int, before, after store.RequestStats, seconds float64) {
	for kind, n := range after.ByOperation {
		table.addSingle(fmt.Sprintf("store calls/%s", kind), "per s, fleet", nodes, float64(n-before.ByOperation[kind])/seconds)
	}
	table.addSingle("store watches waiting", "fleet", nodes, float64(after.WaitingWatches))
	table.addSingle("store calls rejected", "per s, fleet", nodes, float64(after.RateLimited-before.RateLimited)/seconds)
}

func isCounter(name string) bool {
	for _, prefix := range counterPrefixes {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

func sumOf(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

func maxOf(values []float64) float64 {
	result := values[0]
	for _, v := range values {
		result = max(result, v)
	}
	return result
}

// metricsExportDelay exceeds the time until a count shows in a node's metrics: up
// to one second to read the counter and one more to export it.
const metricsExportDelay = 3 * time.Second

// measureCalls makes non-idempotent calls through the first node and adds the
// bytes of key messages that the whole fleet sends per call.
func (f *fleet) measureCalls(ctx context.Context, count int, table *results) error {
	before, err := f.sampleNodes(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	startedAt := time.Now()
	succeeded := 0
	var lastErr error
	for i := range count {
		url := "http://" + f.nodes[0].callersAddr + "/" + serviceName(i%min(serviceCount, len(f.nodes))) + "/bookings"
		if _, err := f.request(ctx, http.MethodPost, url, []byte("{}")); err == nil {
			succeeded++
		} else {
			lastErr = err
		}
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
	}
	elapsed := time.Since(startedAt)
	if err := sleep(ctx, metricsExportDelay); err != nil {
		return errors.Trace(err)
	}
	after, err := f.sampleNodes(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if succeeded == 0 {
		return errors.Annotatef(lastErr, "none of %d non-idempotent calls succeeded", count)
	}
	total := 0.0
	for i := range after {
		total += after[i].metrics["key_bytes_sent_total"] - before[i].metrics["key_bytes_sent_total"]
	}
	table.addSingle("key messages per non-idempotent call", "bytes, fleet", len(f.nodes), total/float64(succeeded))
	table.addSingle("non-idempotent calls succeeded", "of 100", len(f.nodes), 100*float64(succeeded)/float64(count))
	table.addSingle("non-idempotent call, one at a time", "ms", len(f.nodes), elapsed.Seconds()*1000/float64(count))
	return nil
}
