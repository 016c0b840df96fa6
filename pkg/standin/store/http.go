package store

import (
	"encoding/json"
	"net/http"

	"mangostand.example/mangostand/platform"
)

// maxFaultsBytes bounds the body of PUT /standin/faults.
const maxFaultsBytes = 1 << 16

// Handler returns the handler of the store's HTTP API and, under /standin/, of the
// faults, snapshots and counters for tests.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	platform.RegisterStoreHandlers(mux, s, s.injectFaults)
	s.registerAdminHandlers(mux)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
