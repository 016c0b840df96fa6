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

func doRequest(ctx context.Context, s *Server, method, target string, header map[string]string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, target, nil)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

// Guards against a truncated, mixed-up or foreign response that
// VerifyResponseBody accepts.
func TestResponseMatchesItsRequest(t *testing.T) {
	s := New(testConfig())
	w := doRequest(t.Context(), s, "GET", "/drawings/D-1?size=5000", map[string]string{HeaderNonce: "n1"})
	body := w.Body.Bytes()
	require.GreaterOrEqual(t, len(body), 5000)
	require.NoError(t, VerifyResponseBody(body, "GET", "/drawings/D-1", "n1"))
	require.Error(t, VerifyResponseBody(body, "GET", "/drawings/D-1", "n2"))
	require.Error(t, VerifyResponseBody(body, "GET", "/drawings/D-2", "n1"))
	require.Error(t, VerifyResponseBody(body[:len(body)/2], "GET", "/drawings/D-1", "n1"))
	other := NewResponseBody("atelier-suivi", "atelier-2", "GET", "/drawings/D-2", "n1", 0, 5000)
	mixed := append(append([]byte{}, body[:2500]...), other[2500:]...)
	require.Error(t, VerifyResponseBody(mixed, "GET", "/drawings/D-1", "n1"))
}

// Guards against a server that executes more calls concurrently than it has slots,
// or that queues more calls than MaxWaiting.
func TestSlotLimitAndLoadShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig()
		config.MaxWaiting = 1
		s := New(config)
		started := time.Now()
		statuses := make(chan int, 3)
		var calls sync.WaitGroup
		for range 3 {
			calls.Go(func() { statuses <- doRequest(t.Context(), s, "GET", "/", nil).Code })
			synctest.Wait()
		}
		calls.Wait()
		require.Equal(t, 20*time.Millisecond, time.Since(started))
		require.ElementsMatch(t, []int{200, 200, 503}, []int{<-statuses, <-statuses, <-statuses})
		require.Equal(t, Counters{Completed: 2, Shed: 1}, s.counters.snapshot())
	})
}

// Guards against work that continues after a cancellation or a deadline, and
// against a canceled execution that is recorded as completed.
func TestCancellationAndDeadlineStopWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(testConfig())
		s.faults.Store(&Faults{Hang: true})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		require.Equal(t, http.StatusGatewayTimeout, doRequest(ctx, s, "POST", "/bookings", nil).Code)
		w := doRequest(t.Context(), s, "POST", "/bookings", map[string]string{"Mangostand-Deadline-Ms": "30"})
		require.Equal(t, http.StatusGatewayTimeout, w.Code)
		entries := s.executions.snapshot()
		require.Len(t, entries, 2)
		require.Equal(t, StateCanceled, entries[0].State)
		require.Equal(t, StateCanceled, entries[1].State)
	})
}

// Guards against an execution that goes unrecorded because the server is killed:
// the entry must reach the log process before the work starts.
func TestExecutionIsRecordedBeforeWorkStarts(t *testing.T) {
	executions := executionlog.New()
	logServer := httptest.NewServer(executions.Handler())
	config := testConfig()
	config.ExecutionLogURL = logServer.URL
	s := New(config)
	s.exit = func(int) {
		require.Equal(t, executionlog.StateRunning, executions.Executions()[0].State)
		panic(http.ErrAbortHandler)
	}
	require.Panics(t, func() {
		doRequest(t.Context(), s, "POST", "/bookings", map[string]string{HeaderCrash: "yes", HeaderNonce: "n1"})
	})
	require.Equal(t, "n1", executions.Executions()[0].Nonce)
	require.Equal(t, http.StatusOK, doRequest(t.Context(), s, "POST", "/bookings", nil).Code)
	require.Equal(t, executionlog.StateCompleted, executions.Executions()[1].State)
	logServer.Close()
	require.Equal(t, http.StatusServiceUnavailable, doRequest(t.Context(), s, "POST", "/bookings", nil).Code)
	require.Len(t, s.executions.snapshot(), 2)
}

// Guards against faults that cannot be set over HTTP, and against a mistyped fault
// name that is silently ignored.
func TestFaultsAreSetOverHTTP(t *testing.T) {
	s := New(testConfig())
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	require.Equal(t, http.StatusBadRequest, putFaults(t, server.URL, `{"fail_fats": true}`))
	require.Equal(t, http.StatusBadRequest, putFaults(t, server.URL, `{"slow_factor": -1}`))
	require.Equal(t, http.StatusNoContent, putFaults(t, server.URL, `{"fail_fast": true}`))
	require.Equal(t, http.StatusInternalServerError, doRequest(t.Context(), s, "GET", "/", nil).Code)
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

// Guards against load reports that ignore StaleLoadMS or InFlightOverride.
func TestLoadReportCanBeStaleOrOverridden(t *testing.T) {
	s := New(testConfig())
	now := s.startTime
	s.faults.Store(&Faults{StaleLoadMS: 100})
	require.Zero(t, s.currentLoadReport(now).InFlight)
	s.slots <- struct{}{}
	require.Zero(t, s.currentLoadReport(now.Add(99*time.Millisecond)).InFlight)
	require.Equal(t, uint32(1), s.currentLoadReport(now.Add(100*time.Millisecond)).InFlight)
	inFlight := uint32(0)
	s.faults.Store(&Faults{InFlightOverride: &inFlight})
	require.Zero(t, s.currentLoadReport(now.Add(time.Second)).InFlight)
	data, err := json.Marshal(s.faults.Load())
	require.NoError(t, err)
	require.Contains(t, string(data), `"false_load":0`)
}

// Guards against a service time that ignores the warm-up or SlowFactor, or that
// varies outside its bounds.
func TestServiceTime(t *testing.T) {
	config := testConfig()
	config.WarmUpTime, config.ColdStartFactor = time.Second, 3
	s := New(config)
	noFaults := &Faults{}
	require.Equal(t, 30*time.Millisecond, s.serviceTime(noFaults, s.startTime))
	require.Equal(t, 20*time.Millisecond, s.serviceTime(noFaults, s.startTime.Add(500*time.Millisecond)))
	require.Equal(t, 40*time.Millisecond, s.serviceTime(&Faults{SlowFactor: 4}, s.startTime.Add(time.Second)))

	config.MaxServiceTimeFactor, config.WarmUpTime, config.Seed = 4, 0, 7
	s = New(config)
	seen := map[time.Duration]bool{}
	for ms := range 1000 {
		d := s.serviceTime(noFaults, s.startTime.Add(time.Duration(ms)*time.Millisecond))
		require.GreaterOrEqual(t, d, 10*time.Millisecond)
		require.LessOrEqual(t, d, 40*time.Millisecond)
		seen[d] = true
	}
	// There are between 20 and 200 periods of 5 to 50 ms in 1 s.
	require.GreaterOrEqual(t, len(seen), 20)
	require.LessOrEqual(t, len(seen), 200)
}

// Guards against a connection limit that is not enforced, and against closed
// connections that still count towards it.
func TestConnectionLimit(t *testing.T) {
	config := testConfig()
	config.ListenAddr, config.MaxConnections, config.ConnectDelay = "127.0.0.1:0", 1, time.Millisecond
	listener, err := New(config).Listen()
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
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

// Guards against a shutdown that aborts calls in flight or does not notify the
// node.
func TestShutdownDrainsAndDeregisters(t *testing.T) {
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
