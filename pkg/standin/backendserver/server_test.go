package backendserver

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/standin/executionlog"
)

func testConfig() Config {
	return Config{Instance: "atelier-1", Service: "atelier-suivi", Slots: 1, ServiceTime: 10 * time.Millisecond}
}

func serve(ctx context.Context, s *Server, method, target string, header map[string]string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, target, nil)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

// Guards against an answer that a client cannot match with its request.
func TestAnswerBelongsToItsRequest(t *testing.T) {
	s := New(testConfig())
	w := serve(t.Context(), s, "GET", "/drawings/D-1?size=5000", map[string]string{HeaderNonce: "n1"})
	body := w.Body.Bytes()
	require.GreaterOrEqual(t, len(body), 5000)
	require.NoError(t, VerifyResponseBody(body, "GET", "/drawings/D-1", "n1"))
	require.Error(t, VerifyResponseBody(body, "GET", "/drawings/D-1", "n2"))
	require.Error(t, VerifyResponseBody(body, "GET", "/drawings/D-2", "n1"))
	require.Error(t, VerifyResponseBody(body[:len(body)/2], "GET", "/drawings/D-1", "n1"))
	other := NewAnswer("atelier-suivi", "atelier-2", "GET", "/drawings/D-2", "n1", 0, 5000)
	mixed := append(append([]byte{}, body[:2500]...), other[2500:]...)
	require.Error(t, VerifyResponseBody(mixed, "GET", "/drawings/D-1", "n1"))
}

// Guards against a server that runs more calls at once than it has slots, or
// lets any number of calls wait.
func TestSlotsAndShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig()
		config.MaxWaiting = 1
		s := New(config)
		started := time.Now()
		statuses := make(chan int, 3)
		var calls sync.WaitGroup
		for range 3 {
			calls.Go(func() { statuses <- serve(t.Context(), s, "GET", "/", nil).Code })
			synctest.Wait()
		}
		calls.Wait()
		require.Equal(t, 20*time.Millisecond, time.Since(started))
		require.ElementsMatch(t, []int{200, 200, 503}, []int{<-statuses, <-statuses, <-statuses})
		require.Equal(t, Counters{Completed: 2, Shed: 1}, s.counters.read())
	})
}

// Guards against work that goes on after a cancellation or a deadline, and
// against a cut execution that looks completed.
func TestCancellationCutsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(testConfig())
		s.faults.Store(&Faults{Hang: true})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		require.Equal(t, http.StatusGatewayTimeout, serve(ctx, s, "POST", "/bookings", nil).Code)
		w := serve(t.Context(), s, "POST", "/bookings", map[string]string{"Mangostand-Deadline-Ms": "30"})
		require.Equal(t, http.StatusGatewayTimeout, w.Code)
		list := s.executions.all()
		require.Len(t, list, 2)
		require.Equal(t, StateCut, list[0].State)
		require.Equal(t, StateCut, list[1].State)
	})
}

// Guards against an execution that is lost with a killed server: the entry
// must reach the log process before the work starts.
func TestExecutionIsRecordedBeforeTheWork(t *testing.T) {
	log := executionlog.New()
	process := httptest.NewServer(log.Handler())
	config := testConfig()
	config.ExecutionLogURL = process.URL
	s := New(config)
	s.exit = func(int) {
		require.Equal(t, executionlog.StateRunning, log.Executions()[0].State)
		panic(http.ErrAbortHandler)
	}
	require.Panics(t, func() {
		serve(t.Context(), s, "POST", "/bookings", map[string]string{HeaderCrash: "yes", HeaderNonce: "n1"})
	})
	require.Equal(t, "n1", log.Executions()[0].Nonce)
	require.Equal(t, http.StatusOK, serve(t.Context(), s, "POST", "/bookings", nil).Code)
	require.Equal(t, executionlog.StateCompleted, log.Executions()[1].State)
	process.Close()
	require.Equal(t, http.StatusServiceUnavailable, serve(t.Context(), s, "POST", "/bookings", nil).Code)
	require.Len(t, s.executions.all(), 2)
}

