package routefeed

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/bootclock"
	"mangostand.example/mangostand/pkg/standin/store"
	"mangostand.example/mangostand/platform"
)

// revocationTime is the time in which a withdrawn API key has to be void.
const revocationTime = 5 * time.Second

// startStrict runs the controller of a node that needs proof of its configuration.
func startStrict(ctx context.Context, self board.InstanceID, others []board.InstanceID, s Store) *board.MeshBoard {
	b := board.NewMeshBoard(board.NodeIdentity{Instance: self})
	b.ConfigProven.Required = true
	view := &board.Fleet{ByInstance: map[board.InstanceID]*board.MeshEndpoint{self: {}}}
	for _, id := range others {
		view.ByInstance[id] = &board.MeshEndpoint{}
	}
	view.Size = len(view.ByInstance)
	b.Fleet.Claim("test").Publish(view)
	go New(b, s, nil, Options{RevocationTime: revocationTime}, nil, zerolog.Nop()).Run(ctx)
	return b
}

// proven reports whether the version in force was proven within a simulated time. Proofs
// are on the clock of the machine, which a test does not simulate, so a test looks at
// whether a new one arrives.
func proven(b *board.MeshBoard, wait func()) bool {
	mark := bootclock.Now()
	wait()
	// One reading of the clock: a pause between two of them would count as a proof.
	now := bootclock.Now()
	return b.ConfigProven.Age(b.Routes.Load().Version, now) <= now-mark
}

// Guards against a configuration that goes back with the store, against a withdrawn API
// key that is confirmed by an older document, and against a store that confirms at once
// what the older copy says, before operators have written again.
func TestOlderCopyConfirmsNothing(t *testing.T) {
	for name, size := range map[string]int{"polled": 0, "watched": maxPolledSize} {
		t.Run(name, func(t *testing.T) {
			withStore(t, func(t *testing.T, ctx context.Context, s *store.Store) {
				putDocument(t, s, paddedDocument(4, size))
				s.Snapshot("copy")
				b := startStrict(ctx, "a", nil, newClient(s))
				time.Sleep(startupGrace + 4*time.Second)
				putDocument(t, s, paddedDocument(5, size))
				time.Sleep(2 * time.Second)
				require.EqualValues(t, 5, b.Routes.Load().Version)
				confirmed := func() time.Duration { return b.ConfigConfirmed.Age(5, time.Now()) }
				require.Less(t, confirmed(), time.Second)
				require.True(t, proven(b, func() { time.Sleep(2 * time.Second) }))

				require.True(t, s.RestoreOlderCopy("copy"))
				age := confirmed()
				for range 100 {
					before := time.Now()
					require.False(t, proven(b, func() { time.Sleep(100 * time.Millisecond) }))
					age += time.Since(before)
					require.Equal(t, age, confirmed(), "nothing is confirmed")
					require.EqualValues(t, 5, b.Routes.Load().Version)
				}
				putDocument(t, s, paddedDocument(6, size))
				time.Sleep(2 * time.Second)
				require.EqualValues(t, 6, b.Routes.Load().Version)
				require.Less(t, b.ConfigConfirmed.Age(6, time.Now()), 1500*time.Millisecond)
				require.True(t, proven(b, func() { time.Sleep(2 * time.Second) }))
			})
		})
	}
}

// Guards against a store that confirms the document in force within 2 s after it came
// back from an older copy: a withdrawal may not have been written again yet.
func TestNewEraConfirmsAfterItHasSettled(t *testing.T) {
	withStore(t, func(t *testing.T, ctx context.Context, s *store.Store) {
		putVersion(t, s, 4)
		b := startStrict(ctx, "a", nil, newClient(s))
		time.Sleep(startupGrace + 4*time.Second)
		s.Snapshot("copy")
		time.Sleep(time.Second)
		require.True(t, s.RestoreOlderCopy("copy"))
		// The read of the new era may take readInterval to come.
		time.Sleep(readInterval + 10*time.Millisecond)
		require.False(t, proven(b, func() { time.Sleep(1400 * time.Millisecond) }))
		require.True(t, proven(b, func() { time.Sleep(2 * time.Second) }))
		require.Less(t, b.ConfigConfirmed.Age(4, time.Now()), time.Second)
	})
}

