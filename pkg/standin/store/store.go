// Package store is an in-memory implementation of the platform's key-value service
// for tests and local runs. It offers compare-and-swap, leases and watches over
// HTTP and injects faults.
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

// Errors of the store.
const (
	errNotFound = platform.ErrNotFound
	errConflict = platform.ErrConflict
	// errUnavailable ends the waiting watches when an outage starts.
	errUnavailable = platform.ErrUnavailable
)

// Store holds the keys and leases. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mu        sync.Mutex
	entries   map[string]platform.Entry
	revision  uint64
	era       uint64
	leases    map[string]*lease
	lastToken uint64
	changed   chan struct{}
	// history holds the latest changes; those up to compactedRevision have been
	// dropped.
	history           []platform.Event
	compactedRevision uint64

	faults                    Faults
	writeLimiter, readLimiter *rate.Limiter
	requestCounts             map[platform.Operation]uint64
	rateLimited               uint64
	waitingWatches            int
	snapshots                 map[string]snapshot
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// New returns an empty store with the given clock and the rate limits of the
// platform's store.
func New(now func() time.Time) *Store {
	s := &Store{
		now: now, era: firstEra, entries: map[string]platform.Entry{}, leases: map[string]*lease{}, changed: make(chan struct{}),
		requestCounts: map[platform.Operation]uint64{}, snapshots: map[string]snapshot{},
	}
	s.SetFaults(Faults{WriteRateLimit: defaultWriteRate, ReadRateLimit: defaultReadRate})
	return s
}

// firstEra is the era of a store that has never come back from an older copy.
const firstEra = 1

// Era returns the number of the current era, see RestoreOlderCopy.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Get returns the entry of a key.
func (s *Store) Get(key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	entry, ok := s.entries[key]
	if !ok {
		return platform.Entry{}, errNotFound
	}
	return entry, nil
}

// List returns the entries whose keys start with prefix, sorted by key.
func (s *Store) List(prefix string) []platform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	entries := []platform.Entry{}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// CompareAndSwap writes a key if its revision is expected, 0 for a key that does not
// exist.
func (s *Store) CompareAndSwap(key string, expected uint64, value []byte, leaseID string) (uint64, error) {
	return s.Commit(map[string]uint64{key: expected}, []platform.Entry{{Key: key, Value: value, Lease: leaseID}}, nil)
}

// Delete deletes a key if its revision is expected.
func (s *Store) Delete(key string, expected uint64) error {
	_, err := s.Commit(map[string]uint64{key: expected}, nil, []string{key})
	return err
}

// Commit atomically writes and deletes keys if each key in expected has the given
// revision, 0 for a key that does not exist. It returns the new revision of the
// store.
func (s *Store) Commit(expected map[string]uint64, writes []platform.Entry, remove []string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
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
		s.appendHistory(platform.Event{Entry: entry})
	}
	for _, key := range remove {
		s.deleteKey(key)
	}
	s.notifyWatches()
	return s.revision, nil
}

// deleteKey deletes a key. The caller holds mu.
func (s *Store) deleteKey(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.appendHistory(platform.Event{Entry: platform.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

// maxHistoryEvents is the number of changes that are kept for watches. A watch that
// is further behind gets platform.ErrCompacted.
const maxHistoryEvents = 1000

func (s *Store) appendHistory(event platform.Event) {
	s.history = append(s.history, event)
	if extra := len(s.history) - maxHistoryEvents; extra > 0 {
		s.compactedRevision = s.history[extra-1].Revision
		s.history = s.history[extra:]
	}
}

// Compact drops the history, like a store that restarts or runs short of memory.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// Revision returns the revision of the store, which is that of the latest change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Changes returns the changes to keys with the prefix after a revision. If there is
// none, it waits for the first one until wait has passed or done is closed.
func (s *Store) Changes(prefix string, after uint64, wait time.Duration, done <-chan struct{}) ([]platform.Event, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	ticker := time.NewTicker(watchPollInterval)
	defer ticker.Stop()
	s.addWaitingWatches(1)
	defer s.addWaitingWatches(-1)
	for {
		events, changed, err := s.changesAfter(prefix, after)
		if err != nil || len(events) > 0 {
			return events, err
		}
		select {
		case <-changed:
		case <-ticker.C:
			s.chargeWatchRead()
		case <-timer.C:
			return nil, nil
		case <-done:
			return nil, nil
		}
	}
}

// changesAfter returns the changes after a revision and a channel that is closed at
// the next change.
func (s *Store) changesAfter(prefix string, after uint64) ([]platform.Event, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return nil, nil, errUnavailable
	}
	s.expireLeases()
	// A revision ahead of the store's belongs to writes that Restore has undone.
	if after < s.compactedRevision || after > s.revision {
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

// watchPollInterval is the interval at which a waiting watch counts as a read and
// expires leases.
const watchPollInterval = time.Second

func (s *Store) addWaitingWatches(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitingWatches += n
}

// chargeWatchRead charges one read of a waiting watch to the read rate limit. The
// watch itself is never rejected; if the limit is exceeded, other reads are.
func (s *Store) chargeWatchRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readLimiter.ReserveN(s.now(), 1)
}

// Grant creates a lease with a new fencing token.
func (s *Store) Grant(ttl time.Duration) platform.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.lastToken++
	id := strconv.FormatUint(s.lastToken, 10)
	s.leases[id] = &lease{ttl: ttl, expiresAt: s.now().Add(ttl)}
	return platform.Lease{ID: id, Token: s.lastToken}
}

// Renew extends a lease by its TTL from now.
func (s *Store) Renew(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		return errNotFound
	}
	l.expiresAt = s.now().Add(l.ttl)
	return nil
}

// Revoke ends a lease and deletes the keys bound to it.
func (s *Store) Revoke(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.leases[id] == nil {
		return errNotFound
	}
	s.endLease(id)
	return nil
}

// expireLeases ends the leases whose TTL has passed. The caller holds mu.
func (s *Store) expireLeases() {
	if s.faults.PauseLeaseExpiry {
		return
	}
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and the keys bound to it. The caller holds mu.
func (s *Store) endLease(id string) {
	delete(s.leases, id)
	for key, entry := range s.entries {
		if entry.Lease == id {
			s.deleteKey(key)
		}
	}
	s.notifyWatches()
}

// notifyWatches wakes all waiting watches. The caller holds mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
