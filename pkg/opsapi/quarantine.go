package opsapi

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"mangostand.example/mangostand/pkg/board"
)

// QuarantineOf returns the suspected and quarantined requests in the order of
// their digests.
func QuarantineOf(b *board.Board, now time.Time) []board.QuarantineEntry {
	entries := b.Quarantine.Load().Entries
	list := []board.QuarantineEntry{}
	for _, digest := range slices.Sorted(maps.Keys(entries)) {
		if now.Before(entries[digest].ExpiresAt) {
			list = append(list, entries[digest])
		}
	}
	return list
}

// quarantineRoutes adds GET /v1/quarantine and DELETE /v1/quarantine/DIGEST.
func quarantineRoutes(mux *http.ServeMux, b *board.Board) {
	mux.HandleFunc("GET /v1/quarantine", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, QuarantineOf(b, time.Now()))
	})
	mux.HandleFunc("DELETE /v1/quarantine/{digest}", func(w http.ResponseWriter, r *http.Request) {
		digest := r.PathValue("digest")
		if _, found := b.Quarantine.Load().Entries[digest]; !found {
			http.Error(w, "no such request in quarantine", http.StatusNotFound)
			return
		}
		if !b.QuarantineLifts.Post(board.QuarantineLift{Digest: digest}) {
			http.Error(w, "too many orders", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}
