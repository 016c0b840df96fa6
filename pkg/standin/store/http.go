package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

const (
	maxValueSize = 1 << 20
	maxWait      = time.Minute
)

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", func(w http.ResponseWriter, r *http.Request) {
		entry, err := s.Get(r.PathValue("key"))
		reply(w, entry, err)
	})
	mux.HandleFunc("GET /v1/list", func(w http.ResponseWriter, r *http.Request) {
		reply(w, s.List(r.URL.Query().Get("prefix")), nil)
	})
	mux.HandleFunc("GET /v1/watch/{key...}", s.handleWatch)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.handlePut)
	mux.HandleFunc("DELETE /v1/kv/{key...}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, s.Delete(r.PathValue("key"), number(r, "expect")))
	})
	mux.HandleFunc("POST /v1/leases", func(w http.ResponseWriter, r *http.Request) {
		reply(w, s.Grant(time.Duration(number(r, "ttl_ms"))*time.Millisecond), nil)
	})
	mux.HandleFunc("POST /v1/leases/{id}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, s.Renew(r.PathValue("id")))
	})
	mux.HandleFunc("DELETE /v1/leases/{id}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, s.Revoke(r.PathValue("id")))
	})
	return mux
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
	case errors.Is(err, errConflict):
		http.Error(w, "conflict", http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	}
}
