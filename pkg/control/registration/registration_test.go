package registration

import (
	"context"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/platform"
)

// The tests run with GOMAXPROCS=1 because the race detector of Go 1.26 crashes
// when two threads run timers of one synctest bubble at the same time.
func init() { runtime.GOMAXPROCS(1) }

// countingStore is a store that responds after 4 ms and counts calls by kind.
type countingStore struct {
	mu          sync.Mutex
	calls       map[string]int
	unavailable bool
}

var errUnavailable = errors.New("store unavailable")

func (s *countingStore) call(name string) error {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[name]++
	if s.unavailable {
		return errUnavailable
	}
	return nil
}

func (s *countingStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// takeCounts returns the counts and resets them.
func (s *countingStore) takeCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.calls
	s.calls = map[string]int{}
	return counts
}

func (s *countingStore) Put(context.Context, string, []byte, string) (uint64, error) {
	return 1, s.call("put")
}

func (s *countingStore) List(context.Context, string) ([]platform.Entry, error) {
	return nil, s.call("list")
}

func (s *countingStore) ListStale(context.Context, string) ([]platform.Entry, error) {
	return nil, s.call("stale")
}

func (s *countingStore) GrantLease(context.Context, time.Duration) (platform.Lease, error) {
	return platform.Lease{ID: "1"}, s.call("grant")
}

func (s *countingStore) RenewLease(context.Context, string) error { return s.call("renew") }

func (s *countingStore) RevokeLease(context.Context, string) error { return s.call("revoke") }

// startNode runs the controller of a node that knows no other node. The returned
// function publishes the current content of record together with the record of a
// second node.
func startNode(ctx context.Context, store Store, record *board.NodeRecord) (publish func()) {
	b := board.NewMeshBoard(board.NodeIdentity{Instance: "n0", Service: "desk"})
	writer := b.Fleet.Claim("test")
	publish = func() {
		writer.Publish(&board.Fleet{Size: 2, ByInstance: map[board.InstanceID]*board.MeshEndpoint{
			"n0": {Record: *record, Reachability: &board.Reachability{}}, "n1": {Record: board.NodeRecord{Instance: "n1", Service: "desk"}, Reachability: &board.Reachability{}},
		}})
	}
	writer.Publish(&board.Fleet{Size: 1, ByInstance: map[board.InstanceID]*board.MeshEndpoint{"n0": {Record: *record, Reachability: &board.Reachability{}}}})
	go New(b, store, zerolog.Nop()).Run(ctx)
	return publish
}

// Guards against needless store calls, which are billed. A consistent listing
// costs as much as ten stale ones, and stale ones are good enough to discover
// other nodes. During an outage only the call that is due may be retried.
func TestStoreCallsInSteadyState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &countingStore{calls: map[string]int{}}
		record := &board.NodeRecord{Instance: "n0", Service: "desk", ServerID: "s", PeerAddr: "a"}
		publish := startNode(ctx, store, record)
		time.Sleep(50 * time.Millisecond)
		publish()
		time.Sleep(25 * time.Second)
		counts := store.takeCounts()
		require.Equal(t, map[string]int{"stale": 3, "grant": 1, "put": 1, "renew": counts["renew"]}, counts)
		require.LessOrEqual(t, counts["renew"], 8)

		record.Contention = board.ContentionNone
		publish()
		time.Sleep(time.Second)
		require.Equal(t, 1, store.takeCounts()["put"], "the contention finding is written")

		store.setUnavailable(true)
		time.Sleep(5 * time.Second)
		require.LessOrEqual(t, len(store.takeCounts()), 2, "only the call that is due is retried")
		store.setUnavailable(false)
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, store.takeCounts()["list"], "one consistent listing after the outage")
		store.takeCounts()
		cancel()
		time.Sleep(time.Second)
		require.Equal(t, map[string]int{"revoke": 1}, store.takeCounts())
	})
}

// Guards against accepting a malformed record or one without an instance or an
// address.
func TestDecodeRecord(t *testing.T) {
	_, err := DecodeRecord([]byte(strings.Repeat("x", 10)))
	require.Error(t, err)
	_, err = DecodeRecord([]byte{0xa0})
	require.ErrorContains(t, err, "without instance or address")
}
