package store

import (
	"encoding/json"
	"net/http"

	"mangostand.example/mangostand/platform"
)

// maxControlSize bounds the body of a control call in bytes.
const maxControlSize = 1 << 16

// Handler returns the HTTP interface of the store, and under /standin/ the
// faults, snapshots and counters for tests.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	platform.RegisterStoreHandlers(mux, s, s.faulty)
	s.addControls(mux)
	return mux
}

func reply(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
