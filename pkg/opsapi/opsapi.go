// Package opsapi implements the HTTP API for operators: health and readiness,
// status, metrics, the configuration in force, drain, quarantine, key outcomes,
// refused calls to retired routes and services, and the log level. Its handlers read
// the board and post requests to the controllers.
package opsapi

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/logging"
)

// maxCommandBytes limits the request body of a command.
const maxCommandBytes = 4096

// Status is the response to GET /v1/status: a summary of the board of a node.
type Status struct {
	Instance      board.InstanceID  `json:"instance"`
	ConfigVersion uint64            `json:"config_version"`
	LocalServer   board.LocalServer `json:"local"`
	Members       []board.Member    `json:"members"`
	InFlight      int               `json:"in_flight"`
	// Instances lists the load of each instance as this node knows it.
	Instances []InstanceStatus `json:"instances"`
	// Neighbours holds the ring successors of the node and its contact lease.
	Neighbours board.Neighbours        `json:"neighbours"`
	Quarantine []board.QuarantineEntry `json:"quarantine"`
	// Epochs maps each service to its current epoch as this node knows it.
	Epochs map[string]EpochStatus `json:"epochs"`
	// Keys counts the idempotency key records of this node.
	Keys KeysStatus `json:"keys"`
	// Sections maps the name of each board section to its version and writer.
	Sections map[string]SectionStatus `json:"sections"`
}

// SectionStatus is the version of a board section and the controller that writes
// it.
type SectionStatus struct {
	Version uint64 `json:"version"`
	Writer  string `json:"writer"`
}

// NewHandler returns the handler of the operators' API. It serves metrics at
// GET /metrics and looks up key outcomes with keys.
func NewHandler(b *board.Board, metrics http.Handler, keys KeyLookup) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { handleReady(b, w) })
	mux.HandleFunc("GET /healthz", newHealthHandler(b))
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, NewStatus(b)) })
	registerDrainRoutes(mux, b)
	registerQuarantineRoutes(mux, b)
	mux.HandleFunc("GET /v1/outcome/{key}", newOutcomeHandler(keys))
	mux.HandleFunc("PUT /v1/log-level", handleSetLogLevel)
	mux.HandleFunc("GET /v1/config", newConfigHandler(b))
	mux.HandleFunc("GET /v1/retired", newRetiredTrafficHandler(b))
	mux.Handle("GET /metrics", metrics)
	return mux
}

// NewStatus returns the status of the node from its board.
func NewStatus(b *board.Board) Status {
	members := b.Members.Load()
	status := Status{
		Instance: members.Self, ConfigVersion: b.Config.Load().Version, LocalServer: *b.LocalServer.Load(),
		InFlight: b.Requests.Len(), Instances: listInstances(b), Neighbours: *b.Neighbours.Load(), Quarantine: ListQuarantine(b, time.Now()),
		Epochs: epochStatuses(b), Keys: newKeysStatus(b),
		Sections: map[string]SectionStatus{
			b.Config.Name():      {b.Config.Snapshot().Version, b.Config.Owner()},
			b.ConfigState.Name(): {b.ConfigState.Snapshot().Version, b.ConfigState.Owner()},
			b.Members.Name():     {b.Members.Snapshot().Version, b.Members.Owner()},
			b.LocalServer.Name(): {b.LocalServer.Snapshot().Version, b.LocalServer.Owner()},
			b.Endpoints.Name():   {b.Endpoints.Snapshot().Version, b.Endpoints.Owner()},
			b.Epochs.Name():      {b.Epochs.Snapshot().Version, b.Epochs.Owner()},
			b.Pickers.Name():     {b.Pickers.Snapshot().Version, b.Pickers.Owner()},

			b.Neighbours.Name(): {b.Neighbours.Snapshot().Version, b.Neighbours.Owner()},
			b.Digest.Name():     {b.Digest.Snapshot().Version, b.Digest.Owner()},
			b.Versions.Name():   {b.Versions.Snapshot().Version, b.Versions.Owner()},
			b.Quarantine.Name(): {b.Quarantine.Snapshot().Version, b.Quarantine.Owner()},
			b.Admission.Name():  {b.Admission.Snapshot().Version, b.Admission.Owner()},
			b.Breakers.Name():   {b.Breakers.Snapshot().Version, b.Breakers.Owner()},
			b.Budgets.Name():    {b.Budgets.Snapshot().Version, b.Budgets.Owner()},
		},
	}
	for _, m := range members.ByInstance {
		status.Members = append(status.Members, m)
	}
	slices.SortFunc(status.Members, func(x, y board.Member) int { return cmp.Compare(x.Instance, y.Instance) })
	return status
}

func handleSetLogLevel(w http.ResponseWriter, r *http.Request) {
	level, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCommandBytes))
	if err != nil {
		http.Error(w, "log level too long", http.StatusRequestEntityTooLarge)
		return
	}
	if err := logging.SetLevel(string(level)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
