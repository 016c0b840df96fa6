package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/loadgen"
)

// addedLatency is the latency that the mesh adds to calls with zero service
// time.
type addedLatency struct {
	site   string
	repeat int
	// directP99 and meshP99 are the 99th percentiles of the latency of calls made
	// directly to the backend servers and of calls through the mesh.
	directP99, meshP99 time.Duration
}

const (
	idleConnsPerTarget = 64
	// addedLatencyCallRate is in calls per second.
	addedLatencyCallRate = 600
	// addedLatencyDuration is the measured time, after the warm-up.
	addedLatencyDuration = 3 * time.Second
)

// measureAddedLatency compares calls through the mesh with calls made directly
// to the backend servers. The simulated latency between failure domains is off,
// since it is a cost of the network and not of the mesh.
func measureAddedLatency(ctx context.Context, f *fleet, seed uint64) (*addedLatency, error) {
	if err := f.applyPolicy(ctx, "hotcold", options.extraConfig); err != nil {
		return nil, errors.Trace(err)
	}
	f.network.delayDisabled.Store(true)
	defer f.network.delayDisabled.Store(false)
	for _, inst := range f.instances {
		inst.server.behaviour.Store(&behaviour{slowdown: 0})
	}
	plan := loadgen.Plan{
		Rate: addedLatencyCallRate, Duration: warmup + addedLatencyDuration, Warmup: warmup, Seed: seed,
		Mix: []loadgen.CallSpec{{Service: f.site.services[0].name, Method: "GET", Path: "/reads", Weight: 1, Deadline: defaultCallTimeout}},
	}
	for _, inst := range f.instances {
		if inst.service == f.site.services[0].name {
			plan.Targets = append(plan.Targets, loadgen.Target{Name: inst.name, URL: "http://" + inst.server.addr})
		}
	}
	backendSender := newDirectSender()
	direct, err := loadgen.Run(ctx, plan, backendSender)
	backendSender.client.CloseIdleConnections()
	if err != nil {
		return nil, errors.Trace(err)
	}
	plan.Targets = f.targets("")
	meshSender := loadgen.NewHTTPSender("bench", idleConnsPerTarget, nil)
	defer meshSender.Close()
	mesh, err := loadgen.Run(ctx, plan, meshSender)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &addedLatency{site: f.site.name, directP99: direct.P99(), meshP99: mesh.P99()}, nil
}

// directSender calls backend servers without going through a node.
type directSender struct{ client *http.Client }

func newDirectSender() *directSender {
	return &directSender{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerTarget}}}
}

// Send implements loadgen.Sender.
func (s *directSender) Send(ctx context.Context, scheduled *loadgen.ScheduledCall) loadgen.Response {
	req, err := http.NewRequestWithContext(ctx, scheduled.Spec.Method, scheduled.Target.URL+scheduled.Spec.Path, nil)
	if err != nil {
		return loadgen.Response{Outcome: "error"}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return loadgen.Response{Outcome: "error"}
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return loadgen.Response{Outcome: "succeeded", Status: resp.StatusCode, Instance: scheduled.Target.Name}
}
