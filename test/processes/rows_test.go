//go:build processes

package processes_test

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/standin/relay"
)

const (
	// pastEpochChange is longer than the detection of a death and the epoch
	// change that follows it.
	pastEpochChange = 7 * time.Second
	// drainLimit is the time after which a leaving server gets no new work.
	drainLimit = 2 * time.Second
)

// TestKill guards bookings against kill -9 of a node under load. The keys are
// spread over all nodes, so the node is entry, home and executor of some.
func TestKill(t *testing.T) {
	f := newFleet(t)
	stop := f.load()
	time.Sleep(time.Second)
	dead := f.hosts[4]
	dead.node.signal(syscall.SIGKILL)
	<-dead.node.exited
	f.waitServing(f.hosts[:4]...)
	stop()
	f.judge()
}

// TestFreeze guards bookings against a node that is stopped past the epoch
// change and then goes on with what it held.
func TestFreeze(t *testing.T) {
	f := newFleet(t)
	stop := f.load()
	time.Sleep(time.Second)
	frozen := f.hosts[3].node
	frozen.signal(syscall.SIGSTOP)
	time.Sleep(pastEpochChange)
	frozen.signal(syscall.SIGCONT)
	f.waitServing(f.hosts...)
	stop()
	f.judge()
}

// TestCutFailureDomain guards bookings against a cut between one failure domain
// and the others, which the relay makes and ends.
func TestCutFailureDomain(t *testing.T) {
	f := newFleet(t)
	stop := f.load()
	time.Sleep(time.Second)
	rules := []relay.Rule{{From: "d3", To: "d1", Bidirectional: true, DropAll: true}, {From: "d3", To: "d2", Bidirectional: true, DropAll: true}}
	require.NoError(t, request(http.MethodPut, "http://"+f.relay+"/v1/rules", rules, nil))
	time.Sleep(pastEpochChange)
	require.NoError(t, request(http.MethodDelete, "http://"+f.relay+"/v1/rules", nil, nil))
	f.waitServing(f.hosts...)
	stop()
	f.judge()
}

func (f *fleet) storeOutage(on bool) {
	faults := map[string]bool{"outage": on}
	require.NoError(f.t, request(http.MethodPut, "http://"+f.store+"/standin/faults", faults, nil))
}

// TestStoreOutage guards bookings and the start of a node against a store that
// is down, and the version of each node against falling.
func TestStoreOutage(t *testing.T) {
	f := newFleet(t)
	version := f.hosts[0].status().ConfigVersion
	stop := f.load()
	f.storeOutage(true)
	killed := f.hosts[4]
	killed.node.signal(syscall.SIGKILL)
	<-killed.node.exited
	f.startNode(killed)
	f.eventually("the restarted node has the configuration", func() bool { return killed.status().ConfigVersion >= version })
	f.storeOutage(false)
	f.waitServing(f.hosts...)
	stop()
	for _, h := range f.hosts {
		require.GreaterOrEqual(t, h.status().ConfigVersion, version)
	}
	f.judge()
}

// TestTwoOperators guards against two changes at once that both count as
// applied, and against versions that fall or differ.
func TestTwoOperators(t *testing.T) {
	f := newFleet(t)
	before := f.hosts[0].status().ConfigVersion
	results := make([]error, 2)
	var both sync.WaitGroup
	for i, value := range []string{"0.6", "0.8"} {
		both.Go(func() { results[i] = f.apply([]string{"anna", "berta"}[i], value) })
	}
	both.Wait()
	accepted := uint64(0)
	for _, err := range results {
		if err == nil {
			accepted++
		}
	}
	require.NotZero(t, accepted, "%v", results)
	for _, h := range f.hosts {
		last := before
		f.eventually(h.name+" has the version", func() bool {
			now := h.status().ConfigVersion
			require.GreaterOrEqual(t, now, last)
			last = now
			return now == before+accepted
		})
	}
}

// TestCrashingRequest guards against a request that crashes more than two
// backend servers when its caller sends it again at each node.
func TestCrashingRequest(t *testing.T) {
	f := newFleet(t)
	for range 2 {
		for _, h := range f.hosts {
			f.send(h, http.MethodGet, "/histories/poison", "", true)
			time.Sleep(500 * time.Millisecond)
		}
	}
	crashed := 0
	for _, h := range f.hosts {
		select {
		case <-h.backend.exited:
			crashed++
		default:
		}
	}
	require.Equal(t, 2, crashed)
	f.book(f.hosts[1], newKey())
	f.judge()
}

// TestTermUnderLoad guards against a graceful stop that loses an outcome, and
// against new work at the leaving server after the limit.
func TestTermUnderLoad(t *testing.T) {
	f := newFleet(t)
	stop := f.load()
	time.Sleep(time.Second)
	leaving := f.hosts[4]
	leaving.node.signal(syscall.SIGTERM)
	asked := time.Now()
	<-leaving.node.exited
	f.waitServing(f.hosts[:4]...)
	time.Sleep(time.Second)
	stop()
	f.judge()
	for _, e := range f.executions() {
		if e.Server == leaving.name {
			require.Less(t, e.StartTime.Sub(asked), drainLimit, "new work at the leaving server")
		}
	}
}
