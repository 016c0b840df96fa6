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

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/quarantine"
)

// Guards against a quarantined request that reaches a backend server. The
// entry may not know about the quarantine yet, and a request that one
// executor has refused must not run on another. Other requests to the same
// path are served.
func TestQuarantinedRequestIsNotExecuted(t *testing.T) {
	servers := []*backendServer{startBackend(t, resetConn), startBackend(t, resetConn)}
	nodes := startFleet(t, servers...)
	nodes[0].call(t, http.MethodPost, "/book/a?x=1", "crash", nil)
	var lost board.ExecutionResult
	for _, n := range nodes {
		select {
		case lost = <-n.board.ExecutionResults.Events():
		default:
		}
	}
	require.Equal(t, board.ExecutionConnectionLost, lost.Kind)
	require.Equal(t, "POST /desk/book/a", lost.Summary)
	publishQuarantine := func(n *node) {
		n.board.Quarantine.Claim("test").Publish(&board.Quarantine{Entries: map[string]board.QuarantineEntry{
			lost.Digest: {Digest: lost.Digest, Quarantined: true, ExpiresAt: time.Now().Add(time.Hour)},
		}})
	}
	executions := func() int32 { return servers[0].executions.Load() + servers[1].executions.Load() }

	publishQuarantine(nodes[1])
	nodes[0].publishFleet(nodes[1:])
	before := executions()
	resp, body := nodes[0].call(t, http.MethodPost, "/book/a?x=1", "crash", func(r *http.Request) { r.Header.Set(headerID, "another") })
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, body, board.ReasonQuarantined)
	publishQuarantine(nodes[0])
	resp, _ = nodes[0].call(t, http.MethodPost, "/book/a?x=1", "crash", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	retryAfter, err := time.ParseDuration(resp.Header.Get("Retry-After"))
	require.NoError(t, err)
	require.Greater(t, retryAfter, 59*time.Minute)
	require.Equal(t, before, executions())
	nodes[0].call(t, http.MethodPost, "/book/a?x=1", "another body", nil)
	require.Equal(t, before+1, executions())
}

// respondInPart writes a head with the framing, then the body.
func respondInPart(framing, body string) connHandler {
	return func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 S\r\n%s: %s\r\nSignature: s\r\n%s\r\n\r\n%s", headerID, r.Header.Get(headerID), framing, body)
		return false
	}
}

// respondInPartAndReset is respondInPart with a reset after it.
func respondInPartAndReset(framing, body string) connHandler {
	return func(conn net.Conn, r *http.Request) bool {
		respondInPart(framing, body)(conn, r)
		time.Sleep(50 * time.Millisecond)
		return resetConn(conn, r)
	}
}

// Guards against a request that crashes backend servers after they have begun to answer
// and is never suspected (review/6), and against a sound request that is suspected
// because its server sent bytes that are no response, or that was cleared by a response
// that never ended.
func TestLostConnectionWithinTheResponse(t *testing.T) {
	const aboveBuffer = 2 << 20
	large := strings.Repeat("x", aboveBuffer/2)
	lost, completed := board.ExecutionConnectionLost, board.ExecutionCompleted
	for name, c := range map[string]struct {
		handle connHandler
		// report is nil if there is none.
		report *board.ExecutionResultKind
	}{
		"half of the body":              {respondInPart("Content-Length: 8", "half"), &lost},
		"half of the body, reset":       {respondInPartAndReset("Content-Length: 8", "half"), &lost},
		"chunk without an end":          {respondInPart("Transfer-Encoding: chunked", "4\r\nhalf\r\n"), &lost},
		"half of a chunk":               {respondInPart("Transfer-Encoding: chunked", "8\r\nhalf"), &lost},
		"half of a large body":          {respondInPart(fmt.Sprintf("Content-Length: %d", aboveBuffer), large), &lost},
		"large chunk without an end":    {respondInPart("Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s%s\r\n", aboveBuffer, large, large)), &lost},
		"no length, reset":              {respondInPartAndReset("Connection: close", "half"), &lost},
		"large without a length, reset": {respondInPartAndReset("Connection: close", large+large), &lost},
		"half of the head": {func(conn net.Conn, _ *http.Request) bool {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 S\r\nSign")
			return false
		}, &lost},
		"invalid chunk":                    {respondInPart("Transfer-Encoding: chunked", "zz\r\nhalf\r\n"), nil},
		"invalid chunk behind a valid one": {respondInPart("Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s%s\r\nzz\r\n", aboveBuffer, large, large)), nil},
		"whole":                            {respondOK, &completed},
		"whole, no length":                 {respondInPart("Connection: close", "whole"), nil},
		"whole and large":                  {respondInPart(fmt.Sprintf("Content-Length: %d", aboveBuffer), large+large), &completed},
	} {
		t.Run(name, func(t *testing.T) {
			n := startFleet(t, startBackend(t, c.handle))[0]
			// Suspected by an earlier crash.
			digest := quarantine.RequestDigest("desk", http.MethodPost, "/book/a", "", []byte("body"))
			n.board.Quarantine.Claim("test").Publish(&board.Quarantine{Entries: map[string]board.QuarantineEntry{digest: {Digest: digest}}})
			n.sendUnfinished(t.Context(), t, http.MethodPost, "/book/a", "body")
			var reports []board.ExecutionResult
			for waiting := true; waiting; {
				select {
				case e := <-n.board.ExecutionResults.Events():
					reports = append(reports, e)
				case <-time.After(300 * time.Millisecond):
					waiting = false
				}
			}
			if c.report == nil {
				require.Empty(t, reports)
				require.Empty(t, n.board.SuspectedServers.Events())
				return
			}
			require.Len(t, reports, 1)
			require.Equal(t, *c.report, reports[0].Kind)
			require.Equal(t, digest, reports[0].Digest)
			require.Equal(t, *c.report == lost, len(n.board.SuspectedServers.Events()) == 1, "the server is checked after a lost connection only")
			_, remembered := n.board.CompletedRequests.Since(time.Time{})[digest]
			require.Equal(t, *c.report == completed, remembered)
		})
	}
}

// Guards against a server or a request that is suspected because its caller left within
// the response.
func TestCallerThatLeavesWithinTheResponseIsNoEvidence(t *testing.T) {
	for name, length := range map[string]int{"buffered": 8, "passed on": 2 << 20} {
		t.Run(name, func(t *testing.T) {
			begun, ended := make(chan struct{}, 1), make(chan struct{})
			defer close(ended)
			n := startFleet(t, startBackend(t, func(conn net.Conn, r *http.Request) bool {
				respondInPart(fmt.Sprintf("Content-Length: %d", length), strings.Repeat("x", length/2))(conn, r)
				begun <- struct{}{}
				<-ended
				return false
			}))[0]
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-begun
				time.Sleep(50 * time.Millisecond)
				cancel()
			}()
			n.sendUnfinished(ctx, t, http.MethodPost, "/book/a", "body")
			time.Sleep(200 * time.Millisecond)
			require.Empty(t, n.board.ExecutionResults.Events())
			require.Empty(t, n.board.SuspectedServers.Events())
		})
	}
}

// sendUnfinished sends a request and reads the response as far as it comes.
func (n *node) sendUnfinished(ctx context.Context, t *testing.T, method, target, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callerAddr+target, strings.NewReader(body))
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(headerID, "id-"+target)
	req.Header.Set(headerDeadline, "2000")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
