package store

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"mangostand.example/mangostand/platform"
)

// Rate limits of the platform's store, in requests per second.
const (
	defaultWriteRate = 300
	defaultReadRate  = 2000
)

// Faults are the faults and rate limits of a store. The zero value is a healthy
// store without rate limits.
type Faults struct {
	// Outage rejects each request with 503 and ends waiting watches.
	Outage bool `json:"outage"`
	// Unresponsive accepts requests but neither executes nor responds to them.
	Unresponsive bool `json:"silent"`
	// DelayMillis is the delay before each request is executed, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// LoseResponses is the number of upcoming writes that are executed but whose
	// response is lost.
	LoseResponses int `json:"lose_answers"`
	// LoseRequests is the number of upcoming writes that are lost without being
	// executed.
	LoseRequests int `json:"lose_requests"`
	// WriteRateLimit and ReadRateLimit are limits in requests per second; 0 means no
	// limit. A waiting watch counts as one read per second.
	WriteRateLimit int `json:"write_rate"`
	ReadRateLimit  int `json:"read_rate"`
	// PauseLeaseExpiry keeps expired leases alive until it is reset.
	PauseLeaseExpiry bool `json:"pause_expiry"`
}

// SetFaults replaces the faults and wakes all watches, so that an outage ends them.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.writeLimiter, s.readLimiter = newLimiter(f.WriteRateLimit), newLimiter(f.ReadRateLimit)
	s.notifyWatches()
}

// Faults returns the current faults. LoseResponses and LoseRequests are the
// remaining numbers.
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

// RequestStats is the response body of GET /standin/calls.
type RequestStats struct {
	// ByOperation counts the requests since the start, including those that were not
	// executed.
	ByOperation map[platform.Operation]uint64 `json:"by_kind"`
	// RateLimited counts the requests that exceeded a rate limit.
	RateLimited uint64 `json:"rejected"`
	// WaitingWatches is the number of watches that currently wait for a change.
	WaitingWatches int `json:"waiting"`
}

// RequestStats returns the current counters.
func (s *Store) RequestStats() RequestStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := RequestStats{ByOperation: map[platform.Operation]uint64{}, RateLimited: s.rateLimited, WaitingWatches: s.waitingWatches}
	for operation, n := range s.requestCounts {
		stats.ByOperation[operation] = n
	}
	return stats
}

// Snapshot saves the current data under a name.
func (s *Store) Snapshot(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots[name] = snapshot{
		entries: cloneEntries(s.entries), revision: s.revision, leases: cloneLeases(s.leases), lastToken: s.lastToken,
		history: slices.Clone(s.history), compactedRevision: s.compactedRevision,
	}
}

// Restore replaces the data by that of a snapshot, as when a store loses its latest
// writes. It keeps leases, the counter of fencing tokens and the era. It reports
// whether the snapshot exists.
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

// RestoreOlderCopy makes the store come back from a snapshot, as when it fails over to
// an older copy: everything that was written since is gone, leases and history
// included, revisions and lease numbers are assigned again, and the era rises. A watch
// from a revision that the copy does not have gets platform.ErrCompacted. It reports
// whether the snapshot exists.
func (s *Store) RestoreOlderCopy(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved, ok := s.snapshots[name]
	if ok {
		s.entries, s.revision = cloneEntries(saved.entries), saved.revision
		s.leases, s.lastToken = cloneLeases(saved.leases), saved.lastToken
		s.history, s.compactedRevision = slices.Clone(saved.history), saved.compactedRevision
		s.era++
		s.notifyWatches()
	}
	return ok
}

type snapshot struct {
	entries           map[string]platform.Entry
	revision          uint64
	leases            map[string]*lease
	lastToken         uint64
	history           []platform.Event
	compactedRevision uint64
}

func cloneLeases(leases map[string]*lease) map[string]*lease {
	clone := make(map[string]*lease, len(leases))
	for id, l := range leases {
		copied := *l
		clone[id] = &copied
	}
	return clone
}

func cloneEntries(entries map[string]platform.Entry) map[string]platform.Entry {
	clone := make(map[string]platform.Entry, len(entries))
	for key, entry := range entries {
		clone[key] = entry
	}
	return clone
}

// faultDecision is the set of faults that apply to one request.
type faultDecision struct {
	status       int
	unresponsive bool
	// loseRequest drops the request, loseResponse only the response to it.
	loseRequest  bool
	loseResponse bool
	delay        time.Duration
}

// decideFault counts a request and decides which faults apply to it.
func (s *Store) decideFault(operation platform.Operation, write bool) faultDecision {
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

// discardingResponseWriter discards a response that is to be lost.
type discardingResponseWriter struct{ header http.Header }

func (d discardingResponseWriter) Header() http.Header         { return d.header }
func (d discardingResponseWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardingResponseWriter) WriteHeader(int)             {}

// injectFaults wraps a handler with the faults.
func (s *Store) injectFaults(operation platform.Operation, write bool, next http.HandlerFunc) http.HandlerFunc {
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

// waitForDelay waits and reports whether the client is still connected afterwards.
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

// registerAdminHandlers registers the admin API for tests under /standin/.
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
	mux.HandleFunc("POST /standin/snapshots/{name}/restore", restoreHandler(s.Restore))
	mux.HandleFunc("POST /standin/snapshots/{name}/restore-older-copy", restoreHandler(s.RestoreOlderCopy))
}

// restoreHandler returns a handler that restores the snapshot in the path.
func restoreHandler(restore func(name string) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !restore(r.PathValue("name")) {
			http.Error(w, "no such snapshot", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// handlePutFaults changes the faults in the request body and keeps the others.
func (s *Store) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "malformed faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	if faults.WriteRateLimit < 0 || faults.ReadRateLimit < 0 || faults.DelayMillis < 0 {
		http.Error(w, "write_rate, read_rate and delay_ms must not be negative", http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}
