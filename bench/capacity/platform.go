package main

import (
	"context"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/standin/meshsite"
)

const (
	// siteSlots, siteWork and siteTimeout describe the backend servers of the
	// platform's sites, which get no calls here.
	siteSlots   = 8
	siteWork    = 50 * time.Millisecond
	siteTimeout = 2 * time.Second
	// siteStart bounds the start of a site.
	siteStart = time.Minute
)

// meshReading is what one node of a site on the platform showed at one time.
type meshReading struct {
	reading
	peerBytes, stored float64
}

// measurePlatform measures the control of nodes on the platform: sites of each
// size without callers, whose backend servers announce themselves.
func measurePlatform(ctx context.Context, o options, dir string, table *results) error {
	binary, err := filepath.Abs(filepath.Join(o.bin, "mangostandd"))
	if err != nil {
		return errors.Trace(err)
	}
	for _, size := range o.sizes {
		if err := measureSite(ctx, o, meshsite.Options{
			Binary: binary, Dir: dir, Nodes: size, Service: serviceName(0), Slots: siteSlots, ServiceTime: siteWork, RouteTimeout: siteTimeout,
			MaxProcs: 1,
		}, table); err != nil {
			return errors.Annotatef(err, "site of %d", size)
		}
	}
	return nil
}

func measureSite(ctx context.Context, o options, site meshsite.Options, table *results) error {
	starting, cancel := context.WithTimeout(ctx, siteStart)
	defer cancel()
	s, err := meshsite.Start(starting, site)
	if err != nil {
		return errors.Trace(err)
	}
	defer s.Stop()
	if err := pause(ctx, o.settle); err != nil {
		return errors.Trace(err)
	}
	callsBefore, storeFrom := s.Store.RequestStats(), time.Now()
	before, err := readSite(s)
	if err != nil {
		return errors.Trace(err)
	}
	if err := pause(ctx, o.window); err != nil {
		return errors.Trace(err)
	}
	after, err := readSite(s)
	if err != nil {
		return errors.Trace(err)
	}
	if err := s.CheckDescriptors(); err != nil {
		return errors.Annotate(err, "measure fewer nodes")
	}
	addStore(table, len(after), callsBefore, s.Store.RequestStats(), time.Since(storeFrom).Seconds())
	addSite(table, before, after)
	return nil
}

func readSite(s *meshsite.Site) ([]meshReading, error) {
	var readings []meshReading
	for _, n := range s.Nodes {
		process, err := readProcess(n.PID())
		if err != nil {
			return nil, errors.Annotate(err, n.Name)
		}
		readings = append(readings, meshReading{process, float64(n.PeerRelay.ForwardedBytes()), float64(n.StoreRelay.ForwardedBytes())})
	}
	return readings, nil
}

// addSite adds the figures per node. Bytes are those of the connections that
// others opened to the node, in both directions: on average as many as it sends
// to all nodes.
func addSite(table *results, before, after []meshReading) {
	figures := []struct {
		name, unit string
		of         func(first, last meshReading, seconds float64) float64
	}{
		{"platform: processor", "% of a core", func(f, l meshReading, s float64) float64 { return 100 * (l.cpu - f.cpu) / s }},
		{"platform: resident memory", "MiB", func(_, l meshReading, _ float64) float64 { return l.resident / (1 << 20) }},
		{"platform: bytes between nodes", "B/s", func(f, l meshReading, s float64) float64 { return (l.peerBytes - f.peerBytes) / s }},
		{"platform: bytes with the store", "B/s", func(f, l meshReading, s float64) float64 { return (l.stored - f.stored) / s }},
	}
	for _, figure := range figures {
		var values []float64
		for i, last := range after {
			values = append(values, figure.of(before[i], last, last.at.Sub(before[i].at).Seconds()))
		}
		table.addNodes(figure.name, figure.unit, values)
	}
}
