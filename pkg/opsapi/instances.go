package opsapi

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// InstanceStatus is what a node knows of the load of one instance.
type InstanceStatus struct {
	Instance board.InstanceID `json:"instance"`
	Service  string           `json:"service"`
	// OwnInFlight counts the calls of this node, EstimatedInFlight those of
	// all nodes.
	OwnInFlight       int64 `json:"own_in_flight"`
	EstimatedInFlight int64 `json:"estimated_in_flight"`
	// ServiceTimeMS is the executor's median service time as last reported, in
	// milliseconds.
	ServiceTimeMS float64 `json:"service_ms"`
	Successes     uint64  `json:"successes"`
	Failures      uint64  `json:"failures"`
	Rejections    uint64  `json:"rejections"`
}

// instancesOf reads the cells of the Load section.
func instancesOf(b *board.Board) []InstanceStatus {
	list := []InstanceStatus{}
	for _, cell := range b.Endpoints.Load().ByInstance {
		list = append(list, InstanceStatus{
			Instance: cell.Member.Instance, Service: cell.Member.Service,
			OwnInFlight: cell.OwnInFlight(), EstimatedInFlight: cell.EstimatedInFlight(),
			ServiceTimeMS: serviceMS(cell),
			Successes:     cell.Successes.Load(), Failures: cell.Failures.Load(), Rejections: cell.Rejections.Load(),
		})
	}
	slices.SortFunc(list, func(x, y InstanceStatus) int { return cmp.Compare(x.Instance, y.Instance) })
	return list
}

// serviceMS returns the reported service time, 0 without a report.
func serviceMS(cell *board.Endpoint) float64 {
	report := cell.LatestLoadReport()
	if report == nil {
		return 0
	}
	return float64(report.LatencyMicros) / float64(time.Millisecond/time.Microsecond)
}

// ready answers 200 when the node can carry calls: it has a configuration and
// its own backend server, if it has one, is not draining.
func ready(b *board.Board, w http.ResponseWriter) {
	switch {
	case b.Config.Load().Version == 0:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	case b.LocalServer.Load().Draining:
		http.Error(w, "draining", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}
