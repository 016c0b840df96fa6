package board

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a record that goes back, such as an outcome that is replaced
// by a grant.
func TestKeyRecordRefusesForbiddenTransition(t *testing.T) {
	keys := NewKeyTables()
	id := KeyID{Key: "k"}
	done := &KeyRecord{State: KeyDone, Grant: 3}
	require.Same(t, done, keys.HomeRecords.Insert(id, done, 1<<20))
	require.Panics(t, func() { keys.HomeRecords.CompareAndSwap(id, done, &KeyRecord{State: KeyGranted, Grant: 4}, 1<<20) })
	require.Panics(t, func() { keys.HomeRecords.CompareAndSwap(id, done, &KeyRecord{State: KeyDone, Grant: 2}, 1<<20) })
}

// Guards against two grants of a key by concurrent changes, and against a count
// of bytes that drifts.
func TestKeyRecordsChangeOnce(t *testing.T) {
	keys := NewKeyTables()
	id := KeyID{Key: "k"}
	first := &KeyRecord{State: KeyGranted, Grant: 1}
	keys.HomeRecords.Insert(id, first, 1<<20)
	won := make(chan int, 8)
	var writers sync.WaitGroup
	for i := range 8 {
		writers.Go(func() {
			next := &KeyRecord{State: KeyDone, Grant: 1, Response: &KeyResponse{Body: make([]byte, 100*i)}}
			if keys.HomeRecords.CompareAndSwap(id, first, next, 1<<20) {
				won <- i
			}
		})
	}
	writers.Wait()
	require.Len(t, won, 1)
	require.Equal(t, KeyRecordSize(id, keys.HomeRecords.Get(id)), keys.SizeBytes())
	require.Equal(t, 1, keys.HomeRecords.DropExpired(time.Now()))
	require.Zero(t, keys.SizeBytes())
	require.Nil(t, keys.HomeRecords.Insert(id, first, 10), "the limit in bytes holds")
}
