// Package metrics sets up tally with its Prometheus reporter, so that the
// figures of a node can be read over HTTP in the usual text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally passes its figures to the reporter.
const reportInterval = time.Second

// New returns the root scope of a node, the handler that exposes it and a
// closer that flushes the last figures.
func New(tags map[string]string) (tally.Scope, http.Handler, io.Closer) {
	// Each node has a registry of its own: programs may embed several nodes.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "mangostand", Tags: tags, CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}
