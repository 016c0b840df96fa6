package mesh

import (
	"strings"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/quarantine"
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

// reportExecutionResult tells the quarantine controller about a call that
// may have crashed the backend server, and about a suspected call that
// completed.
func reportExecutionResult(b *board.MeshBoard, c *Call, server *board.BackendServer, result *Result) {
	execution := board.ExecutionResult{Kind: board.ExecutionConnectionLost, ServerIncarnation: uint64(server.StartMillis)}
	switch q := b.Quarantine.Load(); {
	case result.lost():
	case result.Outcome == Answered && !q.Empty() && q.IsSuspected(c.contentDigest()):
		execution.Kind = board.ExecutionCompleted
	default:
		return
	}
	path, _, _ := strings.Cut(c.Target, "?")
	execution.Digest, execution.Summary = c.contentDigest(), quarantine.RequestSummary(c.Method, c.Service, path)
	b.ExecutionResults.Post(execution)
}
