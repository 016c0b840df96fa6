package mesh_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/mesh"
	"mangostand.example/mangostand/pkg/standin/tcprelay"
)

// tooLong is the time after which a response that has stopped does not end at all.
const tooLong = 30 * time.Second

// slowResponse is a response that comes in parts and does not end by itself.
type slowResponse struct {
	// length is the announced length, 0 for a chunked body.
	length int
	// first is the number of bytes that come with the head. Then parts follow at an
	// interval.
	first, parts, size int
	interval           time.Duration
}

// write returns a handler that writes the response and closes the connection when ended
// is closed.
func (s slowResponse) write(ended <-chan struct{}) connHandler {
	return func(conn net.Conn, r *http.Request) bool {
		framing := "Transfer-Encoding: chunked"
		if s.length > 0 {
			framing = fmt.Sprintf("Content-Length: %d", s.length)
		}
		write := func(size int) {
			part := strings.Repeat("x", size)
			if s.length == 0 {
				part = fmt.Sprintf("%x\r\n%s\r\n", size, part)
			}
			_, _ = io.WriteString(conn, part)
		}
		respondInPart(framing, "")(conn, r)
		write(s.first)
		for range s.parts {
			select {
			case <-time.After(s.interval):
			case <-ended:
				return false
			}
			write(s.size)
		}
		<-ended
		return false
	}
}

// startPair starts a node that receives calls and one whose backend server runs them,
// which is the same one unless remote is set.
func startPair(t *testing.T, remote bool, handle connHandler) (entry, executor *node) {
	if !remote {
		n := startFleet(t, startBackend(t, handle))[0]
		return n, n
	}
	nodes := startFleet(t, startBackend(t, respondOK), startBackend(t, handle))
	nodes[0].publishFleet(nodes[1:])
	return nodes[0], nodes[1]
}

// receive sends a call and reads its response to its end. It returns the status, 0 for
// none, and the error that ended the body.
func (n *node) receive(t *testing.T) (int, error) {
	ctx, cancel := context.WithTimeout(t.Context(), tooLong)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callerAddr+"/book/a", strings.NewReader("b"))
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(headerID, "id")
	req.Header.Set(headerDeadline, "20000")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, ctx.Err(), "the response does not end")
		return resp.StatusCode, err
	}
	require.NoError(t, ctx.Err(), "the response does not end")
	return 0, err
}

// requireCut checks that a response that has stopped ends and does not look whole.
func requireCut(t *testing.T, n *node) {
	t.Helper()
	if status, err := n.receive(t); status == http.StatusOK {
		require.Error(t, err, "the response looks whole")
	}
}

// Guards against a response that has begun, stops, and never ends at the caller
// (review/9), and against one that ends as if it were whole. TestDeadlineWatch checks
// the time.
func TestResponseWithoutProgressEnds(t *testing.T) {
	const large = 2 << 20
	for name, response := range map[string]slowResponse{
		"stops":             {length: 200_000, first: 100_000},
		"stops after much":  {length: 2 * large, first: large},
		"stops, chunked":    {first: large},
		"trickles":          {length: 2 * large, first: large, parts: 1000, size: 1000, interval: 100 * time.Millisecond},
		"trickles, chunked": {first: large, parts: 1000, size: 1000, interval: 100 * time.Millisecond},
	} {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, remote %v", name, remote), func(t *testing.T) {
				t.Parallel()
				ended := make(chan struct{})
				defer close(ended)
				entry, executor := startPair(t, remote, response.write(ended))
				requireCut(t, entry)
				require.Eventually(t, func() bool { return executor.executor.InFlight() == 0 }, tooLong, 10*time.Millisecond, "the slot is held")
			})
		}
	}
}

// Guards against responses that never end when the machine of their backend server goes
// silent without closing its connections (review/9).
func TestResponseOfASilentExecutorEnds(t *testing.T) {
	for name, first := range map[string]int{"head not sent": -1, "begun": 100_000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended, begun := make(chan struct{}), make(chan struct{})
			defer close(ended)
			response := slowResponse{length: 4 << 20, first: first}
			entry, executor := startPair(t, true, func(conn net.Conn, r *http.Request) bool {
				close(begun)
				if first < 0 {
					<-ended
					return false
				}
				return response.write(ended)(conn, r)
			})
			relay, err := tcprelay.Start(executor.record.PeerAddr)
			require.NoError(t, err)
			defer relay.Close()
			executor.record.PeerAddr = relay.Addr()
			entry.publishFleet([]*node{executor})
			go func() {
				<-begun
				time.Sleep(100 * time.Millisecond)
				relay.SetFaults(tcprelay.Faults{BlackholeToServer: true, BlackholeToClient: true})
			}()
			requireCut(t, entry)
		})
	}
}

// Guards against an executor that holds a slot, a connection and memory for ever when a
// backend server does not end its response and the entry has gone silent.
func TestExecutorEndsCallsOfASilentEntry(t *testing.T) {
	const timeLeft = 300 * time.Millisecond
	for name, response := range map[string]slowResponse{
		"no response":     {length: -1},
		"buffered":        {length: 200_000, first: 100_000},
		"passed on":       {length: 4 << 20, first: 2 << 20},
		"trickles":        {length: 200_000, parts: 1000, size: 100, interval: 20 * time.Millisecond},
		"trickles behind": {length: 4 << 20, first: 2 << 20, parts: 1000, size: 100, interval: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			defer close(ended)
			n := startFleet(t, startBackend(t, func(conn net.Conn, r *http.Request) bool {
				if response.length < 0 {
					<-ended
					return false
				}
				return response.write(ended)(conn, r)
			}))[0]
			now := time.Now()
			c := &mesh.Call{ID: "1", Method: http.MethodGet, Target: "/read/a", Host: "h", Service: "desk", Received: now, Deadline: now.Add(timeLeft), Objective: now.Add(timeLeft)}
			result := n.executor.Execute(context.Background(), c, n.record.ServerID, 0, pausedSender{})
			if result.Body != nil {
				_, err := io.Copy(io.Discard, result.Body)
				require.Error(t, err)
				_ = result.Body.Close()
			}
			require.Less(t, time.Since(now), tooLong)
			require.Zero(t, n.executor.InFlight())
		})
	}
}
