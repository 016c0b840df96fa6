package call

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/wire"
)

// Headers of a response that is repeated from the record of an earlier call
// with the same idempotency key. HeaderRecorded is "response" if the whole
// response was stored, and "status" if it was too large. HeaderResponseDigest
// is then the digest of its body.
const (
	HeaderRecorded       = "Mangostand-Recorded"
	HeaderResponseDigest = "Mangostand-Response-Digest"
)

// nonIdempotentCall is the state of a non-idempotent call at its entry. The
// digest binds the key to the request. The endpoint is the one that was picked
// last, and the result is that of the last attempt, nil before the first one.
type nonIdempotentCall struct {
	entry    *Entry
	req      *Request
	route    *dynconf.Route
	record   *board.RequestRecord
	digest   string
	endpoint *board.Endpoint
	result   *Result
}

// serveNonIdempotent forwards a call that must run at most once.
func (e *Entry) serveNonIdempotent(ctx context.Context, req *Request, route *dynconf.Route, record *board.RequestRecord) *Result {
	keyCreated := req.Key == ""
	if keyCreated {
		req.Key = newKey()
	}
	c := &nonIdempotentCall{entry: e, req: req, route: route, record: record, digest: bindingDigest(req)}
	record.Advance(board.RequestRouted)
	keyResult := e.AtMostOnce.Invoke(ctx, &atmostonce.Call{
		ID:            board.KeyID{Service: req.Service, Caller: req.Caller, Key: req.Key},
		RequestDigest: c.digest, RequestID: req.ID, KeyGenerated: keyCreated,
		MaxAttempts: maxAttempts, AllowRetry: c.allowRetry, PickExecutor: c.pick, Send: c.send,
	})
	return c.finalResult(keyResult)
}

// refuse returns the result of a call that the entry refuses before it claims
// the idempotency key. If the caller sent a key, an earlier call with the key
// may have run, so the home of the key is asked before not-run is reported.
func (e *Entry) refuse(ctx context.Context, req *Request, reason board.Reason) *Result {
	if req.Key == "" || dynconf.IsSafeMethod(req.Method) {
		return NotRunResult(reason)
	}
	if e.Board.Config.Load().Version == 0 {
		// A node that has just started has no configuration and cannot tell
		// whether the service has key records.
		return UnknownResult(board.ReasonKeyHomeUnavailable)
	}
	if e.AtMostOnce.EpochNumber(req.Service) == 0 {
		return NotRunResult(reason)
	}
	ctx, cancel := context.WithTimeout(ctx, refusalLookupTimeout)
	defer cancel()
	c := &nonIdempotentCall{entry: e, req: req}
	keyResult := e.AtMostOnce.Invoke(ctx, &atmostonce.Call{
		ID: board.KeyID{Service: req.Service, Caller: req.Caller, Key: req.Key}, RequestDigest: bindingDigest(req),
		RequestID: req.ID, PickExecutor: pickNoExecutor, Send: sendNotRun,
	})
	if keyResult.Outcome == board.OutcomeNotRun {
		return NotRunResult(reason)
	}
	return c.finalResult(keyResult)
}

// refusalLookupTimeout limits the lookup of the key record of a refused call.
const refusalLookupTimeout = 2 * time.Second

// pickNoExecutor returns no executor, so the claim of a key only looks up its
// record.
func pickNoExecutor([]board.InstanceID) (board.InstanceID, uint64, bool) { return "", 0, false }

// sendNotRun sends nothing. It is the Send function of calls without an
// executor.
func sendNotRun(context.Context, uint64, uint64, int) (board.Outcome, board.Reason) {
	return board.OutcomeNotRun, board.ReasonNoServer
}

// allowRetry takes a retry from the budgets after an attempt that provably did
// not run. It returns false if they do not allow one.
func (c *nonIdempotentCall) allowRetry() bool {
	return c.result == nil || c.entry.chargeRetry(c.req, false, c.result)
}

// newKey returns a new idempotency key.
func newKey() string {
	var random [10]byte
	// Read of crypto/rand never fails.
	_, _ = rand.Read(random[:])
	return keyhome.NewKey(time.Now(), random)
}

// bindingDigest returns the digest of the method, path, query and body of a
// request. A key is bound to it and cannot be used for another request.
func bindingDigest(req *Request) string {
	h := sha256.New()
	for _, part := range []string{req.Method, req.Path, req.Query} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// pick chooses the endpoint for the next attempt and returns its instance and
// incarnation, and false if none is available.
func (c *nonIdempotentCall) pick(exclude []board.InstanceID) (board.InstanceID, uint64, bool) {
	c.endpoint = c.entry.pickEndpoint(c.req.Service, exclude)
	if c.endpoint == nil {
		return "", 0, false
	}
	return c.endpoint.Member.Instance, c.endpoint.Member.Incarnation, true
}

// send sends one attempt with a grant to the endpoint that was picked last.
func (c *nonIdempotentCall) send(ctx context.Context, epoch, grant uint64, number int) (board.Outcome, board.Reason) {
	if c.result != nil {
		closeBody(c.result.Body)
		c.record.Advance(board.RequestRouted)
	}
	c.record.Advance(board.RequestClaimed)
	attempt := &Attempt{
		Request: c.req, Route: c.route, Number: number, Executor: c.endpoint.Member,
		Grant: Grant{Key: c.req.Key, Digest: c.digest, Epoch: epoch, Number: grant},
	}
	c.result = c.entry.advanceAndSend(ctx, attempt, c.endpoint, c.record)
	c.entry.AtMostOnce.ForwardEpochNotice(wire.EpochNotice{
		Service: c.req.Service, EpochNumber: c.result.Epoch, SourceAddr: c.endpoint.Member.PeerAddr,
	})
	return c.result.Outcome, c.result.Reason
}

// finalResult converts the result of the at-most-once protocol to that for the
// caller.
func (c *nonIdempotentCall) finalResult(keyResult atmostonce.Result) *Result {
	if keyResult.ResponseReceived {
		return c.result
	}
	var result *Result
	switch {
	case keyResult.Record != nil:
		result = resultFromRecord(keyResult.Record)
	case keyResult.Outcome == board.OutcomeNotRun:
		result = NotRunResult(keyResult.Reason)
	default:
		result = UnknownResult(keyResult.Reason)
	}
	if c.result != nil {
		result.Attempts, result.LoadReport = c.result.Attempts, c.result.LoadReport
	}
	return result
}

// resultFromRecord returns the recorded result of an earlier call with the same
// key.
func resultFromRecord(record *board.KeyRecord) *Result {
	response := record.Response
	if response == nil || record.Outcome == board.OutcomeUnknown {
		result := UnknownResult(record.Reason)
		result.Instance = record.Executor
		return result
	}
	result := &Result{
		Outcome: record.Outcome, Reason: record.Reason, Status: int(response.Status), Header: http.Header{},
		Instance: record.Executor, ContentLength: int64(len(response.Body)),
	}
	for name, values := range response.Header {
		result.Header[name] = values
	}
	result.Header.Set(HeaderRecorded, "response")
	if !response.BodyStored {
		result.Header = http.Header{}
		result.Header.Set(HeaderRecorded, "status")
		result.Header.Set(HeaderResponseDigest, response.BodyDigest)
		result.Reason = board.ReasonResponseNotKept
		return result
	}
	result.Body = io.NopCloser(bytes.NewReader(response.Body))
	return result
}
