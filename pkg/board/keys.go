package board

import (
	"sync"
	"sync/atomic"
	"time"

	"mangostand.example/mangostand/pkg/guard"
)

// KeyID identifies the records of one non-idempotent request.
type KeyID struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Caller  string `cbor:"2,keyasint" json:"caller"`
	// Key is the idempotency key, a UUID version 7 in its canonical text form.
	Key string `cbor:"3,keyasint" json:"key"`
}

// KeyState is the state of a key record.
type KeyState uint8

// Key states. The home uses KeyGranted, KeyUnknown and KeyDone; the executor uses
// KeyRunning, KeySealed and KeyDone.
const (
	// KeyGranted means that the home granted one attempt to one executor.
	KeyGranted KeyState = iota + 1
	// KeyUnknown means that the home reported the outcome as unknown to a caller.
	// The key is never granted again.
	KeyUnknown
	// KeyRunning means that the executor has sent the call to the backend server
	// or is about to.
	KeyRunning
	// KeySealed means that the executor will not run the recorded grant or any
	// lower one (fencing).
	KeySealed
	// KeyDone means that the outcome is recorded.
	KeyDone
)

var keyStateNames = [...]string{"none", "granted", "unknown", "running", "sealed", "done"}

// String returns the name used in logs and in the operators' API.
func (s KeyState) String() string {
	if int(s) < len(keyStateNames) {
		return keyStateNames[s]
	}
	return "invalid"
}

// allowedKeyTransitions holds, for each state, the set of states that may follow.
var allowedKeyTransitions = [...]uint32{
	KeyGranted: stateSet(KeyGranted, KeyUnknown, KeyDone),
	KeyUnknown: stateSet(KeyDone),
	KeyRunning: stateSet(KeySealed, KeyDone),
	KeySealed:  stateSet(KeySealed, KeyRunning),
	KeyDone:    stateSet(KeyDone),
}

