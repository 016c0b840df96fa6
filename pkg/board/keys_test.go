package board

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a record that moves backwards, such as a grant that replaces a
// recorded outcome, or a lower grant number.
func TestKeyRecordRejectsInvalidTransition(t *testing.T) {
	keys := NewKeyTables()
	id := KeyID{Key: "k"}
	done := &KeyRecord{State: KeyDone, Grant: 3}
	require.Same(t, done, keys.HomeRecords.Insert(id, done, 1<<20))
	require.Panics(t, func() { keys.HomeRecords.CompareAndSwap(id, done, &KeyRecord{State: KeyGranted, Grant: 4}, 1<<20) })
	require.Panics(t, func() { keys.HomeRecords.CompareAndSwap(id, done, &KeyRecord{State: KeyDone, Grant: 2}, 1<<20) })
}

// Guards against concurrent changes of a key that all succeed, and against a
// memory counter that drifts from the size of the records.
func TestConcurrentKeySwapsHaveOneWinner(t *testing.T) {
	keys := NewKeyTables()
	id := KeyID{Key: "k"}
	first := &KeyRecord{State: KeyGranted, Grant: 1}
	keys.HomeRecords.Insert(id, first, 1<<20)
	winners := make(chan int, 8)
	var writers sync.WaitGroup
	for i := range 8 {
		writers.Go(func() {
			next := &KeyRecord{State: KeyDone, Grant: 1, Response: &KeyResponse{Body: make([]byte, 100*i)}}
			if keys.HomeRecords.CompareAndSwap(id, first, next, 1<<20) {
				winners <- i
			}
		})
	}
	writers.Wait()
	require.Len(t, winners, 1)
	require.Equal(t, KeyRecordSize(id, keys.HomeRecords.Get(id)), keys.SizeBytes())
	require.Equal(t, 1, keys.HomeRecords.DropExpired(time.Now()))
	require.Zero(t, keys.SizeBytes())
	require.Nil(t, keys.HomeRecords.Insert(id, first, 10), "the limit in bytes holds")
}
