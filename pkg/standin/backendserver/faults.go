package backendserver

import (
	"encoding/json"
	"net/http"
)

// Faults are the faults in force. The value is replaced as a whole by
// PUT /standin/faults.
type Faults struct {
	// SlowFactor multiplies the service time; 0 and 1 mean no change.
	SlowFactor float64 `json:"slow_factor"`
	// FailFast answers each call at once with 500.
	FailFast bool `json:"fail_fast"`
	// Hang works on each call until it is cancelled.
	Hang bool `json:"hang"`
	// Truncate cuts each answer after half of its body.
	Truncate bool `json:"truncate"`
	// IgnoreCrash runs marked requests instead of exiting.
	IgnoreCrash bool `json:"ignore_crash"`
	// StaleLoadMS keeps the reported load for this many milliseconds.
	StaleLoadMS int `json:"stale_load_ms"`
	// FalseLoad replaces the reported load when it is set.
	FalseLoad *uint32 `json:"false_load,omitempty"`
	// Silent stops the announcements.
	Silent bool `json:"silent"`
}

const (
	maxFaultsSize  = 4096
	maxSlowFactor  = 1000
	maxStaleLoadMS = 60_000
)

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var next Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsSize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&next); err != nil {
		http.Error(w, "malformed faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	if next.SlowFactor < 0 || next.SlowFactor > maxSlowFactor {
		http.Error(w, "slow_factor: expected 0 to 1000", http.StatusBadRequest)
		return
	}
	if next.StaleLoadMS < 0 || next.StaleLoadMS > maxStaleLoadMS {
		http.Error(w, "stale_load_ms: expected 0 to 60000", http.StatusBadRequest)
		return
	}
	s.faults.Store(&next)
	w.WriteHeader(http.StatusNoContent)
}
