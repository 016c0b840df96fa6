package opsapi

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// InstanceStatus is the load of one instance as this node knows it.
type InstanceStatus struct {
	Instance board.InstanceID `json:"instance"`
	Service  string           `json:"service"`
	// OwnInFlight is the number of calls in flight from this node,
	// EstimatedInFlight the estimate of those from all nodes.
	OwnInFlight       int64 `json:"own_in_flight"`
	EstimatedInFlight int64 `json:"estimated_in_flight"`
	// ServiceTimeMS is the median service time that the executor reported last, in
	// milliseconds; 0 when it has reported none.
	ServiceTimeMS float64 `json:"service_ms"`
	// Successes, Failures and Rejections count the outcomes of the calls from this
	// node.
	Successes  uint64 `json:"successes"`
	Failures   uint64 `json:"failures"`
	Rejections uint64 `json:"rejections"`
}

// listInstances returns the status of each instance in the Endpoints section,
// sorted by instance.
func listInstances(b *board.Board) []InstanceStatus {
	list := []InstanceStatus{}
	for _, endpoint := range b.Endpoints.Load().ByInstance {
		list = append(list, InstanceStatus{
			Instance: endpoint.Member.Instance, Service: endpoint.Member.Service,
			OwnInFlight: endpoint.OwnInFlight(), EstimatedInFlight: endpoint.EstimatedInFlight(),
			ServiceTimeMS: reportedServiceTimeMS(endpoint),
			Successes:     endpoint.Successes.Load(), Failures: endpoint.Failures.Load(), Rejections: endpoint.Rejections.Load(),
		})
	}
	slices.SortFunc(list, func(x, y InstanceStatus) int { return cmp.Compare(x.Instance, y.Instance) })
	return list
}

// reportedServiceTimeMS returns the service time of the latest load report in
// milliseconds, 0 without a report.
func reportedServiceTimeMS(endpoint *board.Endpoint) float64 {
	report := endpoint.LatestLoadReport()
	if report == nil {
		return 0
	}
	return float64(report.LatencyMicros) / float64(time.Millisecond/time.Microsecond)
}

// handleReady responds with 200 when the node can accept calls: it has a
// configuration, and neither the node nor its backend server is draining.
func handleReady(b *board.Board, w http.ResponseWriter) {
	switch {
	case b.Config.Load().Version == 0:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	case b.LocalServer.Load().Draining:
		http.Error(w, "draining", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}