// Guards against faults that cannot be switched, or that a mistyped name
// leaves off without a word.
func TestFaultsOverHTTP(t *testing.T) {
	s := New(testConfig())
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	require.Equal(t, http.StatusBadRequest, putFaults(t, server.URL, `{"fail_fats": true}`))
	require.Equal(t, http.StatusBadRequest, putFaults(t, server.URL, `{"slow_factor": -1}`))
	require.Equal(t, http.StatusNoContent, putFaults(t, server.URL, `{"fail_fast": true}`))
	require.Equal(t, http.StatusInternalServerError, serve(t.Context(), s, "GET", "/", nil).Code)
	require.Equal(t, http.StatusNoContent, putFaults(t, server.URL, `{"truncate": true}`))
	resp, err := http.Get(server.URL + "/histories")
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func putFaults(t *testing.T, url, body string) int {
	req, err := http.NewRequest(http.MethodPut, url+"/standin/faults", strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against a load report that is never stale or false when it should be.
func TestLoadReportCanBeStaleOrFalse(t *testing.T) {
	s := New(testConfig())
	now := s.started
	s.faults.Store(&Faults{StaleLoadMS: 100})
	require.Zero(t, s.loadReport(now).InFlight)
	s.slots <- struct{}{}
	require.Zero(t, s.loadReport(now.Add(99*time.Millisecond)).InFlight)
	require.Equal(t, uint32(1), s.loadReport(now.Add(100*time.Millisecond)).InFlight)
	lie := uint32(0)
	s.faults.Store(&Faults{FalseLoad: &lie})
	require.Zero(t, s.loadReport(now.Add(time.Second)).InFlight)
	data, err := json.Marshal(s.faults.Load())
	require.NoError(t, err)
	require.Contains(t, string(data), `"false_load":0`)
}

// Guards against a service time that ignores the cold start, the slow-down or
// the bounds of the swing.
func TestServiceTime(t *testing.T) {
	config := testConfig()
	config.WarmUpTime, config.ColdStartFactor = time.Second, 3
	s := New(config)
	none := &Faults{}
	require.Equal(t, 30*time.Millisecond, s.serviceTime(none, s.started))
	require.Equal(t, 20*time.Millisecond, s.serviceTime(none, s.started.Add(500*time.Millisecond)))
	require.Equal(t, 40*time.Millisecond, s.serviceTime(&Faults{SlowFactor: 4}, s.started.Add(time.Second)))

	config.MaxServiceTimeFactor, config.WarmUpTime, config.Seed = 4, 0, 7
	s = New(config)
	seen := map[time.Duration]bool{}
	for at := range 1000 {
		d := s.serviceTime(none, s.started.Add(time.Duration(at)*time.Millisecond))
		require.GreaterOrEqual(t, d, 10*time.Millisecond)
		require.LessOrEqual(t, d, 40*time.Millisecond)
		seen[d] = true
	}
	// 1 s holds between 20 and 200 periods of 5 to 50 ms.
	require.GreaterOrEqual(t, len(seen), 20)
	require.LessOrEqual(t, len(seen), 200)
}

// Guards against a connection limit that is not kept, or that a closed
// connection goes on counting for.
func TestConnectionLimit(t *testing.T) {
	config := testConfig()
	config.ListenAddr, config.MaxConnections, config.ConnectDelay = "127.0.0.1:0", 1, time.Millisecond
	socket, err := New(config).Listen()
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", socket.Addr().String())
		require.NoError(t, err)
		return conn
	}
	defer func(c net.Conn) { _ = c.Close() }(dial())
	first := <-accepted
	refused := dial()
	_, err = refused.Read(make([]byte, 1))
	require.Error(t, err)
	require.Empty(t, accepted)
	require.NoError(t, first.Close())
	defer func(c net.Conn) { _ = c.Close() }(dial())
	<-accepted
}

// Guards against a stop that cuts calls, or that the node does not learn of.
func TestStopDrainsAndLeaves(t *testing.T) {
	posts := make(chan string, 100)
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		posts <- r.URL.Path + " " + string(body)
	}))
	defer node.Close()
	config := testConfig()
	config.ListenAddr, config.NodeURL = "127.0.0.1:0", node.URL
	s := New(config)
	s.inFlight.Add(1)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	require.Contains(t, <-posts, `"draining":false`)
	cancel()
	for !strings.Contains(<-posts, `"draining":true`) {
	}
	require.Empty(t, done, "the server stopped with a call in flight")
	s.inFlight.Add(-1)
	for !strings.Contains(<-posts, "/v1/leave") {
	}
	require.NoError(t, <-done)
}
