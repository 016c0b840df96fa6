package board

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// KeyID identifies the record of one non-idempotent request.
type KeyID struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Caller  string `cbor:"2,keyasint" json:"caller"`
	// Key is a UUID version 7 in its canonical text form.
	Key string `cbor:"3,keyasint" json:"key"`
}

// KeyState is the state of a key record.
type KeyState uint8

// States of key records. The home uses granted, done and unknown; the executor
// uses running, sealed and done.
const (
	// KeyGranted: the home allowed one attempt at one executor.
	KeyGranted KeyState = iota + 1
	// KeyUnknown: the home told a caller that the outcome is not known. The key
	// is never granted again.
	KeyUnknown
	// KeyRunning: the executor is about to touch the backend server or has.
	KeyRunning
	// KeySealed: the executor never runs the recorded grant or a lower one.
	KeySealed
	// KeyDone: the outcome is recorded.
	KeyDone
)

var keyStateNames = [...]string{"none", "granted", "unknown", "running", "sealed", "done"}

// String returns the name used in logs and by operators.
func (s KeyState) String() string {
	if int(s) < len(keyStateNames) {
		return keyStateNames[s]
	}
	return "invalid"
}

// keyTransitions lists the states that may follow each state.
var keyTransitions = [...]uint32{
	KeyGranted: bits(KeyGranted, KeyUnknown, KeyDone),
	KeyUnknown: bits(KeyDone),
	KeyRunning: bits(KeySealed, KeyDone),
	KeySealed:  bits(KeySealed, KeyRunning),
	KeyDone:    bits(KeyDone),
}

