package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/fleet"
)

// Guards against nodes that are declared gone because the store came back from a copy
// without their records and they have not registered again yet, and against keeping a
// node that is gone for longer than that.
func TestListingOfANewEraDropsNobodyTooEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNet()
		nodes := startFleet(ctx, n, 6)
		eventually(t, 5*time.Second, "all nodes know each other", allSeeAccepting(nodes, 6))
		time.Sleep(5 * time.Second)
		n.setPartitioned("addr-5", true)
		for _, node := range nodes[:5] {
			node.storeWriter.Publish(&board.StoreStatus{})
		}
		time.Sleep(15 * time.Second)
		synctest.Wait()
		require.True(t, allSeeAccepting(nodes[:5], 6)(), "a node was dropped without a listing")
		eraChangedAt := time.Now()
		list := func() {
			for _, node := range nodes[:5] {
				node.storeWriter.Publish(&board.StoreStatus{
					Reachable: true, ReachabilityChangedAt: eraChangedAt.Add(-time.Hour), EraChangedAt: eraChangedAt,
					ListingRequestedAt: time.Now(), ListedRecords: map[board.InstanceID]board.NodeRecord{},
				})
			}
		}
		list()
		time.Sleep(fleet.ReregistrationGrace - 10*time.Millisecond)
		list()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.True(t, allSeeAccepting(nodes[:5], 6)(), "a listing within 2.5 s of the new era dropped a node")
		list()
		eventually(t, 2*time.Second, "the unresponsive node is dropped", allSeeAccepting(nodes[:5], 5))
		cancel()
		synctest.Wait()
	})
}

// Guards against a drain or departure that ends because the store came back from a copy
// in which the backend server was still ready.
func TestWithdrawalsHoldAcrossAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		nodes := startFleet(ctx, newNet(), 8)
		eventually(t, 5*time.Second, "all nodes know each other", allSeeAccepting(nodes, 8))
		var older []board.NodeRecord
		for _, endpoint := range nodes[0].board.Fleet.Load().ByInstance {
			older = append(older, endpoint.Record)
		}
		nodes[3].serverWriter.Publish(&board.BackendServer{ID: "s3", State: board.ServerDraining, Service: "desk", Slots: 4})
		nodes[4].serverWriter.Publish(&board.BackendServer{ID: "s4", State: board.ServerGone, Service: "desk", Slots: 4})
		eventually(t, time.Second, "the withdrawals are known", allSeeAccepting(nodes, 6))
		for _, node := range nodes {
			node.publishListing(older...)
		}
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			require.True(t, allSeeAccepting(nodes, 6)(), "a backend server is in use again")
		}
		cancel()
		synctest.Wait()
	})
}
