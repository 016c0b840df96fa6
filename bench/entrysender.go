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

// entrySender calls the nodes' call entries in process instead of their HTTP
// listeners, so that the load generator leaves more CPU to the mesh.
type entrySender struct {
	entries map[string]*call.Entry
}

func newEntrySender(f *fleet) *entrySender {
	s := &entrySender{entries: map[string]*call.Entry{}}
	for _, inst := range f.instances {
		s.entries[inst.name] = inst.node.Entry()
	}
	return s
}

// Send implements loadgen.Sender.
func (s *entrySender) Send(ctx context.Context, scheduled *loadgen.ScheduledCall) loadgen.Response {
	spec := scheduled.Spec
	id, err := uuid.NewV7()
	if err != nil {
		return loadgen.Response{Outcome: "error"}
	}
	req := &call.Request{
		ID: id.String(), Service: spec.Service, Method: spec.Method, Path: spec.Path, Header: http.Header{}, Body: spec.Body,
		Caller: "bench", AttemptsLeft: -1, Deadline: time.Now().Add(spec.Deadline),
	}
	if p, ok := dynconf.ParsePriority(spec.Priority); ok {
		req.Priority, req.PrioritySet = p, true
	}
	result := s.entries[scheduled.Target.Name].Serve(ctx, req)
	response := loadgen.Response{
		Outcome: result.Outcome.String(), Status: result.Status, Instance: string(result.Instance), AdditionalAttempts: result.AttemptsUsed,
	}
	if result.Body == nil {
		return response
	}
	defer func() { _ = result.Body.Close() }()
	if _, err := io.Copy(io.Discard, result.Body); err != nil {
		response.Outcome = "error"
	}
	return response
}
