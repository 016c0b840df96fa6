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

// maxResident ends a run that would take half of the machine's memory.
const maxResident = 14 << 30

// reading is what one node showed at one time.
type reading struct {
	at       time.Time
	metrics  map[string]float64
	cpu      float64
	resident float64
}

// counters are the exported counters whose rates are figures, by prefix.
var counters = []string{
	"control_bytes_", "key_bytes_", "message_bytes_", "peer_wire_bytes_", "peer_wire_packets_",
}

// measure adds the figures of the present fleet over a window.
func (f *fleet) measure(ctx context.Context, window time.Duration, table *results) error {
	callsBefore, err := f.storeCalls(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	storeFrom := time.Now()
	before, err := f.readAll(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if err := pause(ctx, window); err != nil {
		return errors.Trace(err)
	}
	after, err := f.readAll(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	callsAfter, err := f.storeCalls(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	addStore(table, len(f.nodes), callsBefore, callsAfter, time.Since(storeFrom).Seconds())
	return f.addNodes(table, before, after)
}

func (f *fleet) storeCalls(ctx context.Context) (store.RequestStats, error) {
	var calls store.RequestStats
	data, err := f.request(ctx, http.MethodGet, f.store+"/standin/calls", nil)
	if err != nil {
		return calls, errors.Trace(err)
	}
	return calls, errors.Trace(json.Unmarshal(data, &calls))
}

// readAll reads all nodes one after the other. A node's rates are taken over
// its own interval.
func (f *fleet) readAll(ctx context.Context) ([]reading, error) {
	readings := make([]reading, len(f.nodes))
	for i, n := range f.nodes {
		// The processor times are read first: the answer with the metrics costs
		// the node more than a second of its control work.
		var err error
		if readings[i], err = readProcess(n.cmd.Process.Pid); err != nil {
			return nil, errors.Annotate(err, n.name)
		}
		data, err := f.request(ctx, http.MethodGet, "http://"+n.operators+"/metrics", nil)
		if err != nil {
			return nil, errors.Annotate(err, n.name)
		}
		readings[i].metrics = parseMetrics(data)
	}
	return readings, nil
}

// readProcess reads what the system tells of a process.
func readProcess(pid int) (reading, error) {
	var r reading
	var err error
	if r.cpu, err = processSeconds(pid); err != nil {
		return r, errors.Trace(err)
	}
	r.at = time.Now()
	r.resident, err = residentBytes(pid)
	return r, errors.Trace(err)
}

// addNodes adds the figures per node.
func (f *fleet) addNodes(table *results, before, after []reading) error {
	values := map[string][]float64{}
	units := map[string]string{}
	put := func(figure, unit string, value float64) {
		values[figure] = append(values[figure], value)
		units[figure] = unit
	}
	resident := 0.0
	for i, last := range after {
		first := before[i]
		seconds := last.at.Sub(first.at).Seconds()
		for name, value := range last.metrics {
			if isCounter(name) {
				put(name, "per s", (value-first.metrics[name])/seconds)
			}
		}
		// The readings of the metrics are part of it: one per window.
		put("processor", "% of a core", 100*(last.cpu-first.cpu)/seconds)
		put("resident memory", "MiB", last.resident/(1<<20))
		put("heap in use", "MiB", last.metrics["go_memstats_heap_inuse_bytes"]/(1<<20))
		put("goroutines", "", last.metrics["go_goroutines"])
		put("peer connections", "", last.metrics["peer_connections"])
		resident += last.resident
	}
	for figure, list := range values {
		table.addNodes(figure, units[figure], list)
	}
	if resident > maxResident {
		return errors.Errorf("%d nodes take %.1f GiB of memory", len(f.nodes), resident/(1<<30))
	}
	return nil
}

// addStore adds the rates of the store's calls, for the whole fleet.
func addStore(table *results, nodes int, before, after store.RequestStats, seconds float64) {
	for kind, n := range after.ByOperation {
		table.single(fmt.Sprintf("store calls/%s", kind), "per s, fleet", nodes, float64(n-before.ByOperation[kind])/seconds)
	}
	table.single("store watches waiting", "fleet", nodes, float64(after.WaitingWatches))
	table.single("store calls rejected", "per s, fleet", nodes, float64(after.RateLimited-before.RateLimited)/seconds)
}

func isCounter(name string) bool {
	for _, prefix := range counters {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

func largest(list []float64) float64 {
	most := list[0]
	for _, v := range list {
		most = max(most, v)
	}
	return most
}

// reportDelay is longer than the node takes to export a count: a second to
// read it and a second to report it.
const reportDelay = 3 * time.Second

// measureCalls makes non-idempotent calls at the first node and adds the key
// messages that one of them costs the whole fleet.
func (f *fleet) measureCalls(ctx context.Context, count int, table *results) error {
	before, err := f.readAll(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	began := time.Now()
	succeeded := 0
	var failure error
	for i := range count {
		url := "http://" + f.nodes[0].callers + "/" + serviceName(i%min(services, len(f.nodes))) + "/bookings"
		if _, err := f.request(ctx, http.MethodPost, url, []byte("{}")); err == nil {
			succeeded++
		} else {
			failure = err
		}
		if ctx.Err() != nil {
			return errors.Trace(ctx.Err())
		}
	}
	took := time.Since(began)
	if err := pause(ctx, reportDelay); err != nil {
		return errors.Trace(err)
	}
	after, err := f.readAll(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if succeeded == 0 {
		return errors.Annotatef(failure, "none of %d non-idempotent calls succeeded", count)
	}
	total := 0.0
	for i := range after {
		total += after[i].metrics["key_bytes_sent_total"] - before[i].metrics["key_bytes_sent_total"]
	}
	table.single("key messages per non-idempotent call", "bytes, fleet", len(f.nodes), total/float64(succeeded))
	table.single("non-idempotent calls succeeded", "of 100", len(f.nodes), 100*float64(succeeded)/float64(count))
	table.single("non-idempotent call, one at a time", "ms", len(f.nodes), took.Seconds()*1000/float64(count))
	return nil
}
