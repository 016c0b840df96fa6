package call

import (
	"math"
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/wire"
)

// Attempt is one attempt of a request at one executor.
type Attempt struct {
	Request    *Request
	Route      *dynconf.Route
	Idempotent bool
	// Number counts the attempts of the request, starting at 1.
	Number   int
	Executor board.Member
	// Grant is the permission for a non-idempotent attempt. It is empty for an
	// idempotent one.
	Grant Grant

	// delegatedAttempts is the part of the call tree's attempt budget that is
	// delegated to the executor for nested calls.
	delegatedAttempts int
}

// Grant is the permission to make one attempt of a non-idempotent call at one
// executor. It is issued by the home of the idempotency key, the node that
// keeps the record of the key. Digest is that of the request, and Epoch is the
// epoch of the service in which the grant was issued.
type Grant struct {
	Key    string
	Digest string
	Epoch  uint64
	Number uint64
}

func (a *Attempt) encode(now time.Time, configVersion uint64) *wire.Call {
	r := a.Request
	return &wire.Call{
		RequestID: r.ID, Service: r.Service, Method: r.Method, Path: r.Path, Query: r.Query,
		Header: encodeHeader(r.Header), Body: r.Body, Caller: r.Caller, Route: a.Route.Name,
		TimeToDeadlineMicros: r.Deadline.Sub(now).Microseconds(),
		Priority:             uint8(r.Priority), Idempotent: a.Idempotent, AttemptNumber: uint8(a.Number),
		TreeID: r.TreeID, AttemptsLeft: clampUint8(a.delegatedAttempts), Depth: clampUint8(r.Depth),
		Key: a.Grant.Key, RequestDigest: a.Grant.Digest, Epoch: a.Grant.Epoch, Grant: a.Grant.Number,
		ExecutorIncarnation: a.Executor.Incarnation, ConfigVersion: configVersion,
	}
}

// maxEncodedAttempts is the largest number of attempts that a message can
// hold.
const maxEncodedAttempts = math.MaxUint8

func clampUint8(n int) uint8 { return uint8(max(0, min(n, maxEncodedAttempts))) }

func encodeHeader(h http.Header) []wire.HeaderField {
	fields := make([]wire.HeaderField, 0, len(h))
	for name, values := range h {
		fields = append(fields, wire.HeaderField{Name: name, Values: values})
	}
	return fields
}

func decodeHeader(fields []wire.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[http.CanonicalHeaderKey(f.Name)] = f.Values
	}
	return h
}
