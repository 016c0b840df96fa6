package node

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/settings"
	"mangostand.example/mangostand/pkg/standin/backendserver"
	"mangostand.example/mangostand/pkg/standin/executionlog"
)

const testSite = "thies"

// testFleet is a cluster with the example configuration of Thies and the
// stand-in of a backend server beside each node.
type testFleet struct {
	*cluster
	executions *executionlog.Log
}

// newTestFleet starts the named instances of atelier-suivi. change may adjust
// the settings of a node.
func newTestFleet(t *testing.T, change func(*settings.Node), instances ...string) *testFleet {
	t.Helper()
	f := &testFleet{cluster: &cluster{t: t}, executions: executionlog.New()}
	log := httptest.NewServer(f.executions.Handler())
	t.Cleanup(log.Close)
	f.clusterOptions = clusterOptions{
		site: testSite, service: "atelier-suivi", instances: instances, change: change,
		config: dynconf.Document{
			Base:     readExample(t, "base.ini"),
			Overlays: map[string]string{testSite: readExample(t, "overlays/thies.ini")},
		},
		serve: func(n *clusterNode) {
			server := backendserver.New(backendserver.Config{
				Instance: n.settings.Instance, Service: "atelier-suivi", ListenAddr: freeAddr(t), NodeURL: n.local,
				ExecutionLogURL: log.URL, Slots: 10, MaxConnections: 200, ServiceTime: time.Millisecond,
			})
			run(t, server.Run)
		},
	}
	f.startAll()
	return f
}

func readExample(t *testing.T, name string) string {
	data, err := os.ReadFile(filepath.Join("../../examples/thies", name))
	require.NoError(t, err)
	return string(data)
}

// run runs a part of the fleet until the end of the test.
func run(t *testing.T, part func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- part(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
}
