package mesh

import (
	"context"
	"io"
	"strings"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/quarantine"
	"mangostand.example/mangostand/pkg/h1"
)

// contentDigest identifies the content of a call for the quarantine. It is
// computed once the body is known: by the entry before it offers the call,
// by the executor after it has accepted it. Both get the same digest.
func (c *Call) contentDigest() string {
	if c.digest == "" {
		path, query, _ := strings.Cut(c.Target, "?")
		c.digest = quarantine.RequestDigest(c.Service, c.Method, path, query, c.Body)
	}
	return c.digest
}

// quarantineLeft returns how long the call stays quarantined because calls with
// the same content have crashed backend servers, or 0 if it is not quarantined.
func quarantineLeft(b *board.MeshBoard, c *Call, now time.Time) time.Duration {
	q := b.Quarantine.Load()
	if q.Empty() || !q.IsQuarantined(c.contentDigest(), now) {
		return 0
	}
	return q.Entries[c.contentDigest()].ExpiresAt.Sub(now)
}

// executionEnd says how the execution of a call ended, as far as the connection to the
// backend server shows it.
type executionEnd uint8

const (
	// endUnknown: the call was not executed, its caller left, or the response was no
	// valid one or has no mark of its end. None of them shows what the call does to a
	// backend server.
	endUnknown executionEnd = iota
	// endComplete: the whole response has arrived.
	endComplete
	// endConnLost: the connection ended before the whole response had arrived.
	endConnLost
)

// end returns how the execution ended with a result without a body that is still to be
// read.
func (r *Result) end() executionEnd {
	switch {
	case r.Outcome == Answered && !r.endsWithConn:
		return endComplete
	case r.Outcome == Unknown && r.Reason == board.ReasonConnectionLost:
		return endConnLost
	}
	return endUnknown
}

// endOfBody returns how the execution ended with the error that ended the body. The
// context is canceled when the caller leaves.
func (r *Result) endOfBody(ctx context.Context, err error) executionEnd {
	switch {
	case err == io.EOF && !r.endsWithConn:
		return endComplete
	case ctx.Err() == nil && h1.IsConnLost(err):
		return endConnLost
	}
	return endUnknown
}

// maxRememberedBody bounds the bodies of the requests whose completion is remembered, in
// bytes. The digest of a larger one takes a noticeable part of the time of a call.
const maxRememberedBody = 4 << 10

// reportEnd tells the quarantine controller about a call that may have crashed the
// backend server, and about a suspected call that has completed. After a lost connection
// it has the backend server checked.
func (x *Executor) reportEnd(c *Call, server *board.BackendServer, tracked *trackedCall, end executionEnd) {
	execution := board.ExecutionResult{Kind: board.ExecutionConnectionLost, ServerIncarnation: uint64(server.StartMillis)}
	switch q := x.Board.Quarantine.Load(); {
	case end == endConnLost && tracked.hung():
		// A connection that ends after its call hung tells nothing about the request or
		// about the life of the backend server.
		return
	case end == endConnLost:
		x.Board.SuspectedServers.Post(*server)
	case end == endComplete:
		if len(c.Body) <= maxRememberedBody {
			x.Board.CompletedRequests.Add(board.CompletedRequest{Digest: c.contentDigest(), ServerIncarnation: execution.ServerIncarnation, At: time.Now()})
		}
		if q.Empty() || !q.IsSuspected(c.contentDigest()) {
			return
		}
		execution.Kind = board.ExecutionCompleted
	default:
		return
	}
	path, _, _ := strings.Cut(c.Target, "?")
	execution.Digest, execution.Summary = c.contentDigest(), quarantine.RequestSummary(c.Method, c.Service, path)
	x.Board.ExecutionResults.Post(execution)
}
