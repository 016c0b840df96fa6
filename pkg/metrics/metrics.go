// Package metrics sets up tally with its Prometheus reporter, so that the
// metrics of a node can be scraped over HTTP in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally passes its values to the reporter.
const reportInterval = time.Second

// New returns the root scope of a node, the HTTP handler that exposes it and a
// closer that reports the last values. Each node has a registry of its own, so
// that several nodes can run in one process.
func New(tags map[string]string) (tally.Scope, http.Handler, io.Closer) {
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "mangostand", Tags: tags, CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: sanitizeOptions(),
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}

// sanitizeOptions allows the characters of instance and service names in label
// values, as the text format does.
func sanitizeOptions() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges: tally.AlphanumericRange, Characters: []rune{'_', '-', '.', ':', '/'},
	}
	return &options
}