// KeyResponse is a recorded response of a backend server.
type KeyResponse struct {
	Status uint16              `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	// BodyStored is false when the body was too large to be kept.
	BodyStored bool `cbor:"4,keyasint,omitempty"`
	// BodyDigest is the SHA-256 of the body in hex, "" when the body was not read
	// to its end.
	BodyDigest string `cbor:"5,keyasint,omitempty"`
}

// KeyRecord is what a home or an executor knows about a key. It is immutable.
type KeyRecord struct {
	State KeyState `cbor:"1,keyasint"`
	// RequestDigest binds the key to method, path, query and body.
	RequestDigest string `cbor:"2,keyasint"`
	// Executor and its incarnation hold the grant.
	Executor            InstanceID `cbor:"3,keyasint"`
	ExecutorIncarnation uint64     `cbor:"4,keyasint"`
	// Grant rises with each grant of the key, also across epochs.
	Grant uint64 `cbor:"5,keyasint"`
	// RequestID and Sequence identify the claim that obtained the grant.
	RequestID     string       `cbor:"6,keyasint,omitempty"`
	ClaimSequence uint32       `cbor:"7,keyasint,omitempty"`
	Outcome       Outcome      `cbor:"8,keyasint,omitempty"`
	Reason        Reason       `cbor:"9,keyasint,omitempty"`
	Response      *KeyResponse `cbor:"10,keyasint,omitempty"`
	// ExpiresAt is when the record may be dropped; no caller may run the key
	// after it.
	ExpiresAt time.Time `cbor:"11,keyasint"`
	// HomeAcknowledged is set at the executor once the home has the outcome.
	HomeAcknowledged bool `cbor:"-"`
	// GrantEpoch is the epoch in which this node, as the home, made the grant; 0 for
	// a record that came from another node.
	GrantEpoch uint64 `cbor:"-"`
	// ChangedAt is the local time of the last change.
	ChangedAt time.Time `cbor:"-"`
}

// recordOverhead is the approximate cost of a record in bytes without its
// strings and its response. BenchmarkKeyRecordSize measured 494 bytes of heap
// for a record that counts 551 with it.
const recordOverhead = 400

// KeyRecordSize returns the approximate size of a record in bytes.
func KeyRecordSize(id KeyID, r *KeyRecord) int64 {
	size := recordOverhead + len(id.Service) + len(id.Caller) + len(id.Key) + len(r.RequestDigest) + len(r.RequestID)
	if r.Response == nil {
		return int64(size)
	}
	size += len(r.Response.Body) + len(r.Response.BodyDigest)
	for name, values := range r.Response.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return int64(size)
}

// KeyTables holds the key records of a node. Only pkg/atmostonce changes them; any
// goroutine may read them.
type KeyTables struct {
	// HomeRecords holds the records of keys whose home is or was this node.
	HomeRecords KeyTable
	// ExecutorRecords holds the records of keys that this node executed or sealed.
	ExecutorRecords KeyTable

	used atomic.Int64
}

// NewKeyTables returns empty tables that share one count of bytes.
func NewKeyTables() *KeyTables {
	k := &KeyTables{}
	k.HomeRecords.used = &k.used
	k.ExecutorRecords.used = &k.used
	return k
}

// SizeBytes returns the approximate size of all records in bytes.
func (k *KeyTables) SizeBytes() int64 { return k.used.Load() }

// KeyTable maps identities to records. Records are replaced by
// compare-and-swap along allowed transitions.
type KeyTable struct {
	records sync.Map // of KeyID to *KeyRecord
	used    *atomic.Int64
	count   atomic.Int64
}

// Get returns the record of a key, or nil.
func (t *KeyTable) Get(id KeyID) *KeyRecord {
	if r, ok := t.records.Load(id); ok {
		return r.(*KeyRecord)
	}
	return nil
}

// Insert stores the first record of a key. It returns the record that is in
// the table afterwards, or nil when the limit in bytes does not allow another.
func (t *KeyTable) Insert(id KeyID, r *KeyRecord, limit int64) *KeyRecord {
	if existing := t.Get(id); existing != nil {
		return existing
	}
	size := KeyRecordSize(id, r)
	if !t.reserve(size, limit) {
		return nil
	}
	actual, loaded := t.records.LoadOrStore(id, r)
	if loaded {
		t.used.Add(-size)
		return actual.(*KeyRecord)
	}
	t.count.Add(1)
	return r
}

// CompareAndSwap replaces the record old by next. It reports whether old was still the
// current record and the limit in bytes allowed the change. A transition that
// is not allowed is a broken invariant and panics.
func (t *KeyTable) CompareAndSwap(id KeyID, old, next *KeyRecord, limit int64) bool {
	if keyTransitions[old.State]&(1<<next.State) == 0 || next.Grant < old.Grant {
		panic(fmt.Sprintf("board: key %s cannot move from %s grant %d to %s grant %d",
			id.Key, old.State, old.Grant, next.State, next.Grant))
	}
	delta := KeyRecordSize(id, next) - KeyRecordSize(id, old)
	if delta > 0 && !t.reserve(delta, limit) {
		return false
	}
	swapped := t.records.CompareAndSwap(id, old, next)
	switch {
	case swapped && delta < 0:
		t.used.Add(delta)
	case !swapped && delta > 0:
		t.used.Add(-delta)
	}
	return swapped
}

func (t *KeyTable) reserve(size, limit int64) bool {
	if t.used.Add(size) <= limit {
		return true
	}
	t.used.Add(-size)
	return false
}

// Each calls f for each record until f returns false. Records that were stored
// before the call are seen.
func (t *KeyTable) Each(f func(KeyID, *KeyRecord) bool) {
	t.records.Range(func(k, v any) bool { return f(k.(KeyID), v.(*KeyRecord)) })
}

// DropExpired drops the records whose time has passed and returns their number.
func (t *KeyTable) DropExpired(now time.Time) int {
	dropped := 0
	t.Each(func(id KeyID, r *KeyRecord) bool {
		if now.After(r.ExpiresAt) && t.records.CompareAndDelete(id, r) {
			t.used.Add(-KeyRecordSize(id, r))
			t.count.Add(-1)
			dropped++
		}
		return true
	})
	return dropped
}

// Len returns the number of records.
func (t *KeyTable) Len() int { return int(t.count.Load()) }
