package evacuation_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/control"
	"mangostand.example/mangostand/pkg/control/directory"
	"mangostand.example/mangostand/pkg/control/evacuation"
	"mangostand.example/mangostand/pkg/control/routefeed"
	"mangostand.example/mangostand/pkg/decide/fleet"
	"mangostand.example/mangostand/pkg/standin/store"
	"mangostand.example/mangostand/platform"
)

// The tests run with GOMAXPROCS=1 because the race detector of Go 1.26 crashes
// when two threads run timers of one synctest bubble at the same time.
func init() { runtime.GOMAXPROCS(1) }

const (
	// lossRatio is the share of exchanges that are lost.
	lossRatio = 0.05
	// messageDelay is the time that a message between nodes takes, and pullDelay that
	// of a configuration.
	messageDelay = time.Millisecond
	pullDelay    = 3 * time.Millisecond
	// evacuationTime is the requirement.
	evacuationTime = 5 * time.Second
)

// site is a store and nodes in 4 failure domains.
type site struct {
	t     *testing.T
	store *store.Store
	// transport is that of all clients of the store.
	transport http.RoundTripper

	mu     sync.Mutex
	nodes  map[string]*siteNode
	random *rand.Rand
	// lossless makes all exchanges between connected nodes succeed.
	lossless bool
	// messages counts the messages between nodes, and advertisements those with
	// evacuations.
	messages, advertisements int
}

// siteNode is a node with the controllers that take part in an evacuation.
type siteNode struct {
	board  *board.MeshBoard
	cancel context.CancelFunc
	done   <-chan struct{}
	// cutFromNodes and cutFromStore cut the links of the node.
	cutFromNodes, cutFromStore atomic.Bool
	storeWriter                *board.Writer[*board.StoreStatus]
	logged                     *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.String(), text)
}

