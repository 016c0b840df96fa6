package directory

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
)

const (
	testDomains = 5
	// lossRatio is the share of exchanges that are lost in these tests.
	lossRatio = 0.05
	// spreadLimit is the time in which a change reaches all live nodes.
	spreadLimit = time.Second
)

// spreadSizes are the sizes of the fleets. The build tag large adds one that takes
// too long with the race detector.
var spreadSizes = []int{30, 200}

// crossDomainTraffic counts what crosses the boundaries of failure domains.
type crossDomainTraffic struct {
	// carriers counts the messages with a record of the observed node, bytes the
	// bytes of all messages.
	observed board.InstanceID
	carriers int
	bytes    int
}

func (c *crossDomainTraffic) add(from, to *board.MeshBoard, request, response *Message) {
	if from.Self.FailureDomain == to.Self.FailureDomain {
		return
	}
	for _, m := range []*Message{request, response} {
		data, err := cbor.Marshal(m)
		if err != nil {
			panic(err)
		}
		c.bytes += len(data)
		for _, record := range m.Records {
			if record.Instance == c.observed && record.State == board.ServerDraining {
				c.carriers++
			}
		}
	}
}

// startDomains starts a fleet of nodes in several failure domains that know each
// other from a listing of the store.
func startDomains(ctx context.Context, n *network, size int) []*testNode {
	var nodes []*testNode
	var records []board.NodeRecord
	for i := range size {
		name := board.InstanceID(fmt.Sprintf("n%d", i))
		node := n.startAt(ctx, i, 1, board.NodeIdentity{Instance: name, Service: "desk", FailureDomain: fmt.Sprint("d", i%testDomains)})
		nodes = append(nodes, node)
	}
	synctest.Wait()
	for i, node := range nodes {
		records = append(records, node.board.Fleet.Load().ByInstance[board.InstanceID(fmt.Sprintf("n%d", i))].Record)
	}
	for _, node := range nodes {
		node.publishListing(records...)
	}
	return nodes
}

// Guards against a change of one backend server that takes longer than 1 s to
// reach all nodes when messages are lost, and against one that crosses the
// boundary between failure domains once for each node.
func TestChangeCrossesDomainsAFewTimes(t *testing.T) {
	for _, size := range spreadSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				n := newNet()
				nodes := startDomains(ctx, n, size)
				eventually(t, 5*time.Second, "all nodes know each other", allSeeAccepting(nodes, size))
				time.Sleep(2 * time.Second)
				synctest.Wait()

				random := rand.New(rand.NewPCG(uint64(size), 1))
				traffic := &crossDomainTraffic{observed: "n3"}
				n.setFaults(func() bool { return random.Float64() < lossRatio }, traffic.add)
				nodes[3].serverWriter.Publish(&board.BackendServer{ID: "s3", State: board.ServerDraining, Service: "desk", Slots: 4})
				eventually(t, spreadLimit, "the drain is known to all nodes", allSeeAccepting(nodes, size-1))
				// Two pushes to each other domain, and the few random exchanges that
				// found a difference before the push arrived.
				require.LessOrEqual(t, traffic.carriers, 6*testDomains)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a failure domain that misses changes while it is cut off, and
// against records that all nodes of two domains send each other after it.
func TestDomainCatchesUpAfterAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 100
		ctx, cancel := context.WithCancel(t.Context())
		n := newNet()
		nodes := startDomains(ctx, n, size)
		eventually(t, 5*time.Second, "all nodes know each other", allSeeAccepting(nodes, size))
		setPartitioned := func(partitioned bool) {
			for i := 0; i < size; i += testDomains {
				n.setPartitioned(fmt.Sprintf("addr-%d", i), partitioned)
			}
		}
		setPartitioned(true)
		for _, number := range []int{1, 2, 3} {
			server := &board.BackendServer{ID: fmt.Sprint("s", number), State: board.ServerDraining, Service: "desk", Slots: 4}
			nodes[number].serverWriter.Publish(server)
		}
		time.Sleep(3 * time.Second)
		setPartitioned(false)
		eventually(t, 2*time.Second, "all nodes know all changes", allSeeAccepting(nodes, size-3))
		cancel()
		synctest.Wait()
	})
}

// Guards against a start of the fleet, or the replacement of many nodes at once,
// whose traffic between failure domains grows with the square of the fleet.
func TestTrafficBetweenDomainsGrowsWithTheFleet(t *testing.T) {
	perNode := map[int]float64{}
	for _, size := range []int{50, 200} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			n := newNet()
			traffic := &crossDomainTraffic{}
			n.setFaults(nil, traffic.add)
			nodes := startDomains(ctx, n, size)
			eventually(t, 5*time.Second, "all nodes know each other", allSeeAccepting(nodes, size))
			for number := range size / 4 {
				nodes[number].serverWriter.Publish(&board.BackendServer{ID: fmt.Sprint("next-", number), State: board.ServerReady, Service: "desk", Slots: 4})
			}
			time.Sleep(5 * time.Second)
			synctest.Wait()
			perNode[size] = float64(traffic.bytes) / float64(size)
			cancel()
			synctest.Wait()
		})
	}
	t.Logf("bytes between failure domains for each node: %.0f of 50, %.0f of 200", perNode[50], perNode[200])
	require.Less(t, perNode[200], 4*perNode[50])
}
