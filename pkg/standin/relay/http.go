package relay

import (
	"encoding/json"
	"net/http"
)

// maxRulesSize bounds the body of a command in bytes.
const maxRulesSize = 64 << 10

// AdminHandler returns the commands: GET, PUT and DELETE /v1/rules, GET
// /v1/counters.
func (r *Relay) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rules", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, *r.rules.Load()) })
	mux.HandleFunc("PUT /v1/rules", r.handlePut)
	mux.HandleFunc("DELETE /v1/rules", func(w http.ResponseWriter, _ *http.Request) {
		r.rules.Store(&[]Rule{})
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /v1/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]uint64{
			"forwarded": r.counters.Forwarded.Load(), "dropped": r.counters.Dropped.Load(),
			"duplicated": r.counters.Duplicated.Load(), "reordered": r.counters.Reordered.Load(),
			"unknown": r.counters.Unknown.Load(),
		})
	})
	return mux
}

func (r *Relay) handlePut(w http.ResponseWriter, req *http.Request) {
	var rules []Rule
	decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxRulesSize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&rules); err != nil {
		http.Error(w, "malformed rules: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := r.SetRules(rules); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