// RoundTrip sends a request to the store unless the link is cut.
func (n *siteNode) roundTripper(to http.RoundTripper) http.RoundTripper {
	return roundTrip(func(r *http.Request) (*http.Response, error) {
		if n.cutFromStore.Load() {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		time.Sleep(messageDelay)
		return to.RoundTrip(r)
	})
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func domainOf(number int) string { return fmt.Sprint("d", number%4) }

// withSite runs a test in a synctest bubble with a site of nodes that know each other.
func withSite(t *testing.T, size int, document []byte, run func(t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{t: t, store: store.New(time.Now), nodes: map[string]*siteNode{}, random: rand.New(rand.NewPCG(uint64(size), 1))}
		s.transport = s.store.Transport()
		s.put(platform.ConfigKey, document)
		defer s.stop()
		s.startAll(size)
		run(t, s)
	})
}

// startAll starts nodes and waits until they know each other and the configuration.
func (s *site) startAll(size int) {
	for i := range size {
		s.start(i)
	}
	synctest.Wait()
	s.list()
	time.Sleep(10 * time.Second)
	for _, n := range s.nodes {
		require.Equal(s.t, size, n.board.Fleet.Load().Size)
		require.NotZero(s.t, n.board.Routes.Load().Version)
	}
}

func (s *site) stop() {
	for _, n := range s.nodes {
		n.cancel()
	}
	for _, n := range s.nodes {
		<-n.done
	}
	// Messages that are under way end within their time limits.
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

func (s *site) put(key string, value []byte) {
	s.t.Helper()
	_, err := s.store.Commit(nil, []platform.Entry{{Key: key, Value: value}}, nil)
	require.NoError(s.t, err)
}

func (s *site) remove(key string) {
	s.t.Helper()
	_, err := s.store.Commit(nil, nil, []string{key})
	require.NoError(s.t, err)
}

// start starts a node. It finds the others by a listing, see list.
func (s *site) start(number int) *siteNode {
	self := board.NodeIdentity{Instance: board.InstanceID(fmt.Sprintf("n%d", number)), PeerAddr: fmt.Sprintf("addr-%d", number), Service: "desk", FailureDomain: domainOf(number)}
	b := board.NewMeshBoard(self)
	ctx, cancel := context.WithCancel(context.Background())
	n := &siteNode{board: b, cancel: cancel, storeWriter: b.Store.Claim("test"), logged: &lockedBuffer{}}
	b.LocalServer.Claim("test").Publish(&board.BackendServer{ID: fmt.Sprint("s", number), State: board.ServerReady, Service: "desk", Slots: 4})
	s.mu.Lock()
	s.nodes[self.PeerAddr] = n
	s.mu.Unlock()
	client := platform.NewClient("http://store", platform.WithTransport(n.roundTripper(s.transport)), platform.WithTimeout(900*time.Millisecond))
	log := zerolog.New(n.logged)
	n.done = control.Start(ctx, zerolog.Nop(),
		directory.New(b, uint64(time.Now().UnixNano()), s.exchangeFunc(n), func() board.LoadReport { return board.LoadReport{} }, zerolog.Nop()),
		routefeed.New(b, client, s.pullFunc(n), routefeed.Options{}, nil, zerolog.Nop()),
		evacuation.New(b, nil, log),
	)
	return n
}

// list publishes a listing of the store with the records of all nodes.
func (s *site) list() {
	records := map[board.InstanceID]board.NodeRecord{}
	for _, n := range s.nodes {
		records[n.board.Self.Instance] = n.board.Fleet.Load().ByInstance[n.board.Self.Instance].Record
	}
	for _, n := range s.nodes {
		n.storeWriter.Publish(&board.StoreStatus{Reachable: true, ReachabilityChangedAt: time.Now().Add(-time.Hour), ListingRequestedAt: time.Now(), ListedRecords: records})
	}
}

// reach returns the node at an address, or nil if a message to it is lost.
func (s *site) reach(from *siteNode, addr string) *siteNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := s.nodes[addr]
	if from.cutFromNodes.Load() || to == nil || to.cutFromNodes.Load() || !s.lossless && s.random.Float64() < lossRatio {
		return nil
	}
	return to
}

func (s *site) exchangeFunc(from *siteNode) directory.ExchangeFunc {
	return func(ctx context.Context, addr string, m *directory.Message) (*directory.Message, error) {
		to := s.reach(from, addr)
		if to == nil {
			<-ctx.Done()
			return nil, errors.Trace(ctx.Err())
		}
		time.Sleep(messageDelay)
		response := directory.Respond(to.board, m, board.LoadReport{})
		time.Sleep(messageDelay)
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, message := range []*directory.Message{m, response} {
			s.messages++
			if message.Evacuation != nil {
				s.advertisements++
			}
		}
		return response, nil
	}
}

func (s *site) pullFunc(from *siteNode) routefeed.PullFunc {
	return func(ctx context.Context, addr string, request *routefeed.PullRequest, _ func()) (*routefeed.PullResponse, error) {
		to := s.reach(from, addr)
		if to == nil {
			<-ctx.Done()
			return nil, errors.Trace(ctx.Err())
		}
		time.Sleep(pullDelay)
		server := routefeed.Server{Board: to.board}
		response, done, err := server.Respond(request, time.Now())
		if err == nil {
			done(true)
		}
		return response, err
	}
}

// watcher returns the node that watches the store.
func (s *site) watcher() *siteNode {
	for _, n := range s.nodes {
		var ids []board.InstanceID
		for id := range n.board.Fleet.Load().ByInstance {
			ids = append(ids, id)
		}
		if fleet.HashRank(ids, n.board.Self.Instance) == 0 {
			return n
		}
	}
	s.t.Fatal("no watcher")
	return nil
}

// kill ends a node.
func (s *site) kill(n *siteNode) {
	n.cancel()
	<-n.done
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.nodes, n.board.Self.PeerAddr)
}

