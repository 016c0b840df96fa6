package mesh

import (
	"strings"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/quarantine"
)

// digestOf identifies a call for the quarantine. The executor gets the same
// digest as the entry.
func digestOf(c *Call) string {
	path, query, _ := strings.Cut(c.Target, "?")
	return quarantine.Digest(c.Service, c.Method, path, query, c.Body)
}

// refusedFor returns how long a call is refused because it has crashed backend
// servers, 0 when it is not.
func refusedFor(b *board.Mesh, c *Call, now time.Time) time.Duration {
	q := b.Quarantine.Load()
	if q.Empty() {
		return 0
	}
	digest := digestOf(c)
	if !q.Refuses(digest, now) {
		return 0
	}
	return q.Entries[digest].Until.Sub(now)
}

// reportExecution tells the quarantine controller of a call that may have
// crashed the backend server, and of a suspected one that did not.
func reportExecution(b *board.Mesh, c *Call, server *board.Server, a *Answer) {
	kind := board.ExecutionLost
	switch {
	case a.Outcome == Unknown && a.Reason == board.ReasonConnectionLost:
	case a.Outcome == Answered && !b.Quarantine.Load().Empty():
		kind = board.ExecutionCompleted
	default:
		return
	}
	e := board.Execution{Kind: kind, Digest: digestOf(c), ServerIncarnation: uint64(server.Born), Addr: server.Addr}
	if kind == board.ExecutionCompleted && len(b.Quarantine.Load().Entries[e.Digest].Deaths) == 0 {
		return
	}
	path, _, _ := strings.Cut(c.Target, "?")
	e.Summary = quarantine.Summary(c.Method, c.Service, path)
	b.Executions.Post(e)
}
