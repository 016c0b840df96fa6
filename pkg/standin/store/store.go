// Package store stands in for the platform's key-value service in local runs
// and tests: compare-and-swap, leases and watches over HTTP.
package store

import (
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mangostand.example/mangostand/platform"
)

// Errors of the stand-in.
const (
	errNotFound = platform.ErrNotFound
	errConflict = platform.ErrConflict
	// errUnavailable ends the watches that wait when an outage starts.
	errUnavailable = platform.ErrUnavailable
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
	// history holds the newest changes; those up to compacted are dropped.
	history   []platform.Event
	compacted uint64

	faults        Faults
	writes, reads *rate.Limiter
	calls         map[platform.Operation]uint64
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
		calls: map[platform.Operation]uint64{}, snapshots: map[string]snapshot{},
	}
	s.SetFaults(Faults{WriteRateLimit: defaultWriteRate, ReadRate: defaultReadRate})
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
	return s.Commit(map[string]uint64{key: expect}, []platform.Entry{{Key: key, Value: value, Lease: leaseID}}, nil)
}

// Delete removes a key whose revision is expect.
func (s *Store) Delete(key string, expect uint64) error {
	_, err := s.Commit(map[string]uint64{key: expect}, nil, []string{key})
	return err
}

// Commit writes and deletes keys if each key of expected has its revision, 0
// for a missing key.
func (s *Store) Commit(expected map[string]uint64, writes []platform.Entry, remove []string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for key, revision := range expected {
		if s.entries[key].Revision != revision {
			return 0, errConflict
		}
	}
	for _, entry := range writes {
		if entry.Lease != "" && s.leases[entry.Lease] == nil {
			return 0, errNotFound
		}
	}
	for _, entry := range writes {
		s.revision++
		entry.Revision = s.revision
		s.entries[entry.Key] = entry
		s.record(platform.Event{Entry: entry})
	}
	for _, key := range remove {
		s.remove(key)
	}
	s.notify()
	return s.revision, nil
}

// remove deletes a key. The caller holds mu.
func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.record(platform.Event{Entry: platform.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

// historyLength is the number of changes that are kept for watches.
const historyLength = 1000

func (s *Store) record(event platform.Event) {
	s.history = append(s.history, event)
	if extra := len(s.history) - historyLength; extra > 0 {
		s.compacted = s.history[extra-1].Revision
		s.history = s.history[extra:]
	}
}

// Compact drops the history, as a store does that restarts or runs short.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.notify()
}

// Revision returns the number of the newest change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Changes returns the changes of keys with the prefix after a revision as soon
// as there is one, or none when the time is up.
func (s *Store) Changes(prefix string, after uint64, wait time.Duration, done <-chan struct{}) ([]platform.Event, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	s.addWaiting(1)
	defer s.addWaiting(-1)
	for {
		events, changed, err := s.since(prefix, after)
		if err != nil || len(events) > 0 {
			return events, err
		}
		select {
		case <-changed:
		case <-ticker.C:
			s.chargeWatch()
		case <-timer.C:
			return nil, nil
		case <-done:
			return nil, nil
		}
	}
}

func (s *Store) since(prefix string, after uint64) ([]platform.Event, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return nil, nil, errUnavailable
	}
	s.expire()
	// A revision of the future belongs to data that were lost.
	if after < s.compacted || after > s.revision {
		return nil, nil, platform.ErrCompacted
	}
	var events []platform.Event
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.changed, nil
}

// watchTick is how often a waiting watch counts as a read and leases are
// checked.
const watchTick = time.Second

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

// Grant creates a lease.
func (s *Store) Grant(ttl time.Duration) platform.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.tokens++
	id := strconv.FormatUint(s.tokens, 10)
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
			s.remove(key)
		}
	}
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