// await returns the time until a condition holds for all nodes.
func (s *site) await(limit time.Duration, what string, condition func(n *siteNode) bool) time.Duration {
	s.t.Helper()
	started := time.Now()
	for {
		holds := 0
		for _, n := range s.nodes {
			if condition(n) {
				holds++
			}
		}
		if holds == len(s.nodes) {
			return time.Since(started)
		}
		require.LessOrEqual(s.t, time.Since(started), limit, "%s: %d of %d nodes", what, holds, len(s.nodes))
		time.Sleep(10 * time.Millisecond)
	}
}

func includes(domain string) func(*siteNode) bool {
	return func(n *siteNode) bool { return n.board.Evacuation.Load().Includes(domain) }
}

func excludes(domain string) func(*siteNode) bool {
	return func(n *siteNode) bool { return !n.board.Evacuation.Load().Includes(domain) }
}

func document(padding int) []byte {
	return append([]byte(`{"version":"r1","listeners":[],"clusters":[]}`), strings.Repeat(" ", padding)...)
}

// sleepAtRandom makes the moment of the next write independent of the reads of the
// watcher, which come every 500 ms.
func sleepAtRandom() { time.Sleep(rand.N(500 * time.Millisecond)) }

// largeSizes are the sizes of further fleets. The build tag large sets them, since they
// take too long with the race detector.
var largeSizes []int

// Guards against a fleet that is too large for an evacuation to reach all nodes in time.
func TestEvacuationReachesLargeFleetsInTime(t *testing.T) {
	for _, size := range append([]int{150}, largeSizes...) {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			withSite(t, size, document(0), func(t *testing.T, s *site) {
				sleepAtRandom()
				s.put(platform.EvacuationKey("d1"), nil)
				t.Logf("known to all after %s", s.await(evacuationTime, "evacuated", includes("d1")))
			})
		})
	}
}

// Guards against an evacuation that some node learns later than 5 s after the key was
// written, while messages are lost, and against one that does not end: with a document
// that is polled or watched, when the deciding node or its links fail meanwhile, and when
// the store fails, which extends the bound by 5 s.
func TestEvacuationReachesAllNodesInTime(t *testing.T) {
	for name, test := range map[string]struct {
		padding int
		fault   func(s *site)
		limit   time.Duration
	}{
		"no fault":                     {0, func(*site) {}, evacuationTime},
		"watched document":             {20 << 10, func(*site) {}, evacuationTime},
		"watcher killed":               {0, func(s *site) { s.kill(s.watcher()) }, evacuationTime},
		"watcher killed after a read":  {0, func(s *site) { time.Sleep(490 * time.Millisecond); s.kill(s.watcher()) }, evacuationTime},
		"watcher of a watch killed":    {20 << 10, func(s *site) { s.kill(s.watcher()) }, evacuationTime},
		"watcher cut from the store":   {0, func(s *site) { s.watcher().cutFromStore.Store(true) }, evacuationTime},
		"watcher cut from the nodes":   {0, func(s *site) { s.watcher().cutFromNodes.Store(true) }, evacuationTime},
		"follower cut from the nodes":  {0, func(s *site) { s.follower().cutFromNodes.Store(true) }, evacuationTime},
		"follower cut from the store":  {0, func(s *site) { s.follower().cutFromStore.Store(true) }, evacuationTime},
		"store fails for 3 s":          {0, func(s *site) { s.outage(3 * time.Second) }, 2 * evacuationTime},
		"store is silent for 3 s":      {0, func(s *site) { s.silence(3 * time.Second) }, 2 * evacuationTime},
		"store is slow":                {0, func(s *site) { s.store.SetFaults(store.Faults{DelayMillis: 400}) }, 2 * evacuationTime},
		"store fails, watcher killed":  {0, func(s *site) { s.kill(s.watcher()); s.outage(3 * time.Second) }, 2 * evacuationTime},
		"store loses its watch events": {20 << 10, func(s *site) { s.store.Compact() }, evacuationTime},
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, 74, document(test.padding), func(t *testing.T, s *site) {
				sleepAtRandom()
				s.put(platform.EvacuationKey("d1"), nil)
				written := time.Now()
				test.fault(s)
				s.await(test.limit, "evacuated", includes("d1"))
				known := time.Since(written)
				require.LessOrEqual(t, known, test.limit)
				time.Sleep(5 * time.Second)
				s.remove(platform.EvacuationKey("d1"))
				t.Logf("known to all after %s, the end after %s", known, s.await(10*time.Second, "ended", excludes("d1")))
			})
		})
	}
}

