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
	// TruncateResponses cuts each answer after half of its body.
	TruncateResponses bool `json:"truncate"`
	// IgnoreCrashRequests runs marked requests instead of exiting.
	IgnoreCrashRequests bool `json:"ignore_crash"`
	// StaleLoadMS keeps the reported load for this many milliseconds.
	StaleLoadMS int `json:"stale_load_ms"`
	// InFlightOverride replaces the reported load when it is set.
	InFlightOverride *uint32 `json:"false_load,omitempty"`
	// SuppressAnnouncements stops the announcements.
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
