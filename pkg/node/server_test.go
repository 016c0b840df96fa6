package node

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/localapi"
)

// testServer is a backend server that can crash, and restart at the same address.
type testServer struct {
	t           testing.TB
	cluster     *cluster
	announceURL string
	addr        string
	// executions counts the requests that were received, in all incarnations.
	executions atomic.Int64
	// slowExecutions counts the requests for /slow among them.
	slowExecutions atomic.Int64
	// crashDisabled makes the server survive requests for /poison, which crash it
	// otherwise.
	crashDisabled atomic.Bool

	mu         sync.Mutex
	httpServer *http.Server
	cancel     context.CancelFunc
}

const (
	// responseSize is the size of each response in bytes.
	responseSize = 100_000
	// chunkDelay is the delay before each half of a response. With slowChunkDelay, a
	// call lasts longer than drainPropagationTime.
	chunkDelay     = 5 * time.Millisecond
	slowChunkDelay = 1500 * time.Millisecond
)

func newTestServer(c *cluster, announceURL string) *testServer {
	s := &testServer{t: c.t, cluster: c, announceURL: announceURL, addr: "127.0.0.1:0"}
	s.start()
	c.t.Cleanup(s.crash)
	return s
}

// start starts a new incarnation at the same address.
func (s *testServer) start() {
	netListener, err := net.Listen("tcp", s.addr)
	require.NoError(s.t, err)
	s.addr = netListener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.mu.Lock()
	s.httpServer, s.cancel = server, cancel
	s.mu.Unlock()
	go func() { _ = server.Serve(netListener) }()
	go s.sendAnnouncements(ctx, uint64(time.Now().UnixNano()))
}

// crash closes the listener and all connections immediately.
func (s *testServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
	_ = s.httpServer.Close()
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	s.executions.Add(1)
	switch {
	case r.URL.Path == "/poison" && !s.crashDisabled.Load():
		s.crash()
		return
	case r.URL.Path == "/slots":
		s.cluster.serveBooking(w, r)
		return
	}
	delay := chunkDelay
	if r.URL.Path == "/slow" {
		delay = slowChunkDelay
		s.slowExecutions.Add(1)
	}
	time.Sleep(delay)
	_, _ = w.Write(bytes.Repeat([]byte("x"), responseSize/2))
	w.(http.Flusher).Flush()
	time.Sleep(delay)
	_, _ = w.Write(bytes.Repeat([]byte("x"), responseSize/2))
}

func (s *testServer) sendAnnouncements(ctx context.Context, incarnation uint64) {
	data, err := json.Marshal(localapi.Announcement{Service: "jobs", Addr: s.addr, Slots: 50, Connections: 100, Incarnation: incarnation})
	if err != nil {
		s.t.Error(err)
		return
	}
	for ctx.Err() == nil {
		resp, err := http.Post(s.announceURL+"/v1/announce", "application/json", bytes.NewReader(data))
		if err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}
