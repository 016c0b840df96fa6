package quota

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
)

// runNode runs the controller of a node of a fleet.
func runNode(ctx context.Context, t *testing.T, controllers *sync.Map, id board.InstanceID, ids []board.InstanceID, listed bool) *board.MeshBoard {
	t.Helper()
	b := board.NewMeshBoard(board.NodeIdentity{Instance: id})
	view := &board.Fleet{Size: len(ids), ByInstance: map[board.InstanceID]*board.MeshEndpoint{}}
	for _, other := range ids {
		view.ByInstance[other] = &board.MeshEndpoint{Record: board.NodeRecord{Instance: other, PeerAddr: string(other)}, Reachability: &board.Reachability{}}
	}
	b.Fleet.Claim("test").Publish(view)
	if listed {
		b.Store.Claim("test").Publish(&board.StoreStatus{ListingRequestedAt: time.Now()})
	}
	table := dynconf.EmptyRouteTable()
	table.Version = 1
	table.Customers.AddCustomer(&dynconf.Customer{Name: "c", Quota: dynconf.RequestQuota{Rate: 50}})
	b.Routes.Claim("test").Publish(table)
	send := func(_ context.Context, addr string, m *Message) (*Response, error) {
		other, ok := controllers.Load(addr)
		if !ok {
			return nil, ErrEnded
		}
		return other.(*Controller).Respond(m)
	}
	c := New(b, testLimits, 7, send, nil, zerolog.Nop())
	started := time.Now()
	c.now = func() time.Duration { return time.Since(started) }
	controllers.Store(string(id), c)
	go c.Run(ctx)
	return b
}

// Guards against races between requests, reports and replies, and against requests that
// are not woken by the reply to the report that they asked for.
func TestControllersServeWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var controllers sync.Map
		var boards []*board.MeshBoard
		ids := []board.InstanceID{"a", "b", "c"}
		for _, id := range ids {
			boards = append(boards, runNode(ctx, t, &controllers, id, ids, false))
		}
		time.Sleep(10 * time.Second)
		var admitted atomic.Int64
		var requests sync.WaitGroup
		for _, b := range boards {
			for range 4 {
				requests.Go(func() {
					counter := b.Quotas.Load().ByCustomer["c"]
					for range 100 {
						replied := counter.Group.Replied()
						if counter.Take(time.Second) {
							admitted.Add(1)
						} else {
							counter.StartWaiting()
							counter.Group.Ask()
							<-replied
							counter.StopWaiting()
						}
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
		}
		requests.Wait()
		require.Greater(t, admitted.Load(), int64(150))
		require.LessOrEqual(t, float64(admitted.Load()), bound(dynconf.RequestQuota{Rate: 50})+50)
		cancel()
		synctest.Wait()
	})
}

// Guards against a node that takes itself for the whole fleet before it has read the
// store, which may be down, and lends the whole quota.
func TestNodeAloneWaitsForItsFirstListing(t *testing.T) {
	for _, listed := range []bool{false, true} {
		t.Run(fmt.Sprintf("listed: %v", listed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var controllers sync.Map
				b := runNode(ctx, t, &controllers, "a", []board.InstanceID{"a"}, listed)
				time.Sleep(time.Second)
				counter := b.Quotas.Load().ByCustomer["c"]
				counter.StartWaiting()
				counter.Group.Ask()
				<-counter.Group.Replied()
				synctest.Wait()
				require.Equal(t, listed, counter.Take(time.Second))
				require.Equal(t, !listed, counter.Group.Silent())
				cancel()
				synctest.Wait()
			})
		})
	}
}
