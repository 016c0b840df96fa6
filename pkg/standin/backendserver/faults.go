package backendserver

import (
	"encoding/json"
	"net/http"
)

// Faults are the faults that a server injects. PUT /standin/faults replaces all of
// them; omitted fields are reset.
type Faults struct {
	// SlowFactor multiplies the service time; 0 and 1 leave it unchanged.
	SlowFactor float64 `json:"slow_factor"`
	// FailFast responds to each call immediately with 500.
	FailFast bool `json:"fail_fast"`
	// Hang executes each call until it is canceled or its deadline passes.
	Hang bool `json:"hang"`
	// TruncateResponses closes the connection after half of each response body.
	TruncateResponses bool `json:"truncate"`
	// IgnoreCrashRequests executes requests with HeaderCrash instead of exiting.
	IgnoreCrashRequests bool `json:"ignore_crash"`
	// StaleLoadMS is how long a load report is reused before it is refreshed, in
	// milliseconds.
	StaleLoadMS int `json:"stale_load_ms"`
	// InFlightOverride, if not nil, is reported as the number of calls in flight,
	// with no waiting calls.
	InFlightOverride *uint32 `json:"false_load,omitempty"`
	// SuppressAnnouncements stops the periodic announcements.
	SuppressAnnouncements bool `json:"silent"`
}

const (
	maxFaultsBytes = 4096
	maxSlowFactor  = 1000
	maxStaleLoadMS = 60_000
)

func (s *Server) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "malformed faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	if faults.SlowFactor < 0 || faults.SlowFactor > maxSlowFactor {
		http.Error(w, "slow_factor: expected 0 to 1000", http.StatusBadRequest)
		return
	}
	if faults.StaleLoadMS < 0 || faults.StaleLoadMS > maxStaleLoadMS {
		http.Error(w, "stale_load_ms: expected 0 to 60000", http.StatusBadRequest)
		return
	}
	s.faults.Store(&faults)
	w.WriteHeader(http.StatusNoContent)
}
