// Package store stands in for the platform's key-value service in local runs
// and tests: compare-and-swap, leases and watches over HTTP.
package store

import (
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"mangostand.example/mangostand/pkg/platform"
)

// Errors of the stand-in.
const (
	errNotFound = errors.ConstError("not found")
	errConflict = errors.ConstError("conflict")
	// errUnavailable ends the watches that wait when an outage starts.
	errUnavailable = errors.ConstError("unavailable")
)

// Store holds the keys and leases. Any goroutine may use it.
type Store struct {
	now func() time.Time

	mu       sync.Mutex
	entries  map[string]platform.Entry
	revision uint64
	leases   map[string]*lease
	tokens   uint64
	changed  chan struct{}

	faults        Faults
	writes, reads *rate.Limiter
	calls         map[platform.Kind]uint64
	rejected      uint64
	waiting       int
	snapshots     map[string]snapshot
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store with the given clock and the rates of the
// platform's store.
func New(now func() time.Time) *Store {
	s := &Store{
		now: now, entries: map[string]platform.Entry{}, leases: map[string]*lease{}, changed: make(chan struct{}),
		calls: map[platform.Kind]uint64{}, snapshots: map[string]snapshot{},
	}
	s.SetFaults(Faults{WriteRate: defaultWriteRate, ReadRate: defaultReadRate})
	return s
}

// Get reads a key.
func (s *Store) Get(key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	entry, ok := s.entries[key]
	if !ok {
		return platform.Entry{}, errNotFound
	}
	return entry, nil
}

// List reads the keys that start with prefix, in their order.
func (s *Store) List(prefix string) []platform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	entries := []platform.Entry{}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// CompareAndSwap writes a key whose revision is expect, 0 for a new key.
func (s *Store) CompareAndSwap(key string, expect uint64, value []byte, leaseID string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.entries[key].Revision != expect {
		return 0, errConflict
	}
	if leaseID != "" && s.leases[leaseID] == nil {
		return 0, errNotFound
	}
	s.revision++
	s.entries[key] = platform.Entry{Key: key, Value: value, Revision: s.revision, Lease: leaseID}
	s.notify()
	return s.revision, nil
}

// Delete removes a key whose revision is expect.
func (s *Store) Delete(key string, expect uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	entry, ok := s.entries[key]
	if !ok {
		return errNotFound
	}
	if entry.Revision != expect {
		return errConflict
	}
	s.revision++
	delete(s.entries, key)
	s.notify()
	return nil
}

// watchTick is how often a waiting watch counts as a read and leases are
// checked.
const watchTick = time.Second

// Wait returns the entry of a key as soon as its revision is above after, or
// the current one when the time is up. A key that existed and was deleted is
// reported at once.
func (s *Store) Wait(key string, after uint64, wait time.Duration, done <-chan struct{}) (platform.Entry, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	s.addWaiting(1)
	defer s.addWaiting(-1)
	for {
		entry, changed, err := s.look(key)
		if err != nil && (err != errNotFound || after > 0) {
			return platform.Entry{}, err
		}
		if err == nil && entry.Revision > after {
			return entry, nil
		}
		select {
		case <-changed:
		case <-ticker.C:
			s.chargeWatch()
		case <-timer.C:
			return s.Get(key)
		case <-done:
			return s.Get(key)
		}
	}
}

func (s *Store) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

// chargeWatch takes one read of a waiting watch from the rate. The watch goes
// on, so that the calls of others are rejected when the rate is used up.
func (s *Store) chargeWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.ReserveN(s.now(), 1)
}

// look returns the entry of a key and the channel of the next change.
func (s *Store) look(key string) (platform.Entry, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return platform.Entry{}, nil, errUnavailable
	}
	s.expire()
	entry, ok := s.entries[key]
	if !ok {
		return entry, s.changed, errNotFound
	}
	return entry, s.changed, nil
}

// Grant creates a lease.
func (s *Store) Grant(ttl time.Duration) platform.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.tokens++
	id := "lease-" + strconv.FormatUint(s.tokens, 10)
	s.leases[id] = &lease{ttl: ttl, expires: s.now().Add(ttl)}
	return platform.Lease{ID: id, Token: s.tokens}
}

// Renew extends a lease.
func (s *Store) Renew(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return errNotFound
	}
	l.expires = s.now().Add(l.ttl)
	return nil
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.leases[id] == nil {
		return errNotFound
	}
	s.end(id)
	return nil
}

// expire ends the leases whose time is up.
func (s *Store) expire() {
	if s.faults.PauseExpiry {
		return
	}
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
}

func (s *Store) end(id string) {
	delete(s.leases, id)
	for key, entry := range s.entries {
		if entry.Lease == id {
			s.revision++
			delete(s.entries, key)
		}
	}
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
