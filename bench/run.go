package main

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/loadgen"
)

// runResult holds the measurements of one run.
type runResult struct {
	site, scenario, policy string
	repeat                 int
	seed                   uint64
	loadFactor             float64
	loadResult             *loadgen.Result
	// firstServerShare is the number of calls that the first server received,
	// divided by the mean number of the servers of its service.
	firstServerShare float64
	// probes is the number of load probes that all nodes sent, probeBytes the size
	// of those that they sent or answered, and receivedCalls the number of calls
	// that all backend servers received.
	probes, probeBytes float64
	receivedCalls      uint64
}

// warmup is the time at the start of each run that is not measured.
const warmup = time.Second

// measureScenario runs one scenario with one policy on a fleet.
func measureScenario(ctx context.Context, f *fleet, s *scenario, policy string, seed uint64, duration time.Duration) (*runResult, error) {
	if err := f.applyPolicy(ctx, policy, options.extraConfig); err != nil {
		return nil, errors.Trace(err)
	}
	for i, inst := range f.instances {
		b := behaviour{slowdown: 1}
		if inst.service == f.site.services[0].name {
			b = s.serverBehaviour(i)
		}
		inst.server.behaviour.Store(&b)
	}
	probesBefore, probeBytesBefore := f.sumMetric("mangostand_probes_sent"), f.sumMetric("mangostand_probe_bytes")
	isolatedDomain := ""
	if s.isolateDomain {
		isolatedDomain = f.site.domains[len(f.site.domains)-1]
	}
	sender := newEntrySender(f)
	receivedBefore := make([]uint64, len(f.instances))
	warmupTimer := time.AfterFunc(warmup, func() {
		if s.isolateDomain {
			f.network.isolatedDomain.Store(&isolatedDomain)
		}
		if s.onMeasurementStart != nil {
			s.onMeasurementStart(ctx, f)
		}
	})
	defer warmupTimer.Stop()
	time.AfterFunc(warmup, func() { copy(receivedBefore, f.receivedCounts()) })
	result, err := loadgen.Run(ctx, loadgen.Plan{
		Rate: s.loadFactor * f.site.capacity(), Duration: warmup + duration, Warmup: warmup,
		Mix: s.callMix(f.site), Targets: f.targets(isolatedDomain), Seed: seed,
	}, sender)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &runResult{site: f.site.name, scenario: s.name, policy: policy, seed: seed, loadFactor: s.loadFactor, loadResult: result}
	r.firstServerShare, r.receivedCalls = f.firstServerShare(receivedBefore)
	// Nodes refresh their metrics once a second.
	sleep(ctx, 1200*time.Millisecond)
	r.probes = f.sumMetric("mangostand_probes_sent") - probesBefore
	r.probeBytes = f.sumMetric("mangostand_probe_bytes") - probeBytesBefore
	return r, nil
}

func (f *fleet) receivedCounts() []uint64 {
	counts := make([]uint64, len(f.instances))
	for i, inst := range f.instances {
		counts[i] = inst.server.received.Load()
	}
	return counts
}

// firstServerShare returns the value of runResult.firstServerShare and the calls
// that all servers received since before was read.
func (f *fleet) firstServerShare(before []uint64) (share float64, received uint64) {
	service := f.site.services[0]
	var inService, byFirst uint64
	for i, n := range f.receivedCounts() {
		n -= before[i]
		received += n
		if i < service.serverCount {
			inService += n
		}
		if i == 0 {
			byFirst = n
		}
	}
	return float64(byFirst) * float64(service.serverCount) / float64(max(inService, 1)), received
}

// sumMetric returns the sum of a metric over all nodes, read from their
// operators' listeners.
func (f *fleet) sumMetric(name string) float64 {
	total := 0.0
	for _, inst := range f.instances {
		total += fetchMetric(inst.operatorsURL+"/metrics", name)
	}
	return total
}

// fetchMetric returns the sum of all samples of a metric, or 0 if the metrics
// can't be read.
func fetchMetric(url, name string) float64 {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	total := 0.0
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		line := scanner.Text()
		if !strings.HasPrefix(line, name+"{") {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndex(line, " ")+1:], 64)
		if err == nil {
			total += value
		}
	}
	return total
}
