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

// testServer is a backend server that can crash and restart at its address.
type testServer struct {
	t       testing.TB
	cluster *cluster
	local   string
	addr    string
	// executions counts the requests that were started, in all incarnations.
	executions atomic.Int64
	// slow counts the slow requests among them.
	slow atomic.Int64
	// harmless makes the server survive poison.
	harmless atomic.Bool

	mu   sync.Mutex
	http *http.Server
	end  context.CancelFunc
}

const (
	// answerSize is the size of each answer in bytes.
	answerSize = 100_000
	// serviceTime precedes each half of an answer. The slow one makes a call
	// last longer than the spread of a drain.
	serviceTime     = 5 * time.Millisecond
	slowServiceTime = 1500 * time.Millisecond
)

func newTestServer(c *cluster, local string) *testServer {
	s := &testServer{t: c.t, cluster: c, local: local, addr: "127.0.0.1:0"}
	s.start()
	c.t.Cleanup(s.crash)
	return s
}

// start begins a new incarnation at the same address.
func (s *testServer) start() {
	socket, err := net.Listen("tcp", s.addr)
	require.NoError(s.t, err)
	s.addr = socket.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.mu.Lock()
	s.http, s.end = server, cancel
	s.mu.Unlock()
	go func() { _ = server.Serve(socket) }()
	go s.announce(ctx, uint64(time.Now().UnixNano()))
}

// crash closes the listener and all connections at once.
func (s *testServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end()
	_ = s.http.Close()
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	s.executions.Add(1)
	switch {
	case r.URL.Path == "/poison" && !s.harmless.Load():
		s.crash()
		return
	case r.URL.Path == "/slots":
		s.cluster.serveSlots(w, r)
		return
	}
	pause := serviceTime
	if r.URL.Path == "/slow" {
		pause = slowServiceTime
		s.slow.Add(1)
	}
	time.Sleep(pause)
	_, _ = w.Write(bytes.Repeat([]byte("x"), answerSize/2))
	w.(http.Flusher).Flush()
	time.Sleep(pause)
	_, _ = w.Write(bytes.Repeat([]byte("x"), answerSize/2))
}

func (s *testServer) announce(ctx context.Context, incarnation uint64) {
	data, err := json.Marshal(localapi.Announcement{Service: "jobs", Addr: s.addr, Slots: 50, Connections: 100, Incarnation: incarnation})
	if err != nil {
		s.t.Error(err)
		return
	}
	for ctx.Err() == nil {
		resp, err := http.Post(s.local+"/v1/announce", "application/json", bytes.NewReader(data))
		if err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}
