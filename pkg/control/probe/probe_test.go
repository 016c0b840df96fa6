package probe

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/metrics"
	"mangostand.example/mangostand/pkg/wire"
)

// Probe budget of each node.
const (
	testProbesPerSecond = 10
	testBytesPerSecond  = 8 * wire.ProbeCostBytes
)

// fakeNetwork delivers probes to one receiver and records when probes are sent
// and answered.
type fakeNetwork struct {
	receiver *Responder
	mu       sync.Mutex
	sent     map[string][]time.Time
	answered []time.Time
}

// sentBy returns the number of probes that a sender has sent.
func (n *fakeNetwork) sentBy(sender string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sent[sender])
}

// senderTransport is the Exchanger of one sender.
type senderTransport struct {
	*fakeNetwork
	name string
}

func (s *senderTransport) Exchange(_ context.Context, _ string, requestType wire.MessageType, message any, _ wire.MessageType, response any) error {
	var buffer bytes.Buffer
	if err := wire.WriteMessage(&buffer, requestType, message); err != nil {
		return err
	}
	frame, err := wire.ReadFrame(&buffer)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[s.name] = append(s.sent[s.name], time.Now())
	probeResponse, err := s.receiver.Respond(frame, time.Now())
	if err != nil {
		return err
	}
	s.answered = append(s.answered, time.Now())
	*response.(*wire.ProbeResponse) = *probeResponse
	return nil
}

// newBoard returns a board with the probe budgets of the tests.
func newBoard(t *testing.T, name board.InstanceID) *board.Board {
	b := board.New(name)
	budgets := &board.Budgets{OutgoingProbes: &board.ProbeBudget{}, IncomingProbes: &board.ProbeBudget{}}
	budgets.OutgoingProbes.SetLimits(testProbesPerSecond, testBytesPerSecond)
	budgets.IncomingProbes.SetLimits(testProbesPerSecond, testBytesPerSecond)
	b.Budgets.Claim("test").Publish(budgets)
	return b
}

// maxPerSecond returns the highest number of events in any half-open window of
// 1 s.
func maxPerSecond(events []time.Time) int {
	most := 0
	for i := range events {
		n := 0
		for _, e := range events[i:] {
			if e.Sub(events[i]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a window of 1 s in which a sender or the receiver exceeds its
// probe budget, while the call rate varies and many senders probe one receiver.
func TestNoWindowExceedsTheProbeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const senders, seed = 30, 9
		network := &fakeNetwork{sent: map[string][]time.Time{}, receiver: &Responder{
			Board: newBoard(t, "r"), Instance: "r", Incarnation: 1, Traffic: metrics.NewNoopTrafficMetrics(1),
			Load: func() board.LoadReport { return board.LoadReport{Limit: 10} },
		}}
		ctx, cancel := context.WithCancel(t.Context())
		for i := range senders {
			startSender(ctx, t, network, string(rune('A'+i)), uint64(seed+i))
		}
		time.Sleep(20 * time.Second)
		cancel()
		time.Sleep(time.Second) // the senders stop
		network.mu.Lock()
		defer network.mu.Unlock()
		limit := min(testProbesPerSecond, testBytesPerSecond/wire.ProbeCostBytes)
		total := 0
		for name, events := range network.sent {
			require.LessOrEqual(t, maxPerSecond(events), limit, "sender %s", name)
			total += len(events)
		}
		require.Equal(t, limit, maxPerSecond(network.answered), "the senders use up the budget of the receiver")
		require.Greater(t, total, 2*len(network.answered))
		require.Equal(t, limit, maxPerSecond(network.sent["A"]), "the instances to probe use up the budget of the sender")
	})
}

// startSender runs a controller whose service is called in bursts. It keeps
// replacing the endpoints by new ones without a load report, so that there is
// always an instance to probe.
func startSender(ctx context.Context, t *testing.T, network *fakeNetwork, name string, seed uint64) {
	b := newBoard(t, board.InstanceID(name))
	member := board.Member{Instance: "r", Incarnation: 1, Service: "s", State: board.MemberServing}
	busy := board.NewEndpoint(board.Member{Instance: "busy", Service: "s"})
	table := b.Endpoints.Claim("test")
	go New(b, &senderTransport{fakeNetwork: network, name: name}, metrics.NewNoopTrafficMetrics(1)).Run(ctx)
	go func() {
		random := rand.New(rand.NewPCG(seed, 0))
		for ctx.Err() == nil {
			endpoints := map[board.InstanceID]*board.Endpoint{"busy": busy, "r": board.NewEndpoint(member)}
			for i := range 20 {
				unreported := member
				unreported.Instance = board.InstanceID(fmt.Sprintf("r%d", i))
				endpoints[unreported.Instance] = board.NewEndpoint(unreported)
			}
			for range random.IntN(3) * 100 {
				busy.CallStarted()
				busy.CallEnded()
			}
			table.Publish(&board.EndpointTable{ByInstance: endpoints})
			time.Sleep(time.Duration(5+random.IntN(45)) * time.Millisecond)
		}
	}()
}

// Guards against probes of instances whose service is not called or whose load
// is known.
func TestProbesOnlyCalledServicesWithUnknownLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &fakeNetwork{sent: map[string][]time.Time{}, receiver: &Responder{
			Board: newBoard(t, "r"), Instance: "r", Incarnation: 1, Traffic: metrics.NewNoopTrafficMetrics(1),
			Load: func() board.LoadReport { return board.LoadReport{Limit: 10, Sequence: 1} },
		}}
		b := newBoard(t, "self")
		endpoint := board.NewEndpoint(board.Member{Instance: "r", Incarnation: 1, Service: "s", State: board.MemberServing})
		b.Endpoints.Claim("test").Publish(&board.EndpointTable{ByInstance: map[board.InstanceID]*board.Endpoint{"r": endpoint}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go New(b, &senderTransport{fakeNetwork: network, name: "self"}, metrics.NewNoopTrafficMetrics(1)).Run(ctx)
		time.Sleep(2 * time.Second)
		require.Zero(t, network.sentBy("self"), "no calls")
		for range 100 {
			endpoint.CallStarted()
			endpoint.CallEnded()
		}
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 1, network.sentBy("self"))
		require.NotNil(t, endpoint.LatestLoadReport())
		for range 100 {
			endpoint.CallStarted()
			endpoint.CallEnded()
		}
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 1, network.sentBy("self"), "the load is known")
	})
}
