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
	Number     int
	Executor   board.Member
	// Grant binds a non-idempotent attempt to its key home's grant.
	Grant Grant

	// lent is the part of the tree's attempt budget handed down with it.
	lent int
}

// Grant is the permission of a key home for one attempt of a non-idempotent
// call at one executor.
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
		TreeID: r.TreeID, AttemptsLeft: clampByte(a.lent), Depth: clampByte(r.Depth),
		Key: a.Grant.Key, RequestDigest: a.Grant.Digest, Epoch: a.Grant.Epoch, Grant: a.Grant.Number,
		ExecutorIncarnation: a.Executor.Incarnation, ConfigVersion: configVersion,
	}
}

// maxCarried is the largest number of attempts that a message carries.
const maxCarried = math.MaxUint8

func clampByte(n int) uint8 { return uint8(max(0, min(n, maxCarried))) }

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
