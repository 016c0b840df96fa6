package opsapi

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// ListQuarantine returns the suspected and quarantined requests that have not
// expired at now, sorted by digest.
func ListQuarantine(b *board.Board, now time.Time) []board.QuarantineEntry {
	entries := b.Quarantine.Load().Entries
	list := []board.QuarantineEntry{}
	for _, digest := range slices.Sorted(maps.Keys(entries)) {
		if now.Before(entries[digest].ExpiresAt) {
			list = append(list, entries[digest])
		}
	}
	return list
}

// registerQuarantineRoutes adds GET /v1/quarantine and DELETE /v1/quarantine/DIGEST.
func registerQuarantineRoutes(mux *http.ServeMux, b *board.Board) {
	mux.HandleFunc("GET /v1/quarantine", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, ListQuarantine(b, time.Now()))
	})
	mux.HandleFunc("DELETE /v1/quarantine/{digest}", func(w http.ResponseWriter, r *http.Request) {
		digest := r.PathValue("digest")
		if _, found := b.Quarantine.Load().Entries[digest]; !found {
			http.Error(w, "no such request in quarantine", http.StatusNotFound)
			return
		}
		if !b.QuarantineLifts.Post(board.QuarantineLift{Digest: digest}) {
			http.Error(w, "too many pending requests to lift a quarantine", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}
