package mesh

import (
	"strings"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/quarantine"
)

// contentDigest identifies a call for the quarantine. It is computed once, when
// the body is there: by the entry before it offers the call, by an executor
// after it has taken it. Both get the same digest.
func (c *Call) contentDigest() string {
	if c.digest == "" {
		path, query, _ := strings.Cut(c.Target, "?")
		c.digest = quarantine.RequestDigest(c.Service, c.Method, path, query, c.Body)
	}
	return c.digest
}

// refusedFor returns how long a call is refused because it has crashed backend
// servers, 0 when it is not.
func refusedFor(b *board.MeshBoard, c *Call, now time.Time) time.Duration {
	q := b.Quarantine.Load()
	if q.Empty() || !q.IsQuarantined(c.contentDigest(), now) {
		return 0
	}
	return q.Entries[c.contentDigest()].ExpiresAt.Sub(now)
}

// reportExecution tells the quarantine controller of a call that may have
// crashed the backend server, and of a suspected one that did not.
func reportExecution(b *board.MeshBoard, c *Call, server *board.BackendServer, a *Answer) {
	e := board.ExecutionResult{Kind: board.ExecutionConnectionLost, ServerIncarnation: uint64(server.StartMillis)}
	switch q := b.Quarantine.Load(); {
	case a.lost():
	case a.Outcome == Answered && !q.Empty() && q.IsSuspected(c.contentDigest()):
		e.Kind = board.ExecutionCompleted
	default:
		return
	}
	path, _, _ := strings.Cut(c.Target, "?")
	e.Digest, e.Summary = c.contentDigest(), quarantine.RequestSummary(c.Method, c.Service, path)
	b.ExecutionResults.Post(e)
}
