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
	// epochChangeWait exceeds the time until a node is declared dead and the epoch
	// has changed.
	epochChangeWait = 7 * time.Second
	// drainTimeLimit is the time from the start of a graceful stop after which the
	// backend server must not receive calls.
	drainTimeLimit = 2 * time.Second
)

// TestKilledNode guards against bookings that are executed twice or reported with a wrong
// outcome when a node is killed with SIGKILL under load. The idempotency keys are
// distributed over all nodes, so that the killed node is the entry node, the home
// node or the executor of some of them.
func TestKilledNode(t *testing.T) {
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

// TestFrozenNode guards against bookings that are executed twice or reported with a
// wrong outcome when a node is stopped with SIGSTOP until the epoch has changed and
// then continues with its state of the former epoch.
func TestFrozenNode(t *testing.T) {
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

// TestFailureDomainPartition guards against bookings that are executed twice or reported
// with a wrong outcome during and after a network partition between one failure
// domain and the others, which the relay simulates.
func TestFailureDomainPartition(t *testing.T) {
	f := newFleet(t)
	stopLoad := f.startLoad()
	time.Sleep(time.Second)
	rules := []relay.Rule{{From: "d3", To: "d1", Bidirectional: true, DropAll: true}, {From: "d3", To: "d2", Bidirectional: true, DropAll: true}}
	require.NoError(t, doRequest(http.MethodPut, "http://"+f.relayAdminAddr+"/v1/rules", rules, nil))
	time.Sleep(epochChangeWait)
	require.NoError(t, doRequest(http.MethodDelete, "http://"+f.relayAdminAddr+"/v1/rules", nil, nil))
	f.waitUntilServing(f.instances...)
	stopLoad()
	f.checkBookings()
}

// setStoreOutage starts or ends an outage of the store.
func (f *fleet) setStoreOutage(down bool) {
	faults := map[string]bool{"outage": down}
	require.NoError(f.t, doRequest(http.MethodPut, "http://"+f.storeAddr+"/standin/faults", faults, nil))
}

// TestStoreOutage guards against a node that cannot restart during an outage of the
// store, against configuration versions that decrease, and against bookings that are
// executed twice or reported with a wrong outcome meanwhile.
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

// TestConcurrentOperators guards against lost updates when two operators apply a
// configuration concurrently: the version must rise by one for each accepted change.
// It also guards against versions that decrease or differ between nodes.
func TestConcurrentOperators(t *testing.T) {
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

// TestCrashingRequest guards against a request that crashes more than two backend
// servers when its caller sends it again through every node.
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

// TestGracefulStopUnderLoad guards against a graceful stop that loses the outcome of a
// booking, and against calls that the stopping node's backend server starts after
// drainTimeLimit.
func TestGracefulStopUnderLoad(t *testing.T) {
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
			require.Less(t, e.StartTime.Sub(termSentAt), drainTimeLimit, "call started at the draining server")
		}
	}
}
