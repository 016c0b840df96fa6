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
	keys := NewKeys()
	id := KeyID{Key: "k"}
	done := &KeyRecord{State: KeyDone, Grant: 3}
	require.Same(t, done, keys.Homes.Insert(id, done, 1<<20))
	require.Panics(t, func() { keys.Homes.Swap(id, done, &KeyRecord{State: KeyGranted, Grant: 4}, 1<<20) })
	require.Panics(t, func() { keys.Homes.Swap(id, done, &KeyRecord{State: KeyDone, Grant: 2}, 1<<20) })
}

// Guards against two grants of a key by concurrent changes, and against a count
// of bytes that drifts.
func TestKeyRecordsChangeOnce(t *testing.T) {
	keys := NewKeys()
	id := KeyID{Key: "k"}
	first := &KeyRecord{State: KeyGranted, Grant: 1}
	keys.Homes.Insert(id, first, 1<<20)
	won := make(chan int, 8)
	var writers sync.WaitGroup
	for i := range 8 {
		writers.Go(func() {
			next := &KeyRecord{State: KeyDone, Grant: 1, Response: &KeyResponse{Body: make([]byte, 100*i)}}
			if keys.Homes.Swap(id, first, next, 1<<20) {
				won <- i
			}
		})
	}
	writers.Wait()
	require.Len(t, won, 1)
	require.Equal(t, RecordSize(id, keys.Homes.Get(id)), keys.Used())
	require.Equal(t, 1, keys.Homes.Expire(time.Now()))
	require.Zero(t, keys.Used())
	require.Nil(t, keys.Homes.Insert(id, first, 10), "the limit in bytes holds")
}
