// Package opsapi is the listener for operators: health, status, metrics and
// the log level.
package opsapi

import (
	"encoding/json"
	"io"
	"net/http"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/logging"
)

// maxCommandSize bounds the body of a command in bytes.
const maxCommandSize = 4096

// Status is the state of a node's board at a glance.
type Status struct {
	Instance      board.InstanceID `json:"instance"`
	ConfigVersion uint64           `json:"config_version"`
	Local         board.Local      `json:"local"`
	Members       []board.Member   `json:"members"`
	InFlight      int              `json:"in_flight"`
	// Sections maps each section to its version and its writer.
	Sections map[string]SectionStatus `json:"sections"`
}

// SectionStatus describes one section of the board.
type SectionStatus struct {
	Version uint64 `json:"version"`
	Writer  string `json:"writer"`
}

// Handler returns the operators' handler.
func Handler(b *board.Board, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, StatusOf(b)) })
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		b.Announcements.Post(board.Announcement{Kind: board.AnnounceDrain})
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("PUT /v1/log-level", setLogLevel)
	mux.Handle("GET /metrics", metrics)
	return mux
}

// StatusOf reads the board.
func StatusOf(b *board.Board) Status {
	members := b.Members.Load()
	status := Status{
		Instance: members.Self, ConfigVersion: b.Config.Load().Version, Local: *b.Local.Load(),
		InFlight: b.Requests.Len(),
		Sections: map[string]SectionStatus{
			b.Config.Name():  {b.Config.Snapshot().Version, b.Config.Owner()},
			b.Members.Name(): {b.Members.Snapshot().Version, b.Members.Owner()},
			b.Local.Name():   {b.Local.Snapshot().Version, b.Local.Owner()},
			b.Load.Name():    {b.Load.Snapshot().Version, b.Load.Owner()},
			b.Pickers.Name(): {b.Pickers.Snapshot().Version, b.Pickers.Owner()},

			b.Admission.Name(): {b.Admission.Snapshot().Version, b.Admission.Owner()},
			b.Breakers.Name():  {b.Breakers.Snapshot().Version, b.Breakers.Owner()},
			b.Budgets.Name():   {b.Budgets.Snapshot().Version, b.Budgets.Owner()},
		},
	}
	for _, m := range members.ByInstance {
		status.Members = append(status.Members, m)
	}
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