// Guards against a document that is taken for the one read before because its revision
// was assigned again, and against a watch that goes on from a revision of another era.
func TestRevisionsAreComparedWithinAnEra(t *testing.T) {
	for name, size := range map[string]int{"polled": 0, "watched": maxPolledSize} {
		t.Run(name, func(t *testing.T) {
			withStore(t, func(t *testing.T, ctx context.Context, s *store.Store) {
				putDocument(t, s, paddedDocument(4, size))
				s.Snapshot("copy")
				b := startController(ctx, "a", nil, newClient(s), nil)
				time.Sleep(startupGrace + 2*time.Second)
				putDocument(t, s, paddedDocument(5, size))
				time.Sleep(2 * time.Second)
				require.EqualValues(t, 5, b.Routes.Load().Version)
				require.True(t, s.RestoreOlderCopy("copy"))
				// The next write has the revision of version 5.
				putDocument(t, s, paddedDocument(6, size))
				time.Sleep(2 * time.Second)
				require.EqualValues(t, 6, b.Routes.Load().Version)
				require.True(t, s.RestoreOlderCopy("copy"))
				// The watch continues from a revision that the copy has.
				time.Sleep(50 * time.Millisecond)
				putDocument(t, s, paddedDocument(7, size))
				time.Sleep(2 * time.Second)
				require.EqualValues(t, 7, b.Routes.Load().Version)
			})
		})
	}
}

// Guards against reads of a store that confirms nothing by all nodes in quick succession:
// they are billed, and 600 nodes would read thousands of times per second.
func TestReadsOfAStoreThatConfirmsNothing(t *testing.T) {
	withStore(t, func(t *testing.T, ctx context.Context, s *store.Store) {
		putVersion(t, s, 4)
		var ids []board.InstanceID
		for i := range 60 {
			ids = append(ids, board.InstanceID(string(rune('A'+i))))
		}
		ranked := sortByWatchRank(ids)
		b := startStrict(ctx, ranked[len(ranked)-1], ids, newClient(s))
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 4, b.Routes.Load().Version)
		putVersion(t, s, 3)
		before := s.RequestStats().ByOperation[platform.OpList]
		time.Sleep(30 * time.Second)
		require.LessOrEqual(t, s.RequestStats().ByOperation[platform.OpList]-before, uint64(12), "one read in 3 s, as of an unreachable store")
		synctest.Wait()
	})
}

// Guards against a deployment without strict revocation in which all nodes read the store
// because it holds an older document.
func TestOlderCopyStillConfirmsWithoutStrictRevocation(t *testing.T) {
	withStore(t, func(t *testing.T, ctx context.Context, s *store.Store) {
		putVersion(t, s, 4)
		s.Snapshot("copy")
		b := startController(ctx, "a", nil, newClient(s), nil)
		time.Sleep(startupGrace + 2*time.Second)
		putVersion(t, s, 5)
		time.Sleep(2 * time.Second)
		require.True(t, s.RestoreOlderCopy("copy"))
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 5, b.Routes.Load().Version)
		require.Less(t, b.ConfigConfirmed.Age(5, time.Now()), time.Second)
	})
}

// Guards against a store without a document, as in a copy from before the first one, that
// is reported as a malformed configuration.
func TestCopyWithoutADocument(t *testing.T) {
	withStore(t, func(t *testing.T, ctx context.Context, s *store.Store) {
		s.Snapshot("empty")
		putVersion(t, s, 4)
		var logged bytes.Buffer
		b := board.NewMeshBoard(board.NodeIdentity{Instance: "a"})
		b.Fleet.Claim("test").Publish(&board.Fleet{Size: 1, ByInstance: map[board.InstanceID]*board.MeshEndpoint{"a": {}}})
		go New(b, newClient(s), nil, Options{}, nil, zerolog.New(&logged)).Run(ctx)
		time.Sleep(startupGrace + 2*time.Second)
		require.True(t, s.RestoreOlderCopy("empty"))
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.EqualValues(t, 4, b.Routes.Load().Version)
		require.Contains(t, logged.String(), "store_era")
		require.NotContains(t, logged.String(), "config_refused")
	})
}
