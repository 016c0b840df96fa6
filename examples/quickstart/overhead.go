package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"mangostand.example/mangostand/pkg/dynconf"
)

// overheadMetricSubstrings select, by their names, the metrics that count load
// probes and the bytes of control messages.
var overheadMetricSubstrings = []string{"probe", "control_bytes"}

// printOverhead prints the cost of load probes and control messages, summed over
// all nodes and per node and second, and the probe budget of a node.
func printOverhead(ctx context.Context, f *fleet) {
	totals := map[string]float64{}
	nodes := 0
	for _, inst := range f.instances {
		data, err := doRequest(ctx, http.MethodGet, "http://"+inst.operatorAddr+"/metrics")
		if err != nil {
			fmt.Printf("no metrics from %s: %v\n", inst.name, err)
			continue
		}
		nodes++
		addOverheadMetrics(totals, data)
	}
	names := make([]string, 0, len(totals))
	for name := range totals {
		names = append(names, name)
	}
	sort.Strings(names)
	nodeSeconds := float64(nodes) * time.Since(f.startedAt).Seconds()
	w := newTable(fmt.Sprintf("cost of measuring\tsum over %d nodes\tper node and second", nodes))
	for _, name := range names {
		_, _ = fmt.Fprintf(w, "%s\t%.0f\t%.1f\n", name, totals[name], totals[name]/nodeSeconds)
	}
	if !hasProbeMetric(names) {
		_, _ = fmt.Fprintln(w, "probes\tno metric")
	}
	_, _ = fmt.Fprintf(w, "budget of probes\t\t%d\n", probeBudget.ProbesPerSecond)
	_, _ = fmt.Fprintf(w, "budget of probe bytes\t\t%d\n", probeBudget.BytesPerSecond)
	flushTable(w)
}

func hasProbeMetric(names []string) bool {
	for _, n := range names {
		if strings.Contains(n, "probe") {
			return true
		}
	}
	return false
}

// addOverheadMetrics adds the overhead metrics of a node, given in the Prometheus
// text format, to the totals by name.
func addOverheadMetrics(totals map[string]float64, data []byte) {
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		line := scanner.Text()
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, "{")
		space := strings.LastIndexByte(line, ' ')
		if space < 0 || !isOverheadMetric(name) {
			continue
		}
		if value, err := strconv.ParseFloat(line[space+1:], 64); err == nil {
			totals[name] += value
		}
	}
}

func isOverheadMetric(name string) bool {
	for _, part := range overheadMetricSubstrings {
		if strings.Contains(name, part) {
			return true
		}
	}
	return false
}

// probeBudget is the probe budget of each node. The configurations of the examples
// do not change the default.
var probeBudget = dynconf.Default().ProbeBudget
