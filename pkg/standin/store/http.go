package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/platform"
)

const (
	maxValueSize = 1 << 20
	maxWait      = time.Minute
)

// Handler returns the HTTP interface of the store, and under /standin/ the
// faults, snapshots and counters for tests.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	s.addKeys(mux)
	s.addLeases(mux)
	s.addControls(mux)
	return mux
}

func (s *Store) addKeys(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/kv/{key...}", s.faulty(platform.KindGet, false, func(w http.ResponseWriter, r *http.Request) {
		entry, err := s.Get(r.PathValue("key"))
		reply(w, entry, err)
	}))
	mux.HandleFunc("GET /v1/list", s.faulty(platform.KindList, false, func(w http.ResponseWriter, r *http.Request) {
		reply(w, s.List(r.URL.Query().Get("prefix")), nil)
	}))
	mux.HandleFunc("GET /v1/watch/{key...}", s.faulty(platform.KindWatch, false, s.handleWatch))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.faulty(platform.KindSwap, true, s.handlePut))
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.faulty(platform.KindDelete, true, func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, s.Delete(r.PathValue("key"), number(r, "expect")))
	}))
}

func (s *Store) addLeases(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/leases", s.faulty(platform.KindGrant, true, func(w http.ResponseWriter, r *http.Request) {
		reply(w, s.Grant(time.Duration(number(r, "ttl_ms"))*time.Millisecond), nil)
	}))
	mux.HandleFunc("POST /v1/leases/{id}", s.faulty(platform.KindRenew, true, func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, s.Renew(r.PathValue("id")))
	}))
	mux.HandleFunc("DELETE /v1/leases/{id}", s.faulty(platform.KindRevoke, true, func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, s.Revoke(r.PathValue("id")))
	}))
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	wait := min(time.Duration(number(r, "wait_ms"))*time.Millisecond, maxWait)
	entry, err := s.Wait(r.PathValue("key"), number(r, "after"), wait, r.Context().Done())
	reply(w, entry, err)
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueSize))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	revision, err := s.CompareAndSwap(r.PathValue("key"), number(r, "expect"), value, r.URL.Query().Get("lease"))
	reply(w, map[string]uint64{"revision": revision}, err)
}

// number reads a whole number from the query, 0 when absent.
func number(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 63)
	if err != nil {
		return 0
	}
	return n
}

func reply(w http.ResponseWriter, answer any, err error) {
	switch {
	case errors.Is(err, errNotFound):
		http.Error(w, "not found", http.StatusNotFound)
	case errors.Is(err, errUnavailable):
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	case errors.Is(err, errConflict):
		http.Error(w, "conflict", http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	}
}
