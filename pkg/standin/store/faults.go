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
	ReadRate       int `json:"read_rate"`
	// PauseExpiry keeps leases whose time is up until it is turned off.
	PauseExpiry bool `json:"pause_expiry"`
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.writes, s.reads = newLimiter(f.WriteRateLimit), newLimiter(f.ReadRate)
	s.notify()
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
	ByOperation map[platform.Operation]uint64 `json:"by_kind"`
	// RateLimited counts the calls above a rate.
	RateLimited uint64 `json:"rejected"`
	// WaitingWatches is the number of watches that wait now.
	WaitingWatches int `json:"waiting"`
}

// RequestStats returns the counters.
func (s *Store) RequestStats() RequestStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := RequestStats{ByOperation: map[platform.Operation]uint64{}, RateLimited: s.rejected, WaitingWatches: s.waiting}
	for kind, n := range s.calls {
		calls.ByOperation[kind] = n
	}
	return calls
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
	old, ok := s.snapshots[name]
	if ok {
		s.entries, s.revision = cloneEntries(old.entries), old.revision
		s.history, s.compacted = nil, s.revision
		s.notify()
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

// verdict is what happens to one call.
type verdict struct {
	status int
	silent bool
	// lostRequest drops the call, loseAnswer drops only its answer.
	lostRequest bool
	loseAnswer  bool
	delay       time.Duration
}

// admit counts a call and decides what happens to it.
func (s *Store) admit(kind platform.Operation, write bool) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	v := verdict{delay: time.Duration(s.faults.DelayMillis) * time.Millisecond, silent: s.faults.Unresponsive}
	limiter := s.reads
	if write {
		limiter = s.writes
	}
	switch {
	case s.faults.Outage:
		v.status = http.StatusServiceUnavailable
	case !limiter.AllowN(s.now(), 1):
		s.rejected++
		v.status = http.StatusTooManyRequests
	case write && s.faults.LoseRequests > 0:
		s.faults.LoseRequests--
		v.lostRequest = true
	case write && s.faults.LoseResponses > 0:
		s.faults.LoseResponses--
		v.loseAnswer = true
	}
	return v
}

// discard takes an answer that nobody will see.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

// faulty applies the faults to a handler.
func (s *Store) faulty(kind platform.Operation, write bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v := s.admit(kind, write)
		if v.status != 0 {
			http.Error(w, http.StatusText(v.status), v.status)
			return
		}
		if v.silent {
			<-r.Context().Done()
			return
		}
		if v.lostRequest {
			panic(http.ErrAbortHandler)
		}
		if v.delay > 0 && !pause(r, v.delay) {
			return
		}
		if v.loseAnswer {
			next(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// pause waits and reports whether the caller still waits, too.
func pause(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// addControls adds the interface for tests under /standin/.
func (s *Store) addControls(mux *http.ServeMux) {
	mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Faults()) })
	mux.HandleFunc("PUT /standin/faults", s.handleFaults)
	mux.HandleFunc("GET /standin/calls", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.RequestStats()) })
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

// handleFaults changes the faults that the body names and keeps the others.
func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlSize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "malformed faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	if faults.WriteRateLimit < 0 || faults.ReadRate < 0 || faults.DelayMillis < 0 {
		http.Error(w, "rates and delay must not be negative", http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	reply(w, faults)
}
