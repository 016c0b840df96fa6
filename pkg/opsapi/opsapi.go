// Package opsapi is the listener for operators: health, status, metrics and
// the log level.
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

// maxCommandSize bounds the body of a command in bytes.
const maxCommandSize = 4096

// Status is the state of a node's board at a glance.
type Status struct {
	Instance      board.InstanceID  `json:"instance"`
	ConfigVersion uint64            `json:"config_version"`
	LocalServer   board.LocalServer `json:"local"`
	Members       []board.Member    `json:"members"`
	InFlight      int               `json:"in_flight"`
	// Instances lists what this node knows of the load of each instance.
	Instances []InstanceStatus `json:"instances"`
	// Neighbours is the place of the node on the ring and its contact key.
	Neighbours board.Neighbours        `json:"neighbours"`
	Quarantine []board.QuarantineEntry `json:"quarantine"`
	// Epochs maps each service to its epoch as this node knows it.
	Epochs map[string]EpochStatus `json:"epochs"`
	// Keys describes the key records of this node.
	Keys KeysStatus `json:"keys"`
	// Sections maps each section to its version and its writer.
	Sections map[string]SectionStatus `json:"sections"`
}

// SectionStatus describes one section of the board.
type SectionStatus struct {
	Version uint64 `json:"version"`
	Writer  string `json:"writer"`
}

// NewHandler returns the operators' handler.
func NewHandler(b *board.Board, metrics http.Handler, keys KeyLookup) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { ready(b, w) })
	mux.HandleFunc("GET /healthz", health(b))
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, StatusOf(b)) })
	drainRoutes(mux, b)
	quarantineRoutes(mux, b)
	mux.HandleFunc("GET /v1/outcome/{key}", outcomeHandler(keys))
	mux.HandleFunc("PUT /v1/log-level", setLogLevel)
	mux.HandleFunc("GET /v1/config", handleConfig(b))
	mux.HandleFunc("GET /v1/retired", handleRetired(b))
	mux.Handle("GET /metrics", metrics)
	return mux
}

// StatusOf reads the board.
func StatusOf(b *board.Board) Status {
	members := b.Members.Load()
	status := Status{
		Instance: members.Self, ConfigVersion: b.Config.Load().Version, LocalServer: *b.LocalServer.Load(),
		InFlight: b.Requests.Len(), Instances: instancesOf(b), Neighbours: *b.Neighbours.Load(), Quarantine: QuarantineOf(b, time.Now()),
		Epochs: epochsOf(b), Keys: keysOf(b),
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

func setLogLevel(w http.ResponseWriter, r *http.Request) {
	word, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCommandSize))
	if err != nil {
		http.Error(w, "log level too long", http.StatusRequestEntityTooLarge)
		return
	}
	if err := logging.SetLevel(string(word)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