// follower returns a node that neither watches the store nor takes over early.
func (s *site) follower() *siteNode {
	for _, n := range s.nodes {
		var ids []board.InstanceID
		for id := range n.board.Fleet.Load().ByInstance {
			ids = append(ids, id)
		}
		if fleet.HashRank(ids, n.board.Self.Instance) > 5 {
			return n
		}
	}
	return nil
}

func (s *site) outage(duration time.Duration) {
	s.store.SetFaults(store.Faults{Outage: true})
	time.AfterFunc(duration, func() { s.store.SetFaults(store.Faults{}) })
}

func (s *site) silence(duration time.Duration) {
	s.store.SetFaults(store.Faults{Unresponsive: true})
	time.AfterFunc(duration, func() { s.store.SetFaults(store.Faults{}) })
}

// Guards against a change that waits for the periodic exchanges: 100 ms after the watcher
// knows it, pushes have reached nearly all of the 74 nodes. Periodic exchanges alone
// reached 4 to 44 of them after 200 ms (3 runs).
func TestChangeIsPushed(t *testing.T) {
	withSite(t, 74, document(0), func(t *testing.T, s *site) {
		s.mu.Lock()
		s.lossless = true
		s.mu.Unlock()
		time.Sleep(time.Second)
		for _, change := range []struct {
			apply func(key string)
			holds func(*siteNode) bool
		}{
			{func(key string) { s.put(key, nil) }, includes("d1")},
			{s.remove, excludes("d1")},
		} {
			change.apply(platform.EvacuationKey("d1"))
			for !change.holds(s.watcher()) {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
			reached := 0
			for _, n := range s.nodes {
				if change.holds(n) {
					reached++
				}
			}
			t.Logf("%d of 74 nodes", reached)
			require.GreaterOrEqual(t, reached, 65)
			time.Sleep(3 * time.Second)
		}
	})
}

// Guards against store calls and messages that a deployment which never evacuates pays
// for: its only calls are the reads of the configuration, and no message names an
// evacuation when the store names no era. With an era nothing is pushed.
func TestDeploymentThatNeverEvacuates(t *testing.T) {
	for name, withEra := range map[string]bool{"store without an era": false, "store with an era": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &site{t: t, store: store.New(time.Now), nodes: map[string]*siteNode{}, random: rand.New(rand.NewPCG(3, 1))}
				s.transport = s.store.Transport()
				if !withEra {
					s.transport = withoutEra{s.store.Transport()}
				}
				s.put(platform.ConfigKey, document(0))
				defer s.stop()
				s.startAll(30)
				before, messagesBefore := s.store.RequestStats().ByOperation, s.messageCount()
				time.Sleep(20 * time.Second)
				after := s.store.RequestStats().ByOperation
				reads := after[platform.OpList] - before[platform.OpList]
				require.LessOrEqual(t, reads, uint64(120), "about 5 per second before evacuations existed, of watcher and backup together")
				require.Zero(t, after[platform.OpWatch]+after[platform.OpGet])
				messages := s.messageCount() - messagesBefore
				require.LessOrEqual(t, messages, 30*4*20*2, "one exchange of each node in 250 ms")
				for _, n := range s.nodes {
					if withEra {
						require.LessOrEqual(t, n.board.Evacuation.Snapshot().Version, uint64(6), "a few changes at the start")
					} else {
						require.Zero(t, n.board.Evacuation.Snapshot().Version)
					}
				}
				if !withEra {
					s.mu.Lock()
					advertisements := s.advertisements
					s.mu.Unlock()
					require.Zero(t, advertisements)
				}
				t.Logf("%d reads of the store and %d messages in 20 s", reads, messages)
			})
		})
	}
}

