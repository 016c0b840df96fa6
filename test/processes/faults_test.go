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
	// epochChangeWait is longer than the detection of a death and the epoch
	// change that follows it.
	epochChangeWait = 7 * time.Second
	// drainTimeLimit is the time after which a leaving server gets no new work.
	drainTimeLimit = 2 * time.Second
)

// TestKill guards bookings against kill -9 of a node under load. The keys are
// spread over all nodes, so the node is entry, home and executor of some.
func TestKill(t *testing.T) {
	f := newFleet(t)
	stopLoad := f.startLoad()
	time.Sleep(time.Second)
	killed := f.instances[4]
	killed.nodeProcess.signal(syscall.SIGKILL)
	<-killed.nodeProcess.exited
	f.waitUntilServing(f.instances[:4]...)
	stopLoad()
	f.checkBookings()
}

// TestFreeze guards bookings against a node that is stopped past the epoch
// change and then goes on with what it held.
func TestFreeze(t *testing.T) {
	f := newFleet(t)
	stopLoad := f.startLoad()
	time.Sleep(time.Second)
	stopped := f.instances[3].nodeProcess
	stopped.signal(syscall.SIGSTOP)
	time.Sleep(epochChangeWait)
	stopped.signal(syscall.SIGCONT)
	f.waitUntilServing(f.instances...)
	stopLoad()
	f.checkBookings()
}

// TestCutFailureDomain guards bookings against a cut between one failure domain
// and the others, which the relay makes and ends.
func TestCutFailureDomain(t *testing.T) {
	f := newFleet(t)
	stopLoad := f.startLoad()
	time.Sleep(time.Second)
	rules := []relay.Rule{{From: "d3", To: "d1", Both: true, Cut: true}, {From: "d3", To: "d2", Both: true, Cut: true}}
	require.NoError(t, doRequest(http.MethodPut, "http://"+f.relayAddr+"/v1/rules", rules, nil))
	time.Sleep(epochChangeWait)
	require.NoError(t, doRequest(http.MethodDelete, "http://"+f.relayAddr+"/v1/rules", nil, nil))
	f.waitUntilServing(f.instances...)
	stopLoad()
	f.checkBookings()
}

func (f *fleet) setStoreOutage(down bool) {
	faults := map[string]bool{"outage": down}
	require.NoError(f.t, doRequest(http.MethodPut, "http://"+f.storeAddr+"/standin/faults", faults, nil))
}

// TestStoreOutage guards bookings and the start of a node against a store that
// is down, and the version of each node against falling.
func TestStoreOutage(t *testing.T) {
	f := newFleet(t)
	initialVersion := f.instances[0].status().ConfigVersion
	stopLoad := f.startLoad()
	f.setStoreOutage(true)
	restarted := f.instances[4]
	restarted.nodeProcess.signal(syscall.SIGKILL)
	<-restarted.nodeProcess.exited
	f.startNode(restarted)
	f.eventually("the restarted node has the configuration", func() bool { return restarted.status().ConfigVersion >= initialVersion })
	f.setStoreOutage(false)
	f.waitUntilServing(f.instances...)
	stopLoad()
	for _, inst := range f.instances {
		require.GreaterOrEqual(t, inst.status().ConfigVersion, initialVersion)
	}
	f.checkBookings()
}

// TestTwoOperators guards against two changes at once that both count as
// applied, and against versions that fall or differ.
func TestTwoOperators(t *testing.T) {
	f := newFleet(t)
	initialVersion := f.instances[0].status().ConfigVersion
	results := make([]error, 2)
	var wg sync.WaitGroup
	for i, quantile := range []string{"0.6", "0.8"} {
		wg.Go(func() { results[i] = f.applyConfig([]string{"anna", "berta"}[i], quantile) })
	}
	wg.Wait()
	accepted := uint64(0)
	for _, err := range results {
		if err == nil {
			accepted++
		}
	}
	require.NotZero(t, accepted, "%v", results)
	for _, inst := range f.instances {
		lastVersion := initialVersion
		f.eventually(inst.name+" has the version", func() bool {
			version := inst.status().ConfigVersion
			require.GreaterOrEqual(t, version, lastVersion)
			lastVersion = version
			return version == initialVersion+accepted
		})
	}
}

// TestCrashingRequest guards against a request that crashes more than two
// backend servers when its caller sends it again at each node.
func TestCrashingRequest(t *testing.T) {
	f := newFleet(t)
	for range 2 {
		for _, inst := range f.instances {
			f.sendCall(inst, http.MethodGet, "/histories/poison", "", true)
			time.Sleep(500 * time.Millisecond)
		}
	}
	crashed := 0
	for _, inst := range f.instances {
		select {
		case <-inst.serverProcess.exited:
			crashed++
		default:
		}
	}
	require.Equal(t, 2, crashed)
	f.sendBooking(f.instances[1], newIdempotencyKey())
	f.checkBookings()
}

// TestTermUnderLoad guards against a graceful stop that loses an outcome, and
// against new work at the leaving server after the limit.
func TestTermUnderLoad(t *testing.T) {
	f := newFleet(t)
	stopLoad := f.startLoad()
	time.Sleep(time.Second)
	leaving := f.instances[4]
	leaving.nodeProcess.signal(syscall.SIGTERM)
	termSentAt := time.Now()
	<-leaving.nodeProcess.exited
	f.waitUntilServing(f.instances[:4]...)
	time.Sleep(time.Second)
	stopLoad()
	f.checkBookings()
	for _, e := range f.executions() {
		if e.Server == leaving.name {
			require.Less(t, e.Started.Sub(termSentAt), drainTimeLimit, "new work at the leaving server")
		}
	}
}
