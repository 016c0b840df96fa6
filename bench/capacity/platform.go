package main

import (
	"context"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/standin/meshsite"
)

const (
	// siteSlots, siteServiceTime and siteTimeout describe the backend servers of
	// the sites on the platform, which get no calls here.
	siteSlots       = 8
	siteServiceTime = 50 * time.Millisecond
	siteTimeout     = 2 * time.Second
	// siteStartTimeout limits the time to start a site.
	siteStartTimeout = time.Minute
)

// siteNodeSample is the sample of a node of a site on the platform, with the bytes
// that were relayed to and from it and between it and the store.
type siteNodeSample struct {
	nodeSample
	peerBytes, storeBytes float64
}

// measurePlatform measures the control traffic of nodes on the deployment
// platform. It starts a site of each size, whose backend servers announce
// themselves and receive no calls.
func measurePlatform(ctx context.Context, o options, dir string, table *results) error {
	binary, err := filepath.Abs(filepath.Join(o.binDir, "mangostandd"))
	if err != nil {
		return errors.Trace(err)
	}
	for _, size := range o.sizes {
		if err := measureSite(ctx, o, meshsite.Options{
			Binary: binary, Dir: dir, Nodes: size, Service: serviceName(0), Slots: siteSlots, ServiceTime: siteServiceTime, RouteTimeout: siteTimeout,
			MaxProcs: 1,
		}, table); err != nil {
			return errors.Annotatef(err, "site of %d", size)
		}
	}
	return nil
}

func measureSite(ctx context.Context, o options, siteOptions meshsite.Options, table *results) error {
	startCtx, cancel := context.WithTimeout(ctx, siteStartTimeout)
	defer cancel()
	site, err := meshsite.Start(startCtx, siteOptions)
	if err != nil {
		return errors.Trace(err)
	}
	defer site.Stop()
	if err := sleep(ctx, o.settleDuration); err != nil {
		return errors.Trace(err)
	}
	requestsBefore, windowStart := site.Store.RequestStats(), time.Now()
	before, err := sampleSite(site)
	if err != nil {
		return errors.Trace(err)
	}
	if err := sleep(ctx, o.windowDuration); err != nil {
		return errors.Trace(err)
	}
	after, err := sampleSite(site)
	if err != nil {
		return errors.Trace(err)
	}
	if err := site.CheckDescriptors(); err != nil {
		return errors.Annotate(err, "ran out of file descriptors, measure fewer nodes")
	}
	addStoreRates(table, len(after), requestsBefore, site.Store.RequestStats(), time.Since(windowStart).Seconds())
	addSiteFigures(table, before, after)
	return nil
}

func sampleSite(site *meshsite.Site) ([]siteNodeSample, error) {
	var samples []siteNodeSample
	for _, n := range site.Nodes {
		sample, err := sampleProcess(n.PID())
		if err != nil {
			return nil, errors.Annotate(err, n.Name)
		}
		samples = append(samples, siteNodeSample{sample, float64(n.PeerRelay.ForwardedBytes()), float64(n.StoreRelay.ForwardedBytes())})
	}
	return samples, nil
}

// addSiteFigures adds the figures per node. The bytes between nodes are the bytes
// in both directions on the connections that other nodes opened to the node. On
// average over the nodes, they equal the bytes that a node sends to all others.
func addSiteFigures(table *results, before, after []siteNodeSample) {
	figures := []struct {
		name, unit string
		compute    func(from, to siteNodeSample, seconds float64) float64
	}{
		{"platform: processor", "% of a core", func(from, to siteNodeSample, s float64) float64 { return 100 * (to.cpuSeconds - from.cpuSeconds) / s }},
		{"platform: resident memory", "MiB", func(_, to siteNodeSample, _ float64) float64 { return to.residentBytes / (1 << 20) }},
		{"platform: bytes between nodes", "B/s", func(from, to siteNodeSample, s float64) float64 { return (to.peerBytes - from.peerBytes) / s }},
		{"platform: bytes with the store", "B/s", func(from, to siteNodeSample, s float64) float64 { return (to.storeBytes - from.storeBytes) / s }},
	}
	for _, figure := range figures {
		var values []float64
		for i, end := range after {
			values = append(values, figure.compute(before[i], end, end.at.Sub(before[i].at).Seconds()))
		}
		table.addPerNode(figure.name, figure.unit, values)
	}
}
