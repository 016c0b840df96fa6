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

// testFleet is a cluster with the configuration in examples/thies. Each node has a
// stand-in backend server.
type testFleet struct {
	*cluster
	executionLog *executionlog.Log
}

// newTestFleet starts the given instances of the service atelier-suivi.
// adjustSettings, if not nil, changes the settings of a node before it starts.
func newTestFleet(t *testing.T, adjustSettings func(*settings.Node), instances ...string) *testFleet {
	t.Helper()
	f := &testFleet{cluster: &cluster{t: t}, executionLog: executionlog.New()}
	logServer := httptest.NewServer(f.executionLog.Handler())
	t.Cleanup(logServer.Close)
	f.clusterOptions = clusterOptions{
		site: testSite, service: "atelier-suivi", instances: instances, adjustSettings: adjustSettings,
		config: dynconf.Document{
			Base:     readExample(t, "base.ini"),
			Overlays: map[string]string{testSite: readExample(t, "overlays/thies.ini")},
		},
		startServer: func(n *clusterNode) {
			server := backendserver.New(backendserver.Config{
				Instance: n.settings.Instance, Service: "atelier-suivi", ListenAddr: freeAddr(t), NodeURL: n.localURL,
				ExecutionLogURL: logServer.URL, Slots: 10, MaxConnections: 200, ServiceTime: time.Millisecond,
			})
			runInBackground(t, server.Run)
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

// runInBackground runs a component until the end of the test and requires that it
// returns no error.
func runInBackground(t *testing.T, runComponent func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- runComponent(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
}
