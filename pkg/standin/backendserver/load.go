package backendserver

import (
	"net/http"
	"sync"
	"time"
)

// LoadReport is the server's own load report. It may be stale or false.
type LoadReport struct {
	InFlight uint32 `json:"in_flight"`
	Waiting  uint32 `json:"waiting"`
	Slots    uint32 `json:"slots"`
	Draining bool   `json:"draining"`
}

// cachedLoadReport keeps the last report for the time that it may be stale.
type cachedLoadReport struct {
	mu      sync.Mutex
	takenAt time.Time
	report  LoadReport
}

// handleLoad answers a probe after the time that a probe takes.
func (s *Server) handleLoad(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(s.config.ProbeDelay):
		writeJSON(w, s.currentLoadReport(time.Now()))
	case <-r.Context().Done():
	}
}

// currentLoadReport returns the load that the server admits to.
func (s *Server) currentLoadReport(now time.Time) LoadReport {
	faults := s.faults.Load()
	s.cachedReport.mu.Lock()
	defer s.cachedReport.mu.Unlock()
	maxAge := time.Duration(faults.StaleLoadMS) * time.Millisecond
	if maxAge == 0 || now.Sub(s.cachedReport.takenAt) >= maxAge {
		s.cachedReport.takenAt = now
		s.cachedReport.report = LoadReport{
			InFlight: uint32(len(s.slots)), Waiting: uint32(max(0, s.waiting.Load())), Slots: uint32(s.config.Slots),
		}
	}
	report := s.cachedReport.report
	report.Draining = s.draining.Load()
	if faults.InFlightOverride != nil {
		report.InFlight = *faults.InFlightOverride
		report.Waiting = 0
	}
	return report
}
