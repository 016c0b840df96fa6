package backendserver

import (
	"net/http"
	"sync"
	"time"
)

// Load is the server's own load report. It may be stale or false.
type Load struct {
	InFlight uint32 `json:"in_flight"`
	Waiting  uint32 `json:"waiting"`
	Slots    uint32 `json:"slots"`
	Draining bool   `json:"draining"`
}

// reportedLoad keeps the last report for the time that it may be stale.
type reportedLoad struct {
	mu   sync.Mutex
	time time.Time
	load Load
}

// serveLoad answers a probe after the time that a probe takes.
func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(s.config.ProbeDelay):
		writeJSON(w, s.loadReport(time.Now()))
	case <-r.Context().Done():
	}
}

// loadReport returns the load that the server admits to.
func (s *Server) loadReport(now time.Time) Load {
	faults := s.faults.Load()
	s.report.mu.Lock()
	defer s.report.mu.Unlock()
	stale := time.Duration(faults.StaleLoadMS) * time.Millisecond
	if stale == 0 || now.Sub(s.report.time) >= stale {
		s.report.time = now
		s.report.load = Load{
			InFlight: uint32(len(s.slots)), Waiting: uint32(max(0, s.waiting.Load())), Slots: uint32(s.config.Slots),
		}
	}
	load := s.report.load
	load.Draining = s.draining.Load()
	if faults.FalseLoad != nil {
		load.InFlight = *faults.FalseLoad
		load.Waiting = 0
	}
	return load
}
