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

// row is the result of one run.
type row struct {
	shape, scenario, policy string
	repeat                  int
	seed                    uint64
	load                    float64
	result                  *loadgen.Result
	// oddShare is the share of the first server among the calls that the
	// servers of its service received, relative to a fair share.
	oddShare float64
	// probes and probeBytes are sums over all nodes; received those of servers.
	probes, probeBytes float64
	received           uint64
}

// warmup is the part of each run that is not counted.
const warmup = time.Second

// measure runs one scenario with one policy on a fleet.
func measure(ctx context.Context, f *fleet, s *scenario, policy string, seed uint64, counted time.Duration) (*row, error) {
	if err := f.apply(ctx, policy, options.extra); err != nil {
		return nil, errors.Trace(err)
	}
	for i, m := range f.members {
		b := behaviour{slow: 1}
		if m.service == f.shape.services[0].name {
			b = s.server(i)
		}
		m.server.behaviour.Store(&b)
	}
	probes, probeBytes := f.sumMetric("mangostand_probes_sent"), f.sumMetric("mangostand_probe_bytes")
	lost := ""
	if s.loseDomain {
		lost = f.shape.domains[len(f.shape.domains)-1]
	}
	doer := newEntryDoer(f)
	start := make([]uint64, len(f.members))
	event := time.AfterFunc(warmup, func() {
		if s.loseDomain {
			f.network.lost.Store(&lost)
		}
		if s.event != nil {
			s.event(ctx, f)
		}
	})
	defer event.Stop()
	time.AfterFunc(warmup, func() { copy(start, f.received()) })
	result, err := loadgen.Run(ctx, loadgen.Plan{
		Rate: s.load * f.shape.capacity(), Duration: warmup + counted, Warmup: warmup,
		Mix: s.mix(f.shape), Targets: f.targets(lost), Seed: seed,
	}, doer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &row{shape: f.shape.name, scenario: s.name, policy: policy, seed: seed, load: s.load, result: result}
	r.oddShare, r.received = f.oddShare(start)
	// The metrics of a node are refreshed once a second.
	pause(ctx, 1200*time.Millisecond)
	r.probes = f.sumMetric("mangostand_probes_sent") - probes
	r.probeBytes = f.sumMetric("mangostand_probe_bytes") - probeBytes
	return r, nil
}

func (f *fleet) received() []uint64 {
	counts := make([]uint64, len(f.members))
	for i, m := range f.members {
		counts[i] = m.server.received.Load()
	}
	return counts
}

func (f *fleet) oddShare(start []uint64) (share float64, received uint64) {
	first := f.shape.services[0]
	var inService, odd uint64
	for i, n := range f.received() {
		n -= start[i]
		received += n
		if i < first.servers {
			inService += n
		}
		if i == 0 {
			odd = n
		}
	}
	return float64(odd) * float64(first.servers) / float64(max(inService, 1)), received
}

// sumMetric adds up a counter over the operators' listeners of all nodes.
func (f *fleet) sumMetric(name string) float64 {
	total := 0.0
	for _, m := range f.members {
		total += readMetric(m.operators+"/metrics", name)
	}
	return total
}

func readMetric(url, name string) float64 {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	total := 0.0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		line := lines.Text()
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
