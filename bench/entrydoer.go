package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"mangostand.example/mangostand/pkg/call"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/loadgen"
)

// entryDoer hands calls to the entries of the nodes without the HTTP front, so
// that the generator leaves more of the machine to the mesh.
type entryDoer struct {
	entries map[string]*call.Entry
}

func newEntryDoer(f *fleet) *entryDoer {
	d := &entryDoer{entries: map[string]*call.Entry{}}
	for _, m := range f.members {
		d.entries[m.instance] = m.node.Entry()
	}
	return d
}

// Send implements loadgen.Doer.
func (d *entryDoer) Send(ctx context.Context, shot *loadgen.ScheduledCall) loadgen.Response {
	c := shot.Spec
	id, err := uuid.NewV7()
	if err != nil {
		return loadgen.Response{Outcome: "error"}
	}
	req := &call.Request{
		ID: id.String(), Service: c.Service, Method: c.Method, Path: c.Path, Header: http.Header{}, Body: c.Body,
		Caller: "bench", AttemptsLeft: -1, Deadline: time.Now().Add(c.Deadline),
	}
	if p, ok := dynconf.ParsePriority(c.Priority); ok {
		req.Priority, req.PrioritySet = p, true
	}
	result := d.entries[shot.Target.Name].Serve(ctx, req)
	answer := loadgen.Response{
		Outcome: result.Outcome.String(), Status: result.Status, Instance: string(result.Instance), AdditionalAttempts: result.AttemptsUsed,
	}
	if result.Body == nil {
		return answer
	}
	defer func() { _ = result.Body.Close() }()
	if _, err := io.Copy(io.Discard, result.Body); err != nil {
		answer.Outcome = "error"
	}
	return answer
}
