package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/loadgen"
)

// added is the latency that the mesh adds to calls that take no time.
type added struct {
	shape  string
	repeat int
	// direct and mesh are the 99th percentiles with and without the mesh.
	direct, mesh time.Duration
}

const (
	connections  = 64
	addedRate    = 600
	addedCounted = 3 * time.Second
)

// measureAdded compares calls through the mesh with calls straight to the
// backend servers. Latency between domains is off: it belongs to the network.
func measureAdded(ctx context.Context, f *fleet, seed uint64) (*added, error) {
	if err := f.apply(ctx, "hotcold", options.extra); err != nil {
		return nil, errors.Trace(err)
	}
	f.network.near.Store(true)
	defer f.network.near.Store(false)
	for _, m := range f.members {
		m.server.behaviour.Store(&behaviour{slow: 0})
	}
	plan := loadgen.Plan{
		Rate: addedRate, Duration: warmup + addedCounted, Warmup: warmup, Seed: seed,
		Mix: []loadgen.CallSpec{{Service: f.shape.services[0].name, Method: "GET", Path: "/reads", Weight: 1, Deadline: callDeadline}},
	}
	for _, m := range f.members {
		if m.service == f.shape.services[0].name {
			plan.Targets = append(plan.Targets, loadgen.Target{Name: m.instance, URL: "http://" + m.server.addr})
		}
	}
	doer := newDirectDoer()
	direct, err := loadgen.Run(ctx, plan, doer)
	doer.client.CloseIdleConnections()
	if err != nil {
		return nil, errors.Trace(err)
	}
	plan.Targets = f.targets("")
	viaMesh := loadgen.NewHTTPSender("bench", connections, nil)
	defer viaMesh.Close()
	mesh, err := loadgen.Run(ctx, plan, viaMesh)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &added{shape: f.shape.name, direct: direct.P99(), mesh: mesh.P99()}, nil
}

// directDoer calls backend servers without a node.
type directDoer struct{ client *http.Client }

func newDirectDoer() *directDoer {
	return &directDoer{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}}
}

// Send implements loadgen.Doer.
func (d *directDoer) Send(ctx context.Context, shot *loadgen.ScheduledCall) loadgen.Response {
	req, err := http.NewRequestWithContext(ctx, shot.Spec.Method, shot.Target.URL+shot.Spec.Path, nil)
	if err != nil {
		return loadgen.Response{Outcome: "error"}
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return loadgen.Response{Outcome: "error"}
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return loadgen.Response{Outcome: "succeeded", Status: resp.StatusCode, Instance: shot.Target.Name}
}