func (s *site) messageCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.messages
}

// withoutEra removes the era from responses.
type withoutEra struct{ http.RoundTripper }

func (w withoutEra) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := w.RoundTripper.RoundTrip(r)
	if err == nil {
		response.Header.Del(platform.EraHeader)
	}
	return response, err
}

// Guards against a restarted node that has a configuration, and so runs calls, before it
// knows of an evacuation, whether it gets them from other nodes or from the store.
func TestRestartedNodeLearnsTheStateWithItsConfiguration(t *testing.T) {
	for name, cut := range map[string]func(n *siteNode){
		"from nodes":     func(n *siteNode) { n.cutFromStore.Store(true) },
		"from the store": func(n *siteNode) { n.cutFromNodes.Store(true) },
		"from both":      func(*siteNode) {},
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, 20, document(0), func(t *testing.T, s *site) {
				s.put(platform.EvacuationKey("d1"), nil)
				s.await(evacuationTime, "evacuated", includes("d1"))
				for range 10 {
					s.kill(s.nodes["addr-5"])
					time.Sleep(300 * time.Millisecond)
					n := s.start(5)
					cut(n)
					updates := n.board.Routes.Subscribe()
					synctest.Wait()
					s.list()
					select {
					case <-updates:
					case <-time.After(5 * time.Second):
						t.Fatal("no configuration")
					}
					require.True(t, n.board.Evacuation.Load().Includes("d1"))
				}
			})
		})
	}
}

// Guards against an evacuation that ends because the store came back from a copy without
// its key, before operators could write it again, and against one that does not end when
// they do not. A node that starts at that moment knows neither the evacuation nor that
// the store is unstable.
func TestEvacuationHoldsAcrossAnOlderCopy(t *testing.T) {
	for name, rewritten := range map[string]bool{"written again": true, "not written again": false} {
		t.Run(name, func(t *testing.T) {
			withSite(t, 40, document(0), func(t *testing.T, s *site) {
				s.store.Snapshot("copy")
				time.Sleep(2 * time.Second)
				s.put(platform.EvacuationKey("d1"), nil)
				s.await(evacuationTime, "evacuated", includes("d1"))
				s.store.SetFaults(store.Faults{Outage: true})
				time.Sleep(2 * time.Second)
				require.True(t, s.store.RestoreOlderCopy("copy"))
				s.store.SetFaults(store.Faults{})
				returned := time.Now()
				// The new node has the first rank, so that its first reads count.
				s.kill(s.watcher())
				joined := s.start(41)
				synctest.Wait()
				s.list()
				for time.Since(returned) < 1900*time.Millisecond {
					time.Sleep(10 * time.Millisecond)
					for addr, n := range s.nodes {
						if n != joined {
							require.True(t, n.board.Evacuation.Load().Includes("d1"), "%s after %s", addr, time.Since(returned))
						}
					}
				}
				if rewritten {
					s.put(platform.EvacuationKey("d1"), nil)
					for range 500 {
						time.Sleep(10 * time.Millisecond)
						for addr, n := range s.nodes {
							require.True(t, n.board.Evacuation.Load().Includes("d1"), "%s after %s", addr, time.Since(returned))
						}
					}
					return
				}
				s.await(5*time.Second, "ended", excludes("d1"))
				t.Logf("ended %s after the store came back", time.Since(returned))
				s.await(time.Second, "era", func(n *siteNode) bool { return n.board.Evacuation.Load().Era == 2 })
			})
		})
	}
}

// Guards against an evacuation of a domain without nodes that is not reported, or reported
// with each read.
func TestUnknownDomainIsLoggedOnce(t *testing.T) {
	withSite(t, 8, document(0), func(t *testing.T, s *site) {
		s.put(platform.EvacuationKey("elsewhere"), nil)
		s.await(evacuationTime, "known", includes("elsewhere"))
		time.Sleep(10 * time.Second)
		for _, n := range s.nodes {
			require.Equal(t, 1, n.logged.count("evacuation_unknown_domain"))
		}
	})
}