// KeyResponse is the recorded response of a backend server.
type KeyResponse struct {
	Status uint16              `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	// BodyStored is false when the body was too large to store.
	BodyStored bool `cbor:"4,keyasint,omitempty"`
	// BodyDigest is the SHA-256 of the body in hex, "" when the body was not read
	// to the end.
	BodyDigest string `cbor:"5,keyasint,omitempty"`
}

// KeyRecord is the record of a key at its home or at an executor. It is
// immutable.
type KeyRecord struct {
	State KeyState `cbor:"1,keyasint"`
	// RequestDigest is a hash of method, path, query and body. It detects the
	// use of a key for another request.
	RequestDigest string `cbor:"2,keyasint"`
	// Executor and ExecutorIncarnation identify the holder of the grant.
	Executor            InstanceID `cbor:"3,keyasint"`
	ExecutorIncarnation uint64     `cbor:"4,keyasint"`
	// Grant is the number of the grant. It increases with each grant of the key,
	// also across epochs.
	Grant uint64 `cbor:"5,keyasint"`
	// RequestID and ClaimSequence identify the claim that obtained the grant.
	RequestID     string       `cbor:"6,keyasint,omitempty"`
	ClaimSequence uint32       `cbor:"7,keyasint,omitempty"`
	Outcome       Outcome      `cbor:"8,keyasint,omitempty"`
	Reason        Reason       `cbor:"9,keyasint,omitempty"`
	Response      *KeyResponse `cbor:"10,keyasint,omitempty"`
	// ExpiresAt is when the record may be dropped. No caller may use the key
	// afterwards.
	ExpiresAt time.Time `cbor:"11,keyasint"`
	// HomeAcknowledged is set at the executor when the home has recorded the
	// outcome.
	HomeAcknowledged bool `cbor:"-"`
	// GrantEpoch is the epoch in which this node, as the home, issued the grant.
	// It is 0 in a record received from another node.
	GrantEpoch uint64 `cbor:"-"`
	// ChangedAt is the local time of the last change.
	ChangedAt time.Time `cbor:"-"`
}

// recordOverheadBytes is the approximate size of a record without its strings
// and its response. With this value, a record that takes 494 bytes of heap counts
// as 551 bytes, see BenchmarkKeyRecordSize.
const recordOverheadBytes = 400

// KeyRecordSize returns the approximate size of a record in bytes.
func KeyRecordSize(id KeyID, r *KeyRecord) int64 {
	size := recordOverheadBytes + len(id.Service) + len(id.Caller) + len(id.Key) + len(r.RequestDigest) + len(r.RequestID)
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

// KeyTables holds the key records of a node. Only package atmostonce modifies
// them; any goroutine may read them.
type KeyTables struct {
	// HomeRecords holds the records that this node keeps as the home of the keys, in
	// this epoch or an earlier one.
	HomeRecords KeyTable
	// ExecutorRecords holds the records of the keys that this node executed or sealed.
	ExecutorRecords KeyTable

	sizeBytes atomic.Int64
}

// NewKeyTables returns empty tables that share one memory counter.
func NewKeyTables() *KeyTables {
	k := &KeyTables{}
	k.HomeRecords.sizeBytes = &k.sizeBytes
	k.ExecutorRecords.sizeBytes = &k.sizeBytes
	return k
}

// SizeBytes returns the approximate size of all records of both tables.
func (k *KeyTables) SizeBytes() int64 { return k.sizeBytes.Load() }

// KeyTable maps keys to records. A record changes by compare-and-swap to another
// record, along the allowed state transitions.
type KeyTable struct {
	records   sync.Map // of KeyID to *KeyRecord
	sizeBytes *atomic.Int64
	count     atomic.Int64
}

// Get returns the record of a key, or nil when there is none.
func (t *KeyTable) Get(id KeyID) *KeyRecord {
	if r, ok := t.records.Load(id); ok {
		return r.(*KeyRecord)
	}
	return nil
}

// Insert stores r unless the key already has a record. It returns the record that
// is in the table afterwards, or nil when r does not fit within the limit in
// bytes.
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
		t.sizeBytes.Add(-size)
		return actual.(*KeyRecord)
	}
	t.count.Add(1)
	return r
}

// CompareAndSwap replaces the record old by next. It returns false when old is no
// longer the current record or next does not fit within the limit in bytes. It
// panics when the transition is not allowed.
func (t *KeyTable) CompareAndSwap(id KeyID, old, next *KeyRecord, limit int64) bool {
	if allowedKeyTransitions[old.State]&(1<<next.State) == 0 || next.Grant < old.Grant {
		guard.Invariantf("board: key %s cannot move from %s grant %d to %s grant %d",
			id.Key, old.State, old.Grant, next.State, next.Grant)
	}
	delta := KeyRecordSize(id, next) - KeyRecordSize(id, old)
	if delta > 0 && !t.reserve(delta, limit) {
		return false
	}
	swapped := t.records.CompareAndSwap(id, old, next)
	switch {
	case swapped && delta < 0:
		t.sizeBytes.Add(delta)
	case !swapped && delta > 0:
		t.sizeBytes.Add(-delta)
	}
	return swapped
}

// reserve adds size to the memory counter unless that exceeds the limit.
func (t *KeyTable) reserve(size, limit int64) bool {
	if t.sizeBytes.Add(size) <= limit {
		return true
	}
	t.sizeBytes.Add(-size)
	return false
}

// Each calls f for each record until f returns false. It visits all records that
// were stored before the call.
func (t *KeyTable) Each(f func(KeyID, *KeyRecord) bool) {
	t.records.Range(func(k, v any) bool { return f(k.(KeyID), v.(*KeyRecord)) })
}

// DropExpired removes the expired records and returns their number.
func (t *KeyTable) DropExpired(now time.Time) int {
	dropped := 0
	t.Each(func(id KeyID, r *KeyRecord) bool {
		if now.After(r.ExpiresAt) && t.records.CompareAndDelete(id, r) {
			t.sizeBytes.Add(-KeyRecordSize(id, r))
			t.count.Add(-1)
			dropped++
		}
		return true
	})
	return dropped
}

// Len returns the number of records.
func (t *KeyTable) Len() int { return int(t.count.Load()) }
