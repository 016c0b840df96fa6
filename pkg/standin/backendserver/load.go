package backendserver

import (
	"net/http"
	"sync"
	"time"
)

// LoadReport is the load that the server reports. Faults can make it stale or
// false.
type LoadReport struct {
	InFlight uint32 `json:"in_flight"`
	Waiting  uint32 `json:"waiting"`
	Slots    uint32 `json:"slots"`
	Draining bool   `json:"draining"`
}

// cachedLoadReport is the last report, which is reused while StaleLoadMS allows.
type cachedLoadReport struct {
	mu      sync.Mutex
	takenAt time.Time
	report  LoadReport
}

// handleLoad responds to a load probe after ProbeDelay.
func (s *Server) handleLoad(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(s.config.ProbeDelay):
		writeJSON(w, s.currentLoadReport(time.Now()))
	case <-r.Context().Done():
	}
}

// currentLoadReport returns the load report with the faults applied. Draining is
// always up to date.
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
