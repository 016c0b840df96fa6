package store

import (
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"mangostand.example/mangostand/platform"
)

// Rates of the platform's store in calls per second.
const (
	defaultWriteRate = 300
	defaultReadRate  = 2000
)

// Faults is what the stand-in does wrong. The zero value, but for the rates,
// is a healthy store.
type Faults struct {
	// Outage answers each call with 503 and without effect.
	Outage bool `json:"outage"`
	// Unresponsive takes calls and answers none; they have no effect.
	Unresponsive bool `json:"silent"`
	// DelayMillis holds each call before it takes effect, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// LoseResponses is the number of next writes that take effect and whose
	// answer is lost.
	LoseResponses int `json:"lose_answers"`
	// LoseRequests is the number of next writes that are lost before they take
	// effect.
	LoseRequests int `json:"lose_requests"`
	// WriteRateLimit and ReadRate are limits in calls per second; 0 means none. A
	// waiting watch uses one read per second.
	WriteRateLimit int `json:"write_rate"`
	ReadRateLimit  int `json:"read_rate"`
	// PauseLeaseExpiry keeps leases whose time is up until it is turned off.
	PauseLeaseExpiry bool `json:"pause_expiry"`
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.writeLimiter, s.readLimiter = newLimiter(f.WriteRateLimit), newLimiter(f.ReadRateLimit)
	s.notifyWatches()
}

// Faults returns the faults as they stand.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// RequestStats counts the calls since the start.
type RequestStats struct {
	ByOperation map[platform.Kind]uint64 `json:"by_kind"`
	// RateLimited counts the calls above a rate.
	RateLimited uint64 `json:"rejected"`
	// WaitingWatches is the number of watches that wait now.
	WaitingWatches int `json:"waiting"`
}

// RequestStats returns the counters.
func (s *Store) RequestStats() RequestStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := RequestStats{ByOperation: map[platform.Kind]uint64{}, RateLimited: s.rateLimited, WaitingWatches: s.waitingWatches}
	for operation, n := range s.requestCounts {
		stats.ByOperation[operation] = n
	}
	return stats
}

// Snapshot keeps the present data under a name.
func (s *Store) Snapshot(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots[name] = snapshot{entries: cloneEntries(s.entries), revision: s.revision}
}

// Restore brings back the data of a snapshot, as a store does that lost its
// newest writes. Leases and the counter of fencing tokens are not part of the
// data. It reports whether there is such a snapshot.
func (s *Store) Restore(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved, ok := s.snapshots[name]
	if ok {
		s.entries, s.revision = cloneEntries(saved.entries), saved.revision
		s.history, s.compactedRevision = nil, s.revision
		s.notifyWatches()
	}
	return ok
}

type snapshot struct {
	entries  map[string]platform.Entry
	revision uint64
}

func cloneEntries(entries map[string]platform.Entry) map[string]platform.Entry {
	clone := make(map[string]platform.Entry, len(entries))
	for key, entry := range entries {
		clone[key] = entry
	}
	return clone
}

// faultDecision is what happens to one call.
type faultDecision struct {
	status       int
	unresponsive bool
	// loseRequest drops the call, loseAnswer drops only its answer.
	loseRequest  bool
	loseResponse bool
	delay        time.Duration
}

// decideFault counts a call and decides what happens to it.
func (s *Store) decideFault(operation platform.Kind, write bool) faultDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestCounts[operation]++
	decision := faultDecision{delay: time.Duration(s.faults.DelayMillis) * time.Millisecond, unresponsive: s.faults.Unresponsive}
	limiter := s.readLimiter
	if write {
		limiter = s.writeLimiter
	}
	switch {
	case s.faults.Outage:
		decision.status = http.StatusServiceUnavailable
	case !limiter.AllowN(s.now(), 1):
		s.rateLimited++
		decision.status = http.StatusTooManyRequests
	case write && s.faults.LoseRequests > 0:
		s.faults.LoseRequests--
		decision.loseRequest = true
	case write && s.faults.LoseResponses > 0:
		s.faults.LoseResponses--
		decision.loseResponse = true
	}
	return decision
}

// discardingResponseWriter takes an answer that nobody will see.
type discardingResponseWriter struct{ header http.Header }

func (d discardingResponseWriter) Header() http.Header         { return d.header }
func (d discardingResponseWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardingResponseWriter) WriteHeader(int)             {}

// injectFaults applies the faults to a handler.
func (s *Store) injectFaults(operation platform.Kind, write bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		decision := s.decideFault(operation, write)
		if decision.status != 0 {
			http.Error(w, http.StatusText(decision.status), decision.status)
			return
		}
		if decision.unresponsive {
			<-r.Context().Done()
			return
		}
		if decision.loseRequest {
			panic(http.ErrAbortHandler)
		}
		if decision.delay > 0 && !waitForDelay(r, decision.delay) {
			return
		}
		if decision.loseResponse {
			next(discardingResponseWriter{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// waitForDelay waits and reports whether the caller still waits, too.
func waitForDelay(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// registerAdminHandlers adds the interface for tests under /standin/.
func (s *Store) registerAdminHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("PUT /standin/faults", s.handlePutFaults)
	mux.HandleFunc("GET /standin/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.RequestStats()) })
	mux.HandleFunc("POST /standin/compact", func(w http.ResponseWriter, _ *http.Request) {
		s.Compact()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /standin/snapshots/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.Snapshot(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /standin/snapshots/{name}/restore", func(w http.ResponseWriter, r *http.Request) {
		if !s.Restore(r.PathValue("name")) {
			http.Error(w, "no such snapshot", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// handlePutFaults changes the faults that the body names and keeps the others.
func (s *Store) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "malformed faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	if faults.WriteRateLimit < 0 || faults.ReadRateLimit < 0 || faults.DelayMillis < 0 {
		http.Error(w, "rates and delay must not be negative", http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}
